package freshness

import (
	"maps"
	"sync"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/state/kv"
)

// maxSentReports is the number of this router's reports whose send times are kept. It covers 2.5 s of reports every
// 40 ms; a claim that echoes an older report is too old to be useful.
const maxSentReports = 64

// Claim is a router's statement about its proof: it had the store's state of a position, and that state was confirmed
// Age before the claim was made.
type Claim struct {
	Position kv.Position
	Age      time.Duration
	// Echoes are the sequence numbers of the latest reports that the claimant had received, by router, before it
	// measured Age.
	Echoes map[string]uint64
}

// Exchange makes this router's claims and dates the claims of other routers. It does not use the time of day. The time
// at which a datagram is read does not date it either, since the process may have been paused before the read. A claim
// that echoes a report of this router was made after that report was sent, which bounds the claim's age by this
// router's clock. Exchange is safe for concurrent use.
type Exchange struct {
	router string
	clock  Clock

	mu       sync.Mutex
	sent     [maxSentReports]sentReport
	received map[string]uint64
}

// sentReport is the sequence number and the send time of a report.
type sentReport struct {
	seq uint64
	at  time.Duration
}

// NewExchange returns an Exchange for the named router.
func NewExchange(router string, clock Clock) *Exchange {
	return &Exchange{router: router, clock: clock, received: make(map[string]uint64)}
}

// RecordSent records that a report of this router is about to be sent. Sequence numbers must not repeat after a
// restart.
func (e *Exchange) RecordSent(seq uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sent[seq%maxSentReports] = sentReport{seq: seq, at: e.clock()}
}

// RecordReceived records the sequence number of the latest report of another router.
func (e *Exchange) RecordReceived(router string, seq uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.received[router] = seq
}

// Forget drops the state of a router that is gone.
func (e *Exchange) Forget(router string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.received, router)
}

// Claim returns this router's claim. It returns false while no state is confirmed. The order of the steps matters: the
// age is measured after the echoes are copied, and the position is read after the age, so that the claimed position is
// not older than the confirmed state.
func (e *Exchange) Claim(proof *Proof, position func() kv.Position) (Claim, bool) {
	e.mu.Lock()
	echoes := maps.Clone(e.received)
	e.mu.Unlock()
	age, ok := proof.Age()
	return Claim{Age: age, Position: position(), Echoes: echoes}, ok
}

// ConfirmationTime returns a lower bound, by this router's clock, of the time at which the claimed state was confirmed.
// It returns false for a claim that echoes no known report of this router.
func (e *Exchange) ConfirmationTime(c Claim) (time.Duration, bool) {
	seq, ok := c.Echoes[e.router]
	if !ok {
		return 0, false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	report := e.sent[seq%maxSentReports]
	if report.seq != seq || report.at == 0 {
		return 0, false
	}
	return report.at - c.Age, true
}
