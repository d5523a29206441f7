package scheduler

import (
	"testing"
	"time"
)

// Guards against a queued request that is not granted when a slot becomes free.
func TestGrantFollowsFreeSlot(t *testing.T) {
	r := newHarness(1, 1)
	a, b := r.enqueue("a", 10), r.enqueue("b", 10)
	first := r.grants()
	if len(first) != 1 || first[0].Ref != a || first[0].Fence != 7 || first[0].Generation != 1 {
		t.Fatalf("first grants %+v", first)
	}
	r.settle(a, 10)
	second := r.grants()
	if len(second) != 1 || second[0].Ref != b {
		t.Fatalf("second grants %+v", second)
	}
}

// Guards against a slot that stays occupied forever when a grant message is lost.
func TestLostGrantReleasesItsSlot(t *testing.T) {
	r := newHarness(1, 1)
	r.enqueue("a", 10)
	b := r.enqueue("b", 10)
	r.grants()
	r.tick(GrantTimeout - time.Second)
	if early := r.grants(); len(early) != 0 {
		t.Fatalf("slot released early: %+v", early)
	}
	r.tick(2 * time.Second)
	if late := r.grants(); len(late) != 1 || late[0].Ref != b {
		t.Fatalf("grants after the timeout: %+v", late)
	}
}

// Guards against granting requests to a backend server that refuses connections, and against not readmitting it after a
// successful probe.
func TestRefusalsEjectAndASuccessfulProbeReadmits(t *testing.T) {
	r := newHarness(1, 4)
	for range ejectFailures {
		a := r.enqueue("a", 10)
		r.refuse(a)
	}
	r.grants()
	a := r.enqueue("a", 10)
	b := r.enqueue("a", 10)
	if g := r.grants(); len(g) != 0 {
		t.Fatalf("granted to an ejected backend server: %+v", g)
	}
	r.tick(probeDelayMin + wheelTick)
	if g := r.grants(); len(g) != 1 || g[0].Ref != a {
		t.Fatalf("probe grants: %+v", g)
	}
	r.settle(a, 10)
	if g := r.grants(); len(g) != 1 || g[0].Ref != b {
		t.Fatalf("grants after the probe: %+v", g)
	}
}
