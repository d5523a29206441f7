package publish

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/state/kv"
	"gooseberrytide.example/gooseberrytide/internal/state/object"
	"gooseberrytide.example/gooseberrytide/internal/state/snapshot"
)

// mustApply publishes through a router and waits until the fleet has the generation.
func (f *fleet) mustApply(t *testing.T, r *testRouter, base ident.Generation, set *object.Set) ident.Generation {
	t.Helper()
	gen, err := Apply(t.Context(), r.publisher(), r.currentSyncer(), base, set)
	if err != nil {
		t.Fatalf("publish on %d: %v", base, err)
	}
	time.Sleep(inForceWithin)
	for _, other := range f.routers {
		if got := other.currentSyncer().generation(); got != gen {
			t.Fatalf("%s has generation %d, want %d", other.id, got, gen)
		}
	}
	return gen
}

// Guards against a publish on the configuration of an older copy of the store, which reverts an acknowledged one that
// the routers still have in force, and against a fleet that can't publish until the store's generations have caught up.
func TestRestoredStoreDoesNotRevertAPublish(t *testing.T) {
	withFleet(t, 3, func(t *testing.T, f *fleet) {
		f.startAll(t.Context())
		time.Sleep(time.Minute)
		r := f.routers[0]
		first := f.mustApply(t, r, 0, vmSet("a"))
		older := f.store.Copy()
		second := f.mustApply(t, r, first, vmSet("a", "b"))
		f.store.Restore(older)
		var lost *LostError
		if gen, _, err := r.publisher().Head(t.Context()); !errors.As(err, &lost) || lost.Generation != second {
			t.Errorf("the head is generation %d: %v", gen, err)
		}
		_, err := r.publisher().Publish(t.Context(), first, withDraining(vmSet("a"), "a"))
		var conflict *ConflictError
		if !errors.As(err, &conflict) || conflict.Generation != second {
			t.Errorf("publish on the copy's generation: %v", err)
		}
		for _, again := range []*object.Set{vmSet("a", "b"), vmSet("a")} {
			second = f.mustApply(t, r, second, again)
			fresh := NewPublisher(f.store, always)
			if gen, set := mustHead(t, fresh); gen != second || len(set.VMs) != len(again.VMs) {
				t.Errorf("the store has generation %d with %d VMs", gen, len(set.VMs))
			}
		}
	})
}

// Guards against two configurations with the same generation: a router whose generation the store has lost would not
// take the other one.
func TestRestoredStoreDoesNotGiveOutAGenerationTwice(t *testing.T) {
	withFleet(t, 3, func(t *testing.T, f *fleet) {
		f.startAll(t.Context())
		time.Sleep(time.Minute)
		alone := f.routers[2]
		first := f.mustApply(t, alone, 0, vmSet("a"))
		older := f.store.Copy()
		f.isolate(alone, true)
		for _, r := range f.routers[:2] {
			f.setStoreUnreachable(r, true)
		}
		second, err := alone.publisher().Publish(t.Context(), first, vmSet("a", "b"))
		if err != nil {
			t.Fatal(err)
		}
		alone.currentSyncer().InstallPublished(second, vmSet("a", "b"))
		f.store.Restore(older)
		for _, r := range f.routers[:2] {
			f.setStoreUnreachable(r, false)
		}
		third, err := f.routers[0].publisher().Publish(t.Context(), first, vmSet("a", "c"))
		if err != nil || third == second {
			t.Fatalf("generation %d was given out again: %v", third, err)
		}
		f.isolate(alone, false)
		time.Sleep(inForceWithin)
		for _, r := range f.routers {
			if set := r.holder.Load().Set(); set.VMs["c"] == nil || set.VMs["b"] != nil {
				t.Fatalf("%s has generation %d with VMs %v", r.id, r.currentSyncer().generation(), set.IDs())
			}
		}
	})
}

// Guards against routers that permanently stop serving and refuse publishes, because they saw a head that the store
// lost before any router had its chunks.
func TestLostHeadThatNoRouterHasIsForgotten(t *testing.T) {
	withFleet(t, 3, func(t *testing.T, f *fleet) {
		f.startAll(t.Context())
		time.Sleep(time.Minute)
		first := f.mustApply(t, f.routers[0], 0, vmSet("a"))
		older := f.store.Copy()
		f.store.Inject(func(op kv.Op, key string) kv.Fault {
			if op == kv.OpGet && key != HeadKey {
				return kv.Fault{Kind: kv.FaultOutage}
			}
			return kv.Fault{}
		})
		mustPublish(t, restorablePublisher(f.store), first, vmSet("b"))
		time.Sleep(inForceWithin)
		f.store.Restore(older)
		f.store.Inject(nil)
		time.Sleep(inForceWithin)
		for _, r := range f.routers {
			f.expectState(t, r, first, true)
		}
		f.mustApply(t, f.routers[0], first, vmSet("c"))
	})
}

