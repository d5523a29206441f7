package publish

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/state/kv"
	"gooseberrytide.example/gooseberrytide/internal/state/object"
)

// convergenceTime is long enough for a healthy fleet to complete a start or a publish.
const convergenceTime = 6 * time.Second

// startFleet publishes the first configuration, starts all routers and waits until it is in force everywhere. It
// returns the generation.
func startFleet(t *testing.T, f *fleet) ident.Generation {
	t.Helper()
	gen := mustPublish(t, NewPublisher(f.store, always), 0, vmSet("a", "b", "c"))
	f.startAll(t.Context())
	time.Sleep(convergenceTime)
	for _, r := range f.routers {
		f.expectState(t, r, gen, true)
	}
	return gen
}

// Guards against routers that miss a publish, apply it late, or read the store although they do not watch it.
func TestPropagation(t *testing.T) {
	withFleet(t, 8, func(t *testing.T, f *fleet) {
		gen := startFleet(t, f)
		before := f.store.Counts()[kv.OpGet]
		counts := make(map[ident.RouterID]SyncCounts)
		for _, r := range f.routers {
			counts[r.id] = r.syncer.Counts()
		}
		p := f.routers[5].publisher()
		for i := range 3 {
			_, set := mustHead(t, p)
			gen = mustPublish(t, p, gen, withDraining(set, []string{"a", "b", "c"}[i]))
			time.Sleep(2 * time.Second)
			for _, r := range f.routers {
				f.expectState(t, r, gen, true)
			}
		}
		for _, r := range f.routers[3:] {
			want := counts[r.id]
			want.DeltaPulls += 3
			if got := r.syncer.Counts(); got != want {
				t.Errorf("%s: %+v, want %+v", r.id, got, want)
			}
		}
		// A publish reads some keys. Each of the three watchers reads the head and one chunk per publish, and the head
		// every 2 s.
		if reads := f.store.Counts()[kv.OpGet] - before; reads > 60 {
			t.Errorf("%d reads for 3 publishes", reads)
		}
	})
}

// Guards against a router without state that serves too early, too late, or with an old configuration.
func TestStart(t *testing.T) {
	cases := map[string]struct {
		disturb func(f *fleet, r *testRouter)
		gen     ident.Generation
		serving bool
	}{
		"store up":                     {func(*fleet, *testRouter) {}, 2, true},
		"store down, majority answers": {func(f *fleet, _ *testRouter) { f.store.SetOutage(true) }, 2, true},
		"store down, minority answers": {func(f *fleet, r *testRouter) {
			f.store.SetOutage(true)
			for _, other := range f.routers[:3] {
				f.setPartitioned(r, other, true)
			}
		}, 0, false},
		"store down, listed VMs that do not answer count": {func(f *fleet, _ *testRouter) {
			f.store.SetOutage(true)
			f.mu.Lock()
			f.listed = 8
			f.mu.Unlock()
		}, 0, false},
		"old read, peers newer": {func(f *fleet, _ *testRouter) {
			f.store.Inject(func(kv.Op, string) kv.Fault { return kv.Fault{Stale: 1} })
		}, 2, true},
		"store up, no peers": {func(f *fleet, r *testRouter) { f.isolate(r, true) }, 2, true},
		"no store, no peers": {func(f *fleet, r *testRouter) {
			f.isolate(r, true)
			f.setStoreUnreachable(r, true)
		}, 0, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			withFleet(t, 5, func(t *testing.T, f *fleet) {
				gen := startFleet(t, f)
				r := f.routers[4]
				r.shutdown()
				mustPublish(t, f.routers[0].publisher(), gen, vmSet("x"))
				time.Sleep(convergenceTime)
				tc.disturb(f, r)
				r.start(t.Context())
				time.Sleep(convergenceTime)
				f.expectState(t, r, tc.gen, tc.serving)
				if r.generationFell {
					t.Error("generation decreased")
				}
			})
		})
	}
}

// Guards against routers without state that conclude from each other's responses that there is no configuration.
func TestAllRoutersRestartWithoutStore(t *testing.T) {
	withFleet(t, 5, func(t *testing.T, f *fleet) {
		gen := startFleet(t, f)
		f.store.SetOutage(true)
		f.stopAll()
		f.startAll(t.Context())
		time.Sleep(convergenceTime)
		for _, r := range f.routers {
			f.expectState(t, r, 0, false)
		}
		f.store.SetOutage(false)
		time.Sleep(convergenceTime)
		for _, r := range f.routers {
			f.expectState(t, r, gen, true)
		}
	})
}

