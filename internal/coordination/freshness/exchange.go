package freshness

import (
	"maps"
	"sync"
	"time"
)

// keptStamps is the number of own reports whose times are known. It covers 2.5 s of reports every 40 ms; an older echo
// proves too little.
const keptStamps = 64

// Claim is what another router says of its proof: it had the store's state of a revision, and that state was confirmed
// Age before the claim was made.
type Claim struct {
	Revision int64
	Age      time.Duration
	// Echoes are the numbers of the latest reports that the claimant had heard, by router, before it measured Age.
	Echoes map[string]uint64
}

// Exchange dates the claims of other routers. The time of day is not used, and a datagram may be old when it is read, as
// a process may have stood still meanwhile. A claim that echoes an own report was made after that report was sent, which
// bounds its age by the own clock. It is safe for concurrent use.
type Exchange struct {
	router string
	clock  Clock

	mu    sync.Mutex
	sent  [keptStamps]stamp
	heard map[string]uint64
}

// stamp is the time at which a report was sent.
type stamp struct {
	seq uint64
	at  time.Duration
}

// NewExchange returns the exchange of a router.
func NewExchange(router string, clock Clock) *Exchange {
	return &Exchange{router: router, clock: clock, heard: make(map[string]uint64)}
}

// Sent records that an own report is about to be sent. Numbers must not repeat after a restart.
func (e *Exchange) Sent(seq uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sent[seq%keptStamps] = stamp{seq: seq, at: e.clock()}
}

// Heard records the latest report of another router.
func (e *Exchange) Heard(router string, seq uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.heard[router] = seq
}

// Forget drops a router that is gone.
func (e *Exchange) Forget(router string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.heard, router)
}

// Claim returns the own claim. It is false while nothing was confirmed. The order counts: the age is measured after the
// echoes were taken, and the revision is read after the age, as a proof must not be claimed for a state before it.
func (e *Exchange) Claim(proof *Proof, revision func() int64) (Claim, bool) {
	e.mu.Lock()
	echoes := maps.Clone(e.heard)
	e.mu.Unlock()
	age, ok := proof.Age()
	return Claim{Age: age, Revision: revision(), Echoes: echoes}, ok
}

// Date returns a time, by the own clock, before which the claimed state was not yet out of date. It is false for a claim
// that echoes no known report of this router.
func (e *Exchange) Date(c Claim) (time.Duration, bool) {
	seq, ok := c.Echoes[e.router]
	if !ok {
		return 0, false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.sent[seq%keptStamps]
	if s.seq != seq || s.at == 0 {
		return 0, false
	}
	return s.at - c.Age, true
}
