package membership_test

import (
	"testing"
	"time"
)

// Guards against a fleet that does not find itself after a common start.
func TestConverges(t *testing.T) {
	s := newSim(t, 8, 1)
	took, ok := s.runUntil(5*time.Second, func() bool { return s.allSee(8) })
	if !ok {
		t.Fatal("not converged")
	}
	t.Logf("converged in %v", took)
	s.run(2 * time.Second)
	for _, nd := range s.nodes {
		v := nd.d.View()
		if v.Stale || v.Listed() != 8 || !v.Majority(s.now, 4*time.Second) {
			t.Fatalf("%s: stale %v, listed %d, heard %d", nd.id, v.Stale, v.Listed(), v.HeardSince(s.now, 4*time.Second))
		}
	}
}

// Guards against slow detection: all survivors must hold a crashed member dead within 3 s.
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
	t.Logf("slowest detection by all: %v", worst)
	if worst > 3*time.Second {
		t.Errorf("detection took %v", worst)
	}
}