// restorablePublisher returns a publisher without routers that notices restores.
func restorablePublisher(store *kv.Fake) *Publisher {
	p := NewPublisher(store, always)
	p.DetectRestores(store.Cluster, unknownFleet{})
	return p
}

// Guards against a head without its chunks, because the store was restored between the writes of the chunks and that of
// the head, whose revision the copy has.
func TestPublishDuringARestoreWritesItsChunksAgain(t *testing.T) {
	for name, test := range map[string]struct {
		fault kv.FaultKind
		away  time.Duration
		// again is the fault of the first write of the head after the restore.
		again kv.FaultKind
	}{
		"answered":                {},
		"response lost":           {fault: kv.FaultLostApplied},
		"store away after it":     {away: 20 * time.Second},
		"second response lost":    {again: kv.FaultLostApplied},
		"second write lost":       {again: kv.FaultLostDropped},
		"away, and response lost": {fault: kv.FaultLostApplied, away: 5 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := kv.NewFake()
				p := restorablePublisher(store)
				first := mustPublish(t, p, 0, vmSet("a"))
				older := store.Copy()
				var awayUntil time.Time
				store.Inject(func(op kv.Op, key string) kv.Fault {
					if op == kv.OpCompareAndSwap && key == HeadKey && store.Cluster() == "cluster-0" {
						store.Restore(older)
						awayUntil = time.Now().Add(test.away)
						return kv.Fault{Kind: test.fault}
					}
					if time.Now().Before(awayUntil) {
						return kv.Fault{Kind: kv.FaultOutage}
					}
					if op == kv.OpCompareAndSwap && key == HeadKey {
						fault := test.again
						test.again = kv.FaultNone
						return kv.Fault{Kind: fault}
					}
					return kv.Fault{}
				})
				gen := mustPublish(t, p, first, vmSet("b"))
				if head, set := mustHead(t, NewPublisher(store, always)); head != gen || set.VMs["b"] == nil {
					t.Fatalf("head %d, published %d", head, gen)
				}
				if gen <= first+1 {
					t.Fatalf("generation %d may have been given out before the restore", gen)
				}
			})
		})
	}
}

// Guards against a write in doubt that is repeated after a restore and replaces another publish, whose head has the
// revision that was assigned twice.
func TestWriteInDoubtDoesNotReplaceAPublishAfterARestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := kv.NewFake()
		first := mustPublish(t, restorablePublisher(store), 0, vmSet("a"))
		older := store.Copy()
		second := mustPublish(t, restorablePublisher(store), first, vmSet("b"))
		other := ident.Generation(0)
		store.Inject(func(op kv.Op, key string) kv.Fault {
			if op == kv.OpCompareAndSwap && key == HeadKey && store.Cluster() == "cluster-0" {
				store.Restore(older)
				other = mustPublish(t, restorablePublisher(store), first, vmSet("c"))
				return kv.Fault{Kind: kv.FaultLostDropped}
			}
			return kv.Fault{}
		})
		_, err := restorablePublisher(store).Publish(t.Context(), second, vmSet("d"))
		var uncertain *UncertainError
		if !errors.As(err, &uncertain) {
			t.Errorf("got %v", err)
		}
		if gen, set := mustHead(t, NewPublisher(store, always)); gen != other || set.VMs["c"] == nil {
			t.Errorf("the head is generation %d, want %d", gen, other)
		}
	})
}

// Guards against a publish that replaces another one after a restore, because that one's head has the revision of the
// head that was read before.
func TestPublishDoesNotReplaceAnotherHeadOfTheSameRevision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := kv.NewFake()
		first := mustPublish(t, restorablePublisher(store), 0, vmSet("a"))
		older := store.Copy()
		second := mustPublish(t, restorablePublisher(store), first, vmSet("b"))
		other := ident.Generation(0)
		store.Inject(func(op kv.Op, key string) kv.Fault {
			if op == kv.OpCompareAndSwap && key == HeadKey && store.Cluster() == "cluster-0" {
				store.Restore(older)
				other = mustPublish(t, restorablePublisher(store), first, vmSet("c"))
			}
			return kv.Fault{}
		})
		gen, err := restorablePublisher(store).Publish(t.Context(), second, vmSet("d"))
		var conflict *ConflictError
		if !errors.As(err, &conflict) {
			t.Errorf("published generation %d over %d: %v", gen, other, err)
		}
		if head, set := mustHead(t, NewPublisher(store, always)); head != other || set.VMs["c"] == nil {
			t.Errorf("the head is generation %d, want %d", head, other)
		}
	})
}

