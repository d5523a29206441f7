package gossip

import (
	"sync"
	"time"
)

const (
	// relayCount is the number of relays of a fleet, so that the loss of one delays nothing.
	relayCount = 3
	// relayTimeout is the time without a list from a relay after which another router is chosen. The lists of the new one
	// arrive before RelayedInterval ends for the routers that reported to the old one.
	relayTimeout = 2*RelayPeriod + 100*time.Millisecond
)

// Relays chooses the relays of a router. Routers choose nearly the same ones, because all have the same preference, and
// a relay that is lost is lost for all. It is safe for concurrent use.
type Relays struct {
	own string

	mu sync.Mutex
	// lists holds the time of the last list by relay.
	lists map[string]time.Time
	// used holds the time since when each relay is or was in use.
	used map[string]time.Time
}

// NewRelays returns the relays of the router own.
func NewRelays(own string) *Relays {
	return &Relays{own: own, lists: make(map[string]time.Time), used: make(map[string]time.Time)}
}

// Heard records a list from a relay.
func (r *Relays) Heard(now time.Time, relay string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lists[relay] = now
}

// Choose returns the relays among the routers, which are in the order of preference. The router itself may be one.
// lastSigns holds the time of the last sign of life of each router.
func (r *Relays) Choose(now time.Time, routers []string, lastSigns map[string]time.Time) map[string]bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	chosen := make(map[string]bool, relayCount)
	for _, id := range routers {
		if len(chosen) == relayCount {
			break
		}
		if id == r.own || !r.silent(now, id, lastSigns[id]) {
			chosen[id] = true
		}
	}
	return chosen
}

// silent reports whether a relay has sent no list for too long although it was in use, and gave no other sign of life
// since. It counts as in use from the first call on.
func (r *Relays) silent(now time.Time, id string, lastSign time.Time) bool {
	last, ok := r.used[id]
	if !ok {
		r.used[id] = now
		return false
	}
	if list := r.lists[id]; list.After(last) {
		last = list
	}
	if lastSign.Sub(last) > relayTimeout {
		r.used[id] = now
		return false
	}
	return now.Sub(last) > relayTimeout
}
