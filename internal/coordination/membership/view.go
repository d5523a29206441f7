package membership

import (
	"sort"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/state/ident"
)

// View is an immutable copy of the member table.
type View struct {
	// Self is the router that owns the view.
	Self ident.RouterID
	// Stale says that the process has just started or was paused, and has not heard a majority since. Decisions that
	// need a current view must wait.
	Stale bool

	members []Member
	live    []Member
	voters  []voter
	samples []sample
	// unheard holds the peer addresses of candidates that were never live.
	unheard map[ident.RouterID]string
}

// voter is a member that counts for majorities.
type voter struct {
	self    bool
	heard   time.Duration
	isHeard bool
	// generation is the last announced one. A router announces 0 until its start is complete.
	generation ident.Generation
}

// Live returns the members that are alive or suspect, self included, sorted by ID. The slice is not to be modified.
func (v *View) Live() []Member { return v.live }

// Members returns all members that were ever live, self included, sorted by ID. The slice is not to be modified.
func (v *View) Members() []Member { return v.members }

// Member returns a member that was ever live.
func (v *View) Member(id ident.RouterID) (Member, bool) {
	i := sort.Search(len(v.members), func(i int) bool { return v.members[i].ID >= id })
	if i == len(v.members) || v.members[i].ID != id {
		return Member{}, false
	}
	return v.members[i], true
}

// PeerAddr returns the peer address of a member or a listed candidate, and false while none is known.
func (v *View) PeerAddr(id ident.RouterID) (string, bool) {
	addr, ok := v.unheard[id]
	if m, known := v.Member(id); known {
		addr, ok = m.PeerAddr, true
	}
	return addr, ok && addr != ""
}

// Listed returns the number of routers that majorities are counted over: the VMs of the last list that was not empty,
// the live members, and the members that died within the last 10 minutes. Counting the latter keeps a router that is cut
// off and has a list that is too short from taking itself for a majority.
func (v *View) Listed() int { return len(v.voters) }

// HeardSince returns how many of the routers counted by Listed answered a ping that was sent within the window, self
// included. Received pings do not count, because a paused process finds old ones in its socket buffers.
func (v *View) HeardSince(now, window time.Duration) int {
	count := 0
	for _, m := range v.voters {
		if m.self || (m.isHeard && m.heard >= now-window) {
			count++
		}
	}
	return count
}

// ConfiguredSince returns how many of the routers counted by Listed announced a configuration and answered a ping that was
// sent within the window, self included. In large fleets a majority is estimated from a sample.
func (v *View) ConfiguredSince(now, window time.Duration) int {
	count := 0
	for _, m := range v.voters {
		if m.self || (m.isHeard && m.heard >= now-window && m.generation > 0) {
			count++
		}
	}
	return max(count, v.estimate(now, window, func(s sample) bool { return s.generation > 0 }))
}

// AtGeneration returns how many of the routers counted by Listed last announced this or a higher generation. In large
// fleets a majority is estimated from a sample.
func (v *View) AtGeneration(now time.Duration, generation ident.Generation) int {
	count := 0
	for _, m := range v.voters {
		if m.generation >= generation {
			count++
		}
	}
	return max(count, v.estimate(now, generationWindow, func(s sample) bool { return s.generation >= generation }))
}

// Majority reports whether a majority of the routers counted by Listed answered a ping sent within the window. In large
// fleets it is estimated from a sample.
func (v *View) Majority(now, window time.Duration) bool {
	if 2*v.HeardSince(now, window) > v.Listed() {
		return true
	}
	return v.estimate(now, window, func(sample) bool { return true }) > 0
}
