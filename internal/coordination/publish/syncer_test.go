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

// settled is ample time for a healthy fleet to finish a start or a publish.
const settled = 6 * time.Second

// started returns a fleet with generation 1 in force everywhere.
func started(t *testing.T, f *fleet) ident.Generation {
	t.Helper()
	gen := mustPublish(t, NewPublisher(f.store, always), 0, vms("a", "b", "c"))
	f.startAll(t.Context())
	time.Sleep(settled)
	for _, r := range f.routers {
		f.expect(t, r, gen, true)
	}
	return gen
}

// Guards against routers that miss a publish, are late with it, or load the store with reads of their own.
func TestPropagation(t *testing.T) {
	inFleet(t, 8, func(t *testing.T, f *fleet) {
		gen := started(t, f)
		before := f.store.Counts()[kv.OpGet]
		counts := make(map[ident.RouterID]SyncCounts)
		for _, r := range f.routers {
			counts[r.id] = r.syncer.Counts()
		}
		p := f.routers[5].publisher()
		for i := range 3 {
			_, set := mustHead(t, p)
			gen = mustPublish(t, p, gen, drained(set, []string{"a", "b", "c"}[i]))
			time.Sleep(2 * time.Second)
			for _, r := range f.routers {
				f.expect(t, r, gen, true)
			}
		}
		for _, r := range f.routers[3:] {
			want := counts[r.id]
			want.DeltaPulls += 3
			if got := r.syncer.Counts(); got != want {
				t.Errorf("%s: %+v, want %+v", r.id, got, want)
			}
		}
		// Publishing reads some keys, and three watchers read the head and one chunk per publish and once in 2 s.
		if reads := f.store.Counts()[kv.OpGet] - before; reads > 60 {
			t.Errorf("%d reads for 3 publishes", reads)
		}
	})
}

// Guards against an empty router that serves too early, too late, or with an old configuration.
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
				f.setCut(r, other, true)
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
			f.cutStore(r, true)
		}, 0, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			inFleet(t, 5, func(t *testing.T, f *fleet) {
				gen := started(t, f)
				r := f.routers[4]
				r.shutdown()
				mustPublish(t, f.routers[0].publisher(), gen, vms("x"))
				time.Sleep(settled)
				tc.disturb(f, r)
				r.start(t.Context())
				time.Sleep(settled)
				f.expect(t, r, tc.gen, tc.serving)
				if r.fell {
					t.Error("generation fell")
				}
			})
		})
	}
}

// Guards against empty routers that take each other's emptiness for the fleet's state.
func TestAllEmptyWithoutStore(t *testing.T) {
	inFleet(t, 5, func(t *testing.T, f *fleet) {
		gen := started(t, f)
		f.store.SetOutage(true)
		f.stopAll()
		f.startAll(t.Context())
		time.Sleep(settled)
		for _, r := range f.routers {
			f.expect(t, r, 0, false)
		}
		f.store.SetOutage(false)
		time.Sleep(settled)
		for _, r := range f.routers {
			f.expect(t, r, gen, true)
		}
	})
}

// Guards against a router that serves while it can hear of no publish, or refuses while it can.
func TestFreshness(t *testing.T) {
	inFleet(t, 5, func(t *testing.T, f *fleet) {
		gen := started(t, f)
		r := f.routers[4]
		f.isolate(r, true)
		time.Sleep(settled)
		f.expect(t, r, gen, true) // The store confirms.
		f.cutStore(r, true)
		time.Sleep(settled)
		f.expect(t, r, gen, false)
		next := mustPublish(t, f.routers[0].publisher(), gen, vms("x"))
		f.isolate(r, false)
		time.Sleep(2 * time.Second)
		f.expect(t, r, next, true) // A majority is heard.
		f.store.SetOutage(true)
		time.Sleep(settled)
		for _, r := range f.routers {
			f.expect(t, r, next, true)
		}
		f.mu.Lock()
		f.listed = 0
		f.mu.Unlock()
		if r.syncer.Serving() {
			t.Error("an empty VM list counts as a majority")
		}
	})
}

// Guards against a configuration that reverts when the store loses its content or answers with old states.
func TestStoreGoesBack(t *testing.T) {
	inFleet(t, 5, func(t *testing.T, f *fleet) {
		gen := started(t, f)
		for i := range 3 {
			gen = mustPublish(t, f.routers[0].publisher(), gen, vms(fmt.Sprintf("x-%d", i)))
		}
		time.Sleep(settled)
		f.store.Inject(func(kv.Op, string) kv.Fault { return kv.Fault{Stale: 2} })
		time.Sleep(settled)
		for _, r := range f.routers {
			f.expect(t, r, gen, true)
		}
		f.store.Inject(nil)
		entry, _ := f.store.Peek(HeadKey)
		if err := f.store.Delete(t.Context(), HeadKey, entry.Revision); err != nil {
			t.Fatal(err)
		}
		time.Sleep(settled)
		for _, r := range f.routers {
			f.expect(t, r, gen, true)
		}
		// A publish into the empty store gets a generation that all routers accept.
		next := mustPublish(t, f.routers[0].publisher(), 0, vms("y"))
		time.Sleep(settled)
		for _, r := range f.routers {
			f.expect(t, r, next, true)
			if r.fell {
				t.Errorf("%s: generation fell", r.id)
			}
		}
	})
}