// Guards against a router that serves while it cannot learn of a publish, or refuses to serve while it can.
func TestFreshness(t *testing.T) {
	withFleet(t, 5, func(t *testing.T, f *fleet) {
		gen := startFleet(t, f)
		r := f.routers[4]
		f.isolate(r, true)
		time.Sleep(convergenceTime)
		f.expectState(t, r, gen, true) // The store confirms the configuration.
		f.setStoreUnreachable(r, true)
		time.Sleep(convergenceTime)
		f.expectState(t, r, gen, false)
		next := mustPublish(t, f.routers[0].publisher(), gen, vmSet("x"))
		f.isolate(r, false)
		time.Sleep(2 * time.Second)
		f.expectState(t, r, next, true) // There is contact with a majority.
		f.store.SetOutage(true)
		time.Sleep(convergenceTime)
		for _, r := range f.routers {
			f.expectState(t, r, next, true)
		}
		f.mu.Lock()
		f.listed = 0
		f.mu.Unlock()
		if r.syncer.Serving() {
			t.Error("an empty VM list counts as a majority")
		}
	})
}

// Guards against a configuration that reverts when the store loses its content or returns stale reads.
func TestStoreReverts(t *testing.T) {
	withFleet(t, 5, func(t *testing.T, f *fleet) {
		gen := startFleet(t, f)
		for i := range 3 {
			gen = mustPublish(t, f.routers[0].publisher(), gen, vmSet(fmt.Sprintf("x-%d", i)))
		}
		time.Sleep(convergenceTime)
		f.store.Inject(func(kv.Op, string) kv.Fault { return kv.Fault{Stale: 2} })
		time.Sleep(convergenceTime)
		for _, r := range f.routers {
			f.expectState(t, r, gen, true)
		}
		f.store.Inject(nil)
		entry, _ := f.store.Peek(HeadKey)
		if err := f.store.Delete(t.Context(), HeadKey, entry.Revision); err != nil {
			t.Fatal(err)
		}
		time.Sleep(convergenceTime)
		for _, r := range f.routers {
			f.expectState(t, r, gen, true)
		}
		// A publish into the empty store gets a generation that all routers accept.
		next := mustPublish(t, f.routers[0].publisher(), 0, vmSet("y"))
		time.Sleep(convergenceTime)
		for _, r := range f.routers {
			f.expectState(t, r, next, true)
			if r.generationFell {
				t.Errorf("%s: generation decreased", r.id)
			}
		}
	})
}

// Guards against a router that serves with an old configuration although it knows of a newer one that it cannot pull.
func TestUnreachableNewerGeneration(t *testing.T) {
	withFleet(t, 5, func(t *testing.T, f *fleet) {
		gen := startFleet(t, f)
		f.store.SetOutage(true)
		r := f.routers[4]
		r.syncer.RecordPeerGeneration("r9", gen+1)
		time.Sleep(catchUpGrace - time.Second)
		f.expectState(t, r, gen, true)
		time.Sleep(2 * time.Second)
		f.expectState(t, r, gen, false)
	})
}

// Guards against changes or removals that are lost when a router pulls from a peer, and against a corrupt pull that
// comes into force.
func TestRejoinPullsChanges(t *testing.T) {
	for name, corrupt := range map[string]func(*PullResponse){
		"intact": nil,
		"changes lack an object": func(p *PullResponse) {
			if !p.Full && len(p.Objects) > 0 {
				p.Objects = p.Objects[1:]
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			withFleet(t, 5, func(t *testing.T, f *fleet) {
				gen := startFleet(t, f)
				r := f.routers[4]
				f.isolate(r, true)
				f.setStoreUnreachable(r, true)
				p := f.routers[0].publisher()
				for _, set := range []*object.Set{vmSet("a", "b"), vmSet("a", "b", "d"), withDraining(vmSet("a", "d"), "a")} {
					gen = mustPublish(t, p, gen, set)
					time.Sleep(convergenceTime)
				}
				before := r.syncer.Counts()
				f.mu.Lock()
				f.corrupt = corrupt
				f.mu.Unlock()
				f.isolate(r, false)
				time.Sleep(convergenceTime)
				f.expectState(t, r, gen, true)
				if got, want := r.holder.Load().Digest(), f.routers[0].holder.Load().Digest(); got != want {
					t.Error("configurations differ")
				}
				delta, full := int64(1), int64(0)
				if corrupt != nil {
					delta, full = 0, 1
				}
				after := r.syncer.Counts()
				if after.DeltaPulls-before.DeltaPulls != delta || after.FullPulls-before.FullPulls != full {
					t.Errorf("before %+v, after %+v", before, after)
				}
			})
		})
	}
}

