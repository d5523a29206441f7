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
	// Stale says that the process has just started or was paused, and that no majority has answered its pings since.
	// Decisions that need a current view must wait.
	Stale bool

	members []Member
	live    []Member
	voters  []voter
	samples []sample
	// candidateAddrs holds the peer addresses of candidates that were never live.
	candidateAddrs map[ident.RouterID]string
}

// voter is a member that counts towards majorities.
type voter struct {
	self bool
	// lastAcked is the sending time of the latest ping that the member answered directly, valid if hasAcked.
	lastAcked time.Duration
	hasAcked  bool
	// generation is the member's last announced generation. A router announces 0 until its start is complete.
	generation ident.Generation
}

// Live returns the members that are alive or suspect, self included, sorted by ID. Callers must not modify the slice.
func (v *View) Live() []Member { return v.live }

// Members returns all members that were ever live, self included, sorted by ID. Callers must not modify the slice.
func (v *View) Members() []Member { return v.members }

// Member returns a member that was ever live, and whether there is one with the ID.
func (v *View) Member(id ident.RouterID) (Member, bool) {
	i := sort.Search(len(v.members), func(i int) bool { return v.members[i].ID >= id })
	if i == len(v.members) || v.members[i].ID != id {
		return Member{}, false
	}
	return v.members[i], true
}

// PeerAddr returns the peer address of a member or a listed candidate, and whether one is known.
func (v *View) PeerAddr(id ident.RouterID) (string, bool) {
	addr, ok := v.candidateAddrs[id]
	if m, known := v.Member(id); known {
		addr, ok = m.PeerAddr, true
	}
	return addr, ok && addr != ""
}

// VoterCount returns the number of voters, the routers among which majorities are counted: the VMs of the last list
// that was not empty, the live members, and the members that died within the last 10 minutes. Counting the latter keeps
// a router that is partitioned off and has a list that is too short from taking itself for a majority.
func (v *View) VoterCount() int { return len(v.voters) }

// AnsweredWithin returns how many voters answered a ping that was sent within the window, self included. Received pings
// do not count, because a process that was paused finds old ones in its socket buffers.
func (v *View) AnsweredWithin(now, window time.Duration) int {
	count := 0
	for _, m := range v.voters {
		if m.self || (m.hasAcked && m.lastAcked >= now-window) {
			count++
		}
	}
	return count
}

// ConfiguredWithin returns how many voters announced a configuration and answered a ping that was sent within the
// window, self included. In large fleets a majority is estimated from a sample.
func (v *View) ConfiguredWithin(now, window time.Duration) int {
	count := 0
	for _, m := range v.voters {
		if m.self || (m.hasAcked && m.lastAcked >= now-window && m.generation > 0) {
			count++
		}
	}
	return max(count, v.estimate(now, window, func(s sample) bool { return s.generation > 0 }))
}

// AtGeneration returns how many voters last announced this or a higher generation. In large fleets a majority is
// estimated from a sample.
func (v *View) AtGeneration(now time.Duration, generation ident.Generation) int {
	count := 0
	for _, m := range v.voters {
		if m.generation >= generation {
			count++
		}
	}
	return max(count, v.estimate(now, generationWindow, func(s sample) bool { return s.generation >= generation }))
}

// HasMajority reports whether a majority of the voters answered a ping that was sent within the window. In large fleets
// it is estimated from a sample.
func (v *View) HasMajority(now, window time.Duration) bool {
	if 2*v.AnsweredWithin(now, window) > v.VoterCount() {
		return true
	}
	return v.estimate(now, window, func(sample) bool { return true }) > 0
}