// Guards against a router that serves an old configuration although it knows of a newer one that it cannot get.
func TestKnownButOutOfReach(t *testing.T) {
	inFleet(t, 5, func(t *testing.T, f *fleet) {
		gen := started(t, f)
		f.store.SetOutage(true)
		r := f.routers[4]
		r.syncer.PeerGeneration("r9", gen+1)
		time.Sleep(lateLimit - time.Second)
		f.expect(t, r, gen, true)
		time.Sleep(2 * time.Second)
		f.expect(t, r, gen, false)
	})
}

// Guards against changes or removals lost between a router's generation and a peer's, and corrupt pulls in force.
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
			inFleet(t, 5, func(t *testing.T, f *fleet) {
				gen := started(t, f)
				r := f.routers[4]
				f.isolate(r, true)
				f.cutStore(r, true)
				p := f.routers[0].publisher()
				for _, set := range []*object.Set{vms("a", "b"), vms("a", "b", "d"), drained(vms("a", "d"), "a")} {
					gen = mustPublish(t, p, gen, set)
					time.Sleep(settled)
				}
				before := r.syncer.Counts()
				f.mu.Lock()
				f.corrupt = corrupt
				f.mu.Unlock()
				f.isolate(r, false)
				time.Sleep(settled)
				f.expect(t, r, gen, true)
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

// Guards against a whole configuration that does not fit one message.
func TestFullPullInPages(t *testing.T) {
	inFleet(t, 3, func(t *testing.T, f *fleet) {
		set := object.NewSet()
		for i := range 20_000 {
			name := fmt.Sprintf("vm-%d-with-a-name-that-takes-some-more-room", i)
			set.VMs[name] = &object.VM{Name: name, State: object.StateActive}
		}
		gen := mustPublish(t, NewPublisher(f.store, always), 0, set)
		f.routers[0].start(t.Context())
		f.routers[1].start(t.Context())
		time.Sleep(settled)
		f.store.SetOutage(true)
		first, err := f.routers[0].syncer.HandlePull(PullRequest{})
		if err != nil || first.Next == "" {
			t.Fatalf("one page of %d objects: %v", len(first.Objects), err)
		}
		f.routers[2].start(t.Context())
		time.Sleep(settled)
		f.expect(t, f.routers[2], gen, true)
	})
}

// Guards against a publish by a router that is cut off from all others being taken for accepted.
func TestAwaitMajority(t *testing.T) {
	inFleet(t, 5, func(t *testing.T, f *fleet) {
		gen := started(t, f)
		r := f.routers[4]
		f.isolate(r, true)
		// The last heartbeats still count for the quorum.
		next := mustPublish(t, r.publisher(), gen, vms("x"))
		r.syncer.Published(next, vms("x"))
		ctx, cancel := context.WithTimeout(t.Context(), settled)
		defer cancel()
		for _, other := range f.routers[:4] {
			f.cutStore(other, true)
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

// Guards against a router that counts one that restarted and forgot the newest generation as a witness that there is
// none.
func TestRestartedRouterIsNoWitness(t *testing.T) {
	inFleet(t, 5, func(t *testing.T, f *fleet) {
		gen := started(t, f)
		old, forgetful := f.routers[3:], f.routers[2]
		for _, r := range old {
			f.cutStore(r, true)
			for _, other := range f.routers[:3] {
				f.setCut(r, other, true)
			}
		}
		next := mustPublish(t, f.routers[0].publisher(), gen, vms("x"))
		if err := f.routers[0].syncer.AwaitMajority(t.Context(), next); err != nil {
			t.Fatal(err)
		}
		forgetful.shutdown()
		f.isolate(forgetful, true)
		f.cutStore(forgetful, true)
		forgetful.start(t.Context())
		for _, r := range old {
			f.setCut(r, forgetful, false)
		}
		time.Sleep(2 * settled)
		for _, r := range old {
			f.expect(t, r, gen, false)
		}
	})
}

// Guards against empty routers that complete their start on each other's answers and then take an old configuration
// from the first router that has one.
func TestEmptyRoutersTakeNoOldConfiguration(t *testing.T) {
	inFleet(t, 5, func(t *testing.T, f *fleet) {
		gen := started(t, f)
		old := f.routers[4]
		f.isolate(old, true)
		f.cutStore(old, true)
		next := mustPublish(t, f.routers[0].publisher(), gen, vms("x"))
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
		time.Sleep(settled)
		f.isolate(old, false)
		time.Sleep(2 * settled)
		for _, r := range f.routers {
			if r.syncer.Serving() {
				t.Errorf("%s serves with generation %d; %d was accepted", r.id, r.syncer.generation(), next)
			}
		}
	})
}