// Guards against a pull that fails because the whole configuration does not fit into one message.
func TestFullPullInPages(t *testing.T) {
	withFleet(t, 3, func(t *testing.T, f *fleet) {
		set := object.NewSet()
		for i := range 20_000 {
			name := fmt.Sprintf("vm-%d-with-a-name-that-takes-some-more-room", i)
			set.VMs[name] = &object.VM{Name: name, State: object.StateActive}
		}
		gen := mustPublish(t, NewPublisher(f.store, always), 0, set)
		f.routers[0].start(t.Context())
		f.routers[1].start(t.Context())
		time.Sleep(convergenceTime)
		f.store.SetOutage(true)
		first, err := f.routers[0].syncer.HandlePull(PullRequest{})
		if err != nil || first.Next == "" {
			t.Fatalf("one page of %d objects: %v", len(first.Objects), err)
		}
		f.routers[2].start(t.Context())
		time.Sleep(convergenceTime)
		f.expectState(t, f.routers[2], gen, true)
	})
}

// Guards against accepting a publish by a router that is partitioned from all others.
func TestAwaitMajority(t *testing.T) {
	withFleet(t, 5, func(t *testing.T, f *fleet) {
		gen := startFleet(t, f)
		r := f.routers[4]
		f.isolate(r, true)
		// The last heartbeats still count for the quorum.
		next := mustPublish(t, r.publisher(), gen, vmSet("x"))
		r.syncer.InstallPublished(next, vmSet("x"))
		ctx, cancel := context.WithTimeout(t.Context(), convergenceTime)
		defer cancel()
		for _, other := range f.routers[:4] {
			f.setStoreUnreachable(other, true)
		}
		if err := r.syncer.AwaitMajority(ctx, next); !errors.Is(err, ErrUnconfirmed) {
			t.Fatalf("got %v", err)
		}
		f.isolate(r, false)
		if err := r.syncer.AwaitMajority(t.Context(), next); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against a router that counts a heartbeat from a restarted router toward its majority, although the restarted
// router has lost its knowledge of the newest generation.
func TestRestartedRouterDoesNotCountTowardMajority(t *testing.T) {
	withFleet(t, 5, func(t *testing.T, f *fleet) {
		gen := startFleet(t, f)
		old, restarted := f.routers[3:], f.routers[2]
		for _, r := range old {
			f.setStoreUnreachable(r, true)
			for _, other := range f.routers[:3] {
				f.setPartitioned(r, other, true)
			}
		}
		next := mustPublish(t, f.routers[0].publisher(), gen, vmSet("x"))
		if err := f.routers[0].syncer.AwaitMajority(t.Context(), next); err != nil {
			t.Fatal(err)
		}
		restarted.shutdown()
		f.isolate(restarted, true)
		f.setStoreUnreachable(restarted, true)
		restarted.start(t.Context())
		for _, r := range old {
			f.setPartitioned(r, restarted, false)
		}
		time.Sleep(2 * convergenceTime)
		for _, r := range old {
			f.expectState(t, r, gen, false)
		}
	})
}

// Guards against routers without state that complete their start on each other's responses and then pull an old
// configuration from the first router that has one.
func TestRoutersWithoutStateDoNotPullOldConfiguration(t *testing.T) {
	withFleet(t, 5, func(t *testing.T, f *fleet) {
		gen := startFleet(t, f)
		old := f.routers[4]
		f.isolate(old, true)
		f.setStoreUnreachable(old, true)
		next := mustPublish(t, f.routers[0].publisher(), gen, vmSet("x"))
		if err := f.routers[0].syncer.AwaitMajority(t.Context(), next); err != nil {
			t.Fatal(err)
		}
		f.store.SetOutage(true)
		for _, r := range f.routers[:4] {
			r.shutdown()
		}
		for _, r := range f.routers[:4] {
			r.start(t.Context())
		}
		time.Sleep(convergenceTime)
		f.isolate(old, false)
		time.Sleep(2 * convergenceTime)
		for _, r := range f.routers {
			if r.syncer.Serving() {
				t.Errorf("%s serves with generation %d; %d was accepted", r.id, r.syncer.generation(), next)
			}
		}
	})
}
