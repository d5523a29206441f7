package publish

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/state/kv"
	"gooseberrytide.example/gooseberrytide/internal/state/object"
)

// always is a quorum function that is always satisfied.
func always() bool { return true }

// vmSet returns a set of active VMs.
func vmSet(names ...string) *object.Set {
	set := object.NewSet()
	for _, name := range names {
		set.VMs[name] = &object.VM{Name: name, State: object.StateActive}
	}
	return set
}

// withDraining returns a copy of a set in which the VM is draining.
func withDraining(set *object.Set, name string) *object.Set {
	copied := set.Clone()
	copied.VMs[name] = &object.VM{Name: name, State: object.StateDraining}
	return copied
}

func mustPublish(t *testing.T, p *Publisher, base ident.Generation, set *object.Set) ident.Generation {
	t.Helper()
	gen, err := p.Publish(t.Context(), base, set)
	if err != nil {
		t.Fatalf("publish on %d: %v", base, err)
	}
	return gen
}

func mustHead(t *testing.T, p *Publisher) (ident.Generation, *object.Set) {
	t.Helper()
	gen, set, err := p.Head(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return gen, set
}

// Guards against conflicts that name other objects than those both sides changed, and against a conflicting publish
// that overwrites the configuration in force.
func TestConflictNamesObjects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := NewPublisher(kv.NewFake(), always)
		base := vmSet("a", "b", "c")
		first := mustPublish(t, p, 0, base)
		mustPublish(t, p, first, withDraining(withDraining(base, "a"), "b"))
		mine := withDraining(base, "c")
		mine.Remove(object.ID{Kind: object.KindVM, Name: "b"})
		_, err := p.Publish(t.Context(), first, mine)
		var conflict *ConflictError
		if !errors.As(err, &conflict) || conflict.Generation != 2 || conflict.Approximate {
			t.Fatalf("got %v", err)
		}
		if len(conflict.Objects) != 1 || conflict.Objects[0].Name != "b" {
			t.Fatalf("objects %v", conflict.Objects)
		}
		_, err = p.Publish(t.Context(), first, withDraining(base, "c"))
		if !errors.As(err, &conflict) || len(conflict.Objects) != 0 {
			t.Fatalf("disjoint changes: %v", err)
		}
		if gen, _ := mustHead(t, p); gen != 2 {
			t.Fatalf("head is %d", gen)
		}
	})
}

// Guards against publishes without quorum, of invalid sets, and of sets that change nothing.
func TestPublishPreconditions(t *testing.T) {
	store := kv.NewFake()
	quorum := false
	p := NewPublisher(store, func() bool { return quorum })
	if _, err := p.Publish(t.Context(), 0, vmSet("a")); !errors.Is(err, ErrNoQuorum) {
		t.Fatal(err)
	}
	var findings object.Findings
	if _, err := p.Publish(t.Context(), 0, vmSet("a b")); !errors.As(err, &findings) {
		t.Fatal(err)
	}
	if keys := store.Keys(); len(keys) != 0 {
		t.Fatalf("wrote %v", keys)
	}
	quorum = true
	first := mustPublish(t, p, 0, vmSet("a"))
	if again := mustPublish(t, p, first, vmSet("a")); again != first {
		t.Fatalf("unchanged set got generation %d", again)
	}
}

// Guards against a lost response to the head's write that is reported as success when the head was not written, or as
// failure when it was.
func TestLostHeadResponse(t *testing.T) {
	for name, fault := range map[string]kv.Fault{
		"applied": {Kind: kv.FaultLostApplied},
		"late":    {Kind: kv.FaultLostLate, Late: 100 * time.Millisecond},
		"dropped": {Kind: kv.FaultLostDropped},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := kv.NewFake()
				p := NewPublisher(store, always)
				lost := false
				store.Inject(func(op kv.Op, key string) kv.Fault {
					if op == kv.OpCompareAndSwap && key == HeadKey && !lost {
						lost = true
						return fault
					}
					return kv.Fault{}
				})
				if gen := mustPublish(t, p, 0, vmSet("a")); gen != 1 {
					t.Fatalf("generation %d", gen)
				}
				time.Sleep(time.Second)
				if n := len(store.Versions(HeadKey)); n != 1 {
					t.Fatalf("%d heads were written", n)
				}
			})
		})
	}
}

