package gossip

import (
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// lostIntervals is the number of its report intervals without a sign of life after which a router counts as lost.
	// minSilence is that time for the shortest interval.
	lostIntervals = 3.25
	minSilence    = time.Duration(lostIntervals * float64(MaxPeriod))
	// forgetAfter is the time after which the report of a lost router is dropped. Until then a relay's sightings are
	// enough to count it as live again.
	forgetAfter = time.Minute
	// overtakenTime is the longest time by which a datagram of an earlier start of a router arrives later than one of the
	// next start. Incarnations are times of day, and a clock may go back, so that the later start has the lower one.
	overtakenTime = 500 * time.Millisecond
)

// Peer is the latest report of another router.
type Peer struct {
	*Report
	// Heard is the time of the router's last sign of life: a report, or a sighting by a relay.
	Heard time.Time
	// sighted is set if that was a sighting. The interval that the report states then does not apply.
	sighted bool
}

// entry is the state of another router.
type entry struct {
	Peer
	// lost is set if RemoveLost has returned the router and no sign of life came since.
	lost bool
	// reported is when the latest report arrived.
	reported time.Time
	// replaced is the incarnation that a lower one has replaced, or 0.
	replaced uint64
}

// accepts reports whether a report is newer than the latest one: it is of the same start with a higher number, of a start
// with a higher incarnation, or of one with a lower incarnation once no report of the known start has arrived for
// overtakenTime.
func (e *entry) accepts(now time.Time, r *Report) bool {
	switch {
	case r.Incarnation == e.Incarnation:
		return r.Seq > e.Seq
	case r.Incarnation == e.replaced:
		return false
	default:
		return r.Incarnation > e.Incarnation || now.Sub(e.reported) > overtakenTime
	}
}

// Peers holds the latest report of each other router. It is safe for concurrent use.
type Peers struct {
	mu      sync.Mutex
	entries map[string]*entry
	// sorted holds the values of entries, sorted by name.
	sorted []*entry
	// byPresence holds the names by the presence keys of their latest reports.
	byPresence map[PresenceKey]string
}

// silent reports whether the router has missed its reports.
func (p *Peer) silent(now time.Time) bool {
	age := now.Sub(p.Heard)
	if age <= minSilence {
		return false
	}
	interval := min(max(time.Duration(p.IntervalMS)*time.Millisecond, MaxPeriod), RelayedInterval)
	if p.sighted {
		interval = RelayedInterval
	}
	return age > time.Duration(lostIntervals*float64(interval))
}

// NewPeers returns an empty table.
func NewPeers() *Peers {
	return &Peers{entries: make(map[string]*entry), byPresence: make(map[PresenceKey]string)}
}

// Update records a report. It returns false for a report that is not newer than the one known.
func (p *Peers) Update(now time.Time, r *Report) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	known, ok := p.entries[r.Router]
	if !ok {
		known = &entry{Peer: Peer{Report: r}}
		p.entries[r.Router] = known
		i, _ := slices.BinarySearchFunc(p.sorted, r.Router, func(e *entry, name string) int {
			return strings.Compare(e.Router, name)
		})
		p.sorted = slices.Insert(p.sorted, i, known)
	} else {
		if !known.accepts(now, r) {
			return false
		}
		if r.Incarnation < known.Incarnation {
			known.replaced = known.Incarnation
		}
		delete(p.byPresence, known.presenceKey())
	}
	known.Peer = Peer{Report: r, Heard: now}
	known.reported = now
	known.lost = false
	p.byPresence[r.presenceKey()] = r.Router
	return true
}

// Live returns the routers that are not lost, sorted by name.
func (p *Peers) Live(now time.Time) []Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	live := make([]Peer, 0, len(p.sorted))
	for _, e := range p.sorted {
		if !e.silent(now) {
			live = append(live, e.Peer)
		}
	}
	return live
}

// Known returns all routers with a report, lost ones included, sorted by name.
func (p *Peers) Known() []Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := make([]Peer, len(p.sorted))
	for i, e := range p.sorted {
		known[i] = e.Peer
	}
	return known
}

// RemoveLost returns the names of the routers that have become lost since the last call.
func (p *Peers) RemoveLost(now time.Time) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var lost []string
	p.sorted = slices.DeleteFunc(p.sorted, func(e *entry) bool {
		if !e.lost && e.silent(now) {
			e.lost = true
			lost = append(lost, e.Router)
		}
		if now.Sub(e.Heard) <= forgetAfter {
			return false
		}
		delete(p.entries, e.Router)
		delete(p.byPresence, e.presenceKey())
		return true
	})
	return lost
}
