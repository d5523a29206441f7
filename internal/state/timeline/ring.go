package timeline

import (
	"sync"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/state/ident"
)

// Ring is a ring buffer of the latest events of one router. It is safe for concurrent use.
type Ring struct {
	self ident.RouterID
	now  func() time.Time

	mu        sync.Mutex
	lastStamp Stamp
	nextSeq   uint64
	events    []Event
}

// New returns a ring that keeps the latest capacity events of router self.
func New(capacity int, self ident.RouterID) *Ring {
	return NewWithClock(capacity, self, time.Now)
}

// NewWithClock returns a ring like New whose stamps take the wall-clock time from now.
func NewWithClock(capacity int, self ident.RouterID, now func() time.Time) *Ring {
	return &Ring{self: self, now: now, nextSeq: 1, events: make([]Event, capacity)}
}

// Add records an event. It sets the sequence number, the stamp and the router.
func (r *Ring) Add(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.Seq = r.nextSeq
	e.Stamp = r.nextStamp()
	e.Router = r.self
	r.events[int(r.nextSeq%uint64(len(r.events)))] = e
	r.nextSeq++
}

// Stamp returns a new stamp for an outgoing message.
func (r *Ring) Stamp() Stamp {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.nextStamp()
}

// maxAhead is the maximum lead of a received stamp over the wall clock, in microseconds. Without it, a router whose
// clock is far ahead would move the clocks of all other routers.
const maxAhead = Stamp(24 * time.Hour / time.Microsecond)

// Observe advances the clock past the stamp of a received message. Stamps that are more than maxAhead ahead of the wall
// clock are ignored.
func (r *Ring) Observe(s Stamp) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s <= Stamp(r.now().UnixMicro())+maxAhead {
		r.lastStamp = max(r.lastStamp, s)
	}
}

// nextStamp returns a stamp above all earlier ones. The caller holds the lock.
func (r *Ring) nextStamp() Stamp {
	wall := Stamp(r.now().UnixMicro())
	r.lastStamp = max(r.lastStamp+1, wall)
	return r.lastStamp
}

// Since returns up to limit events with sequence numbers above seq, oldest first. If some of them have been
// overwritten, the first entry is a gap event that says how many are missing.
func (r *Ring) Since(seq uint64, limit int) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	first := seq + 1
	oldest := r.oldestSeq()
	var out []Event
	if first < oldest {
		out = append(out, r.gapEvent(oldest-first))
		first = oldest
	}
	for s := first; s < r.nextSeq && len(out) < limit; s++ {
		out = append(out, r.events[int(s%uint64(len(r.events)))])
	}
	return out
}

// Last returns the sequence number of the newest event, or 0 when there is none.
func (r *Ring) Last() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.nextSeq - 1
}

func (r *Ring) oldestSeq() uint64 {
	size := uint64(len(r.events))
	if r.nextSeq <= size {
		return 1
	}
	return r.nextSeq - size
}