// Guards against routers that learn of a publish after a restore only by the end of their watch, because they watch
// from a revision that the restored store has not reached.
func TestWatchesFollowARestoredStore(t *testing.T) {
	withFleet(t, 1, func(t *testing.T, f *fleet) {
		f.startAll(t.Context())
		time.Sleep(time.Minute)
		older := f.store.Copy()
		gen := ident.Generation(0)
		for _, name := range []string{"a", "b", "c", "d"} {
			gen = f.mustApply(t, f.routers[0], gen, vmSet(name))
		}
		f.store.Restore(older)
		time.Sleep(time.Minute)
		p := NewPublisher(f.store, always)
		p.UseSnapshot(f.routers[0].holder)
		p.DetectRestores(f.store.Cluster, f.routers[0].currentSyncer())
		for _, name := range []string{"e", "f"} {
			gen = mustPublish(t, p, gen, vmSet(name))
			time.Sleep(storeCheckInterval + 100*time.Millisecond)
		}
		if got := f.routers[0].currentSyncer().generation(); got != gen {
			t.Fatalf("generation %d, want %d", got, gen)
		}
	})
}

// Guards against a collector that deletes a chunk in use, because it listed the chunk before a restore at the revision
// at which the chunk was written again.
func TestCollectGarbageDuringARestoreKeepsChunks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := kv.NewFake()
		p := restorablePublisher(store)
		first := mustPublish(t, p, 0, vmSet("a"))
		older := store.Copy()
		if _, err := store.CompareAndSwap(t.Context(), "other", 0, nil); err != nil {
			t.Fatal(err)
		}
		unused, err := splitChunks(vmSet("b"))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := store.CompareAndSwap(t.Context(), ChunkPrefix+unused[0].hash, 0, unused[0].data); err != nil {
			t.Fatal(err)
		}
		store.Inject(func(op kv.Op, key string) kv.Fault {
			switch {
			case op == kv.OpCompareAndSwap && key == HeadKey && store.Cluster() == "cluster-0":
				store.Restore(older)
			case op == kv.OpDelete:
				mustPublish(t, p, first, vmSet("b"))
			}
			return kv.Fault{}
		})
		if _, err := p.CollectGarbage(t.Context()); !errors.Is(err, ErrStoreRestored) {
			t.Errorf("collected: %v", err)
		}
		mustHead(t, NewPublisher(store, always))
	})
}

// crossedStore is restored between a read of the head and its response.
type crossedStore struct {
	*kv.Fake
	older kv.StoreCopy
}

func (s *crossedStore) Get(ctx context.Context, key string) (kv.Entry, error) {
	entry, err := s.Fake.Get(ctx, key)
	if s.Cluster() == "cluster-0" {
		s.Restore(s.older)
	}
	return entry, err
}

// Guards against a head that was read before a restore and counts as one of the store after it: no router can get it,
// and those that know of it stop serving.
func TestHeadReadAcrossARestoreIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &crossedStore{Fake: kv.NewFake()}
		store.older = store.Copy()
		mustPublish(t, restorablePublisher(store.Fake), 0, vmSet("a"))
		s := NewSyncer(SyncOptions{
			Store: store, Holder: &snapshot.Holder{}, Peers: newFleet(1).routers[0], Cluster: store.Cluster,
		})
		if err := s.confirmHead(t.Context()); !errors.Is(err, ErrStoreRestored) || s.KnownGeneration() != 0 {
			t.Fatalf("generation %d, error %v", s.KnownGeneration(), err)
		}
	})
}

// Guards against a router that starts after a restore and serves with the copy's configuration, although others have a
// newer one. A router that hears nobody knows nothing newer and serves with it, until it hears of the newer one.
func TestRouterStartedAfterARestoreTakesTheNewerConfiguration(t *testing.T) {
	withFleet(t, 4, func(t *testing.T, f *fleet) {
		late := f.routers[3]
		for _, r := range f.routers[:3] {
			r.start(t.Context())
		}
		time.Sleep(time.Minute)
		first, err := Apply(t.Context(), f.routers[0].publisher(), f.routers[0].currentSyncer(), 0, vmSet("a"))
		if err != nil {
			t.Fatal(err)
		}
		older := f.store.Copy()
		second, err := Apply(t.Context(), f.routers[0].publisher(), f.routers[0].currentSyncer(), first, vmSet("a", "b"))
		if err != nil {
			t.Fatal(err)
		}
		f.store.Restore(older)
		late.start(t.Context())
		for range 200 {
			time.Sleep(50 * time.Millisecond)
			if s := late.currentSyncer(); s.Serving() && s.generation() != second {
				t.Fatalf("serves with generation %d", s.generation())
			}
		}
		f.expectState(t, late, second, true)
		f.isolate(late, true)
		late.shutdown()
		late.start(t.Context())
		time.Sleep(10 * time.Second)
		f.expectState(t, late, first, true)
		f.isolate(late, false)
		time.Sleep(inForceWithin)
		f.expectState(t, late, second, true)
	})
}
