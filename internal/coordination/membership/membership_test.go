package membership_test

import (
	"testing"
	"time"
)

// Guards against routers that do not find each other after starting at the same time.
func TestConverges(t *testing.T) {
	s := newSim(t, 8, 1)
	took, ok := s.runUntil(5*time.Second, func() bool { return s.allSee(8) })
	if !ok {
		t.Fatal("not converged")
	}
	t.Logf("converged in %v", took)
	s.run(2 * time.Second)
	for _, nd := range s.nodes {
		v := nd.detector.View()
		if v.Stale || v.VoterCount() != 8 || !v.HasMajority(s.now, 4*time.Second) {
			t.Fatalf("%s: stale %v, %d voters, %d answered", nd.id, v.Stale, v.VoterCount(),
				v.AnsweredWithin(s.now, 4*time.Second))
		}
	}
}

// Guards against slow detection: all other members must declare a crashed member dead within 3 s.
func TestDetectsCrash(t *testing.T) {
	worst := time.Duration(0)
	for seed := uint64(1); seed <= 50; seed++ {
		s := newSim(t, 8, seed)
		s.measured = 0
		s.run(10*time.Second + time.Duration(seed)*37*time.Millisecond)
		s.nodes[3].down = true
		took, ok := s.runUntil(10*time.Second, func() bool { return s.allSee(7) })
		if !ok {
			t.Fatalf("seed %d: not detected", seed)
		}
		worst = max(worst, took)
	}
	t.Logf("slowest detection by all members: %v", worst)
	if worst > 3*time.Second {
		t.Errorf("detection took %v", worst)
	}
}
