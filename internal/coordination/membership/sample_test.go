package membership_test

import (
	"fmt"
	"testing"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/coordination/membership"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
)

// majorityWindow is the freshness window of the daemon.
const majorityWindow = 4 * time.Second

// majorities returns the share of the members that take themselves for part of a majority, over some windows.
func majorities(s *sim, windows int, check func(v *membership.View) bool) float64 {
	claims, total := 0, 0
	for range windows {
		s.run(majorityWindow)
		for _, nd := range s.nodes {
			total++
			if check(nd.d.View()) {
				claims++
			}
		}
	}
	return float64(claims) / float64(total)
}

// Guards against large fleets that never see a majority, because a router pings only 24 others within the window, and
// against halves of a partitioned fleet that take themselves for one.
func TestMajorityOfALargeFleetIsEstimated(t *testing.T) {
	for _, n := range []int{64, 400} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			largeFleet(t, n)
			s := newSim(t, n, 5)
			if _, ok := s.runUntil(time.Minute, func() bool { return s.allSee(n) }); !ok {
				t.Fatal("not converged")
			}
			s.run(majorityWindow)
			majority := func(v *membership.View) bool { return v.Majority(s.now, majorityWindow) }
			spread := func(v *membership.View) bool { return 2*v.AtGeneration(s.now, 7) > v.Listed() }
			if got := majorities(s, 3, majority); got < 0.99 {
				t.Errorf("majority seen by %.3f of the members of a healthy fleet", got)
			}
			if got := majorities(s, 3, spread); got < 0.99 {
				t.Errorf("spread of the generation seen by %.3f", got)
			}
			half := routerID(n / 2)
			s.cut = func(a, b ident.RouterID) bool { return (a < half) != (b < half) }
			s.run(majorityWindow)
			// The estimate alone errs in 3 of 100 windows.
			if got := majorities(s, 5, majority); got > 0.06 {
				t.Errorf("majority claimed by %.3f of the members of two halves", got)
			}
		})
	}
}
