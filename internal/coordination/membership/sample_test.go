package membership_test

import (
	"fmt"
	"testing"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/coordination/membership"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
)

// majorityWindow is the window over which the daemon counts majorities.
const majorityWindow = 4 * time.Second

// matchingShare returns the share of the members whose view satisfies check, averaged over a number of windows.
func matchingShare(s *sim, windows int, check func(v *membership.View) bool) float64 {
	matching, total := 0, 0
	for range windows {
		s.run(majorityWindow)
		for _, nd := range s.nodes {
			total++
			if check(nd.detector.View()) {
				matching++
			}
		}
	}
	return float64(matching) / float64(total)
}

// Guards against large fleets in which no router sees a majority, since a router pings only 24 others within the
// window, and against halves of a partitioned fleet that take themselves for a majority.
func TestMajorityOfALargeFleetIsEstimated(t *testing.T) {
	for _, n := range []int{64, 400} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			setUpLargeFleet(t, n)
			s := newSim(t, n, 5)
			if _, ok := s.runUntil(time.Minute, func() bool { return s.allSee(n) }); !ok {
				t.Fatal("not converged")
			}
			s.run(majorityWindow)
			majority := func(v *membership.View) bool { return v.HasMajority(s.now, majorityWindow) }
			spread := func(v *membership.View) bool { return 2*v.AtGeneration(s.now, 7) > v.VoterCount() }
			if got := matchingShare(s, 3, majority); got < 0.99 {
				t.Errorf("a share of only %.3f of the members of a healthy fleet sees a majority", got)
			}
			if got := matchingShare(s, 3, spread); got < 0.99 {
				t.Errorf("a share of only %.3f of the members sees a majority at the generation", got)
			}
			half := routerID(n / 2)
			s.partitioned = func(a, b ident.RouterID) bool { return (a < half) != (b < half) }
			s.run(majorityWindow)
			// The estimate alone is wrong in 3 of 100 windows.
			if got := matchingShare(s, 5, majority); got > 0.06 {
				t.Errorf("a share of %.3f of the members of two halves sees a majority", got)
			}
		})
	}
}
