package timeline

import (
	"sync"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/state/ident"
)

// Ring keeps the latest events of one router. It is safe for concurrent use.
type Ring struct {
	self ident.RouterID
	now  func() time.Time

	mu     sync.Mutex
	last   Stamp
	next   uint64
	events []Event
}

// New returns a ring that keeps capacity events of router self.
func New(capacity int, self ident.RouterID) *Ring {
	return NewWithClock(capacity, self, time.Now)
}

// NewWithClock returns a ring that takes the wall-clock part of its stamps from now.
func NewWithClock(capacity int, self ident.RouterID, now func() time.Time) *Ring {
	return &Ring{self: self, now: now, next: 1, events: make([]Event, capacity)}
}

// Add records an event. It sets the sequence number, the stamp and the router.
func (r *Ring) Add(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.Seq = r.next
	e.Stamp = r.advance()
	e.Router = r.self
	r.events[int(r.next%uint64(len(r.events)))] = e
	r.next++
}

// Stamp returns a new stamp for an outgoing message.
func (r *Ring) Stamp() Stamp {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.advance()
}

// maxAhead bounds how far a received stamp may be ahead of the wall clock. A router with a clock that is off by more
// would otherwise take the clocks of all others with it.
const maxAhead = Stamp(24 * time.Hour / time.Microsecond)

// Observe moves the clock past the stamp of a received message. Stamps that are absurdly high are ignored.
func (r *Ring) Observe(s Stamp) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s <= Stamp(r.now().UnixMicro())+maxAhead {
		r.last = max(r.last, s)
	}
}

// advance returns a stamp above all earlier ones.
func (r *Ring) advance() Stamp {
	wall := Stamp(r.now().UnixMicro())
	r.last = max(r.last+1, wall)
	return r.last
}

// Since returns up to limit events with sequence numbers above seq, oldest first. When events in between were
// overwritten, the first entry is a gap event that says how many are missing.
func (r *Ring) Since(seq uint64, limit int) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	first := seq + 1
	oldest := r.oldest()
	var out []Event
	if first < oldest {
		out = append(out, r.gap(oldest-first))
		first = oldest
	}
	for s := first; s < r.next && len(out) < limit; s++ {
		out = append(out, r.events[int(s%uint64(len(r.events)))])
	}
	return out
}

// Last returns the sequence number of the newest event, or 0 when there is none.
func (r *Ring) Last() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.next - 1
}

func (r *Ring) oldest() uint64 {
	size := uint64(len(r.events))
	if r.next <= size {
		return 1
	}
	return r.next - size
}
