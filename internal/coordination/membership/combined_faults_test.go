package membership_test

import (
	"fmt"
	"testing"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/coordination/membership"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
)

// Guards against combinations of faults after which the members do not agree on the membership again: crashes, restarts
// without state and with clocks that went forward or back, pauses, partitions, packet loss and wrong VM lists.
func TestRecoversFromCombinedFaults(t *testing.T) {
	seeds := []uint64{2347} // this seed left a member without the addresses of another one
	for seed := range uint64(40) {
		seeds = append(seeds, seed+1)
	}
	for _, seed := range seeds {
		s := newConvergedSim(t, seed)
		s.measured = 0
		for range 30 {
			s.injectFault()
			s.run(time.Duration(s.rand.Int64N(int64(4 * time.Second))))
		}
		s.heal()
		if _, ok := s.runUntil(15*time.Second, s.agree); !ok {
			t.Fatalf("seed %d: not recovered: %s", seed, s.disagreement())
		}
		s.run(10 * time.Second)
		if !s.agree() {
			t.Fatalf("seed %d: the recovered view does not last", seed)
		}
	}
}

// injectFault injects one random fault.
func (s *sim) injectFault() {
	nd := s.nodes[s.rand.IntN(len(s.nodes))]
	switch s.rand.IntN(7) {
	case 0:
		nd.down = true
	case 1:
		s.restart(nd)
	case 2:
		nd.paused = true
	case 3:
		s.resume(nd)
	case 4:
		mask := s.rand.Uint64()
		side := func(id ident.RouterID) bool { return mask>>(id[len(id)-1]-'0')&1 == 1 }
		s.partitioned = func(a, b ident.RouterID) bool { return side(a) != side(b) }
	case 5:
		s.loss = s.rand.Float64() / 4
	case 6:
		nd.detector.SetCandidates(s.now, []membership.Candidate{{ID: routerID(s.rand.IntN(8))}, {ID: "ghost"}})
	}
}

// restart gives a node a new detector, with a clock that may have gone back.
func (s *sim) restart(nd *node) {
	nd.inbox = nil
	nd.down, nd.paused = false, false
	s.startNode(nd, ident.Incarnation(1+s.rand.Uint64N(3_580_000_000_000)))
	nd.detector.SetCandidates(s.now, candidates(8))
}

// heal ends all faults.
func (s *sim) heal() {
	s.loss = 0
	s.partitioned = func(a, b ident.RouterID) bool { return false }
	for _, nd := range s.nodes {
		if nd.down {
			s.restart(nd)
		}
		s.resume(nd)
		nd.detector.SetCandidates(s.now, candidates(8))
	}
}

// agree reports whether all nodes see each other alive under the current incarnation of each, with a caller address.
func (s *sim) agree() bool { return s.disagreement() == "" }

// disagreement describes a node whose view is stale, or a member whose row at another node is wrong. It returns "" if
// there is none.
func (s *sim) disagreement() string {
	for _, by := range s.nodes {
		if by.detector.View().Stale {
			return string(by.id) + " is stale"
		}
		for _, of := range s.nodes {
			m, _ := by.detector.View().Member(of.id)
			if m.State != membership.Alive || m.Incarnation != of.detector.SelfIncarnation() || m.CallerAddr == "" {
				return fmt.Sprintf("%s has %+v, whose incarnation is %d", by.id, m, of.detector.SelfIncarnation())
			}
		}
	}
	return ""
}