// Guards against a definite result when the response to the head's write is lost and the store is down afterwards.
func TestLostResponseThenOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := kv.NewFake()
		p := NewPublisher(store, always)
		store.Inject(func(op kv.Op, key string) kv.Fault {
			if op == kv.OpCompareAndSwap && key == HeadKey {
				store.SetOutage(true)
				return kv.Fault{Kind: kv.FaultLostLate}
			}
			return kv.Fault{}
		})
		_, err := p.Publish(t.Context(), 0, vmSet("a"))
		var uncertain *UncertainError
		if !errors.As(err, &uncertain) || !errors.Is(err, kv.ErrUncertain) || uncertain.Generation != 1 {
			t.Fatalf("got %v", err)
		}
	})
}

// Guards against a store outage that is reported as a conflict, and against a publish that hangs during the outage.
func TestPublishDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := kv.NewFake()
		store.SetOutage(true)
		p := NewPublisher(store, always)
		if _, err := p.Publish(t.Context(), 0, vmSet("a")); !errors.Is(err, kv.ErrUnavailable) {
			t.Fatal(err)
		}
	})
}

// Guards against a garbage collector that deletes chunks in use, or never deletes unreferenced chunks.
func TestCollectGarbage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := kv.NewFake()
		p := NewPublisher(store, always)
		gen := ident.Generation(0)
		for i := range 3 * maxPast {
			gen = mustPublish(t, p, gen, vmSet(fmt.Sprintf("vm-%d", i)))
		}
		deleted, err := p.CollectGarbage(t.Context())
		if err != nil || deleted != 3*maxPast-maxPast-1 {
			t.Fatalf("deleted %d: %v", deleted, err)
		}
		if got, set := mustHead(t, p); got != gen || len(set.VMs) != 1 {
			t.Fatalf("head %d has %d VMs", got, len(set.VMs))
		}
		mustPublish(t, p, gen, vmSet("vm-0"))
		mustHead(t, p)
	})
}

// Guards against a change of one object that rewrites the whole configuration, at the target size.
func TestChunksAtTargetSize(t *testing.T) {
	set := object.NewSet()
	for i := range 11_000 {
		name := fmt.Sprintf("team-%d", i)
		set.Teams[name] = &object.Team{Name: name, Weight: 1, MaxQueued: 1, APIKeyHashes: []string{strings.Repeat("a", 64)}}
	}
	before, err := splitChunks(set)
	if err != nil {
		t.Fatal(err)
	}
	set.Teams["team-77"].Weight = 2
	set.Teams["team-new"] = &object.Team{Name: "team-new", Weight: 1}
	after, err := splitChunks(set)
	if err != nil {
		t.Fatal(err)
	}
	old := make(map[string]bool)
	for _, c := range before {
		old[c.hash] = true
		if len(c.data) > kv.MaxValueBytes {
			t.Errorf("chunk of %d bytes", len(c.data))
		}
	}
	written := 0
	for _, c := range after {
		if !old[c.hash] {
			written++
		}
	}
	if written > 4 {
		t.Errorf("two changed objects rewrite %d of %d chunks", written, len(after))
	}
}

// Guards against a published head with missing chunks when a garbage collector runs between a publish's chunk writes
// and its write of the head.
func TestCollectGarbageDuringPublish(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := kv.NewFake()
		p := NewPublisher(store, always)
		first := mustPublish(t, p, 0, vmSet("a"))
		collected := false
		store.Inject(func(op kv.Op, key string) kv.Fault {
			if op == kv.OpCompareAndSwap && key == HeadKey && !collected {
				collected = true
				if n, err := p.CollectGarbage(context.Background()); n != 1 || err != nil {
					t.Errorf("collected %d: %v", n, err)
				}
			}
			return kv.Fault{}
		})
		mustPublish(t, p, first, vmSet("b"))
		if _, set := mustHead(t, p); set.VMs["b"] == nil {
			t.Fatal("the head has no content")
		}
	})
}
