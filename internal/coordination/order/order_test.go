package order

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/state/kv"
	"gooseberrytide.example/gooseberrytide/internal/state/object"
)

const engineKey = keyPrefix + "e0"

// fleet is a configuration of engines of model m that can be changed.
type fleet struct {
	generation ident.Generation
	set        *object.Set
}

func newFleet(engines int, version string) *fleet {
	f := &fleet{}
	f.configure(engines, version)
	return f
}

func (f *fleet) configure(engines int, version string) {
	f.generation++
	f.set = &object.Set{
		Models:         map[string]*object.Model{"m": {Name: "m", DefaultVersion: version}},
		BackendServers: map[string]*object.BackendServer{},
	}
	for i := range engines {
		name := fmt.Sprintf("e%d", i)
		f.set.BackendServers[name] = &object.BackendServer{Name: name, Kind: object.BackendModelEngine, Model: "m"}
	}
}

func (f *fleet) config() (ident.Generation, *object.Set) { return f.generation, f.set }

func owns(ident.BackendID) bool { return true }

func (f *fleet) controller(self string, store *fakeStore, engines Engines) *Controller {
	return New(Options{Store: store, Engines: engines, Config: f.config, Owns: owns, Self: ident.RouterID(self)})
}

// steps lets a controller act once a second for d.
func steps(c *Controller, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(time.Second) {
		c.Step(context.Background())
	}
}

// An engine must get one order for a new version, not one a pass, and the order must be confirmed by its state.
func TestOrderIsGivenOnceAndConfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, engines := newFakeStore(), newFakeEngines(true, "e0")
		c := newFleet(1, "v2").controller("a", store, engines)
		steps(c, 4*time.Second)
		if engines.sent() != 0 {
			t.Fatal("ordered before the target was stable")
		}
		steps(c, time.Minute)
		if s := c.Stats(); s.Orders != 1 || s.Confirmed != 1 || engines.version("e0") != "v2" {
			t.Fatalf("%+v", s)
		}
		if engines.orders[0].Fence != int64(store.entries[engineKey].Revision) {
			t.Fatal("the fencing number is not the revision of the order key")
		}
	})
}

// pausedOwner lets owner a write its record for v2 and pause before sending; then the configuration moves to v3, which
// owner b orders; then a wakes and sends its old order.
func pausedOwner(t *testing.T, checks bool) (*fakeEngines, *Controller, *Controller) {
	t.Helper()
	store, engines := newFakeStore(), newFakeEngines(checks, "e0")
	paused := &pausedEngines{Engines: engines, reached: make(chan struct{}), resume: make(chan struct{})}
	a := newFleet(1, "v2").controller("a", store, paused)
	done := make(chan struct{})
	go func() {
		steps(a, 7*time.Second)
		close(done)
	}()
	<-paused.reached
	f := newFleet(1, "v2")
	f.configure(1, "v3")
	b := f.controller("b", store, engines)
	steps(b, 8*time.Second)
	if engines.version("e0") != "v3" {
		t.Fatalf("version %s before the old owner wakes", engines.version("e0"))
	}
	close(paused.resume)
	<-done
	return engines, a, b
}

// A checking engine must refuse the order of an owner that was paused and replaced.
func TestPausedOwnerIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engines, a, _ := pausedOwner(t, true)
		if engines.version("e0") != "v3" || a.Stats().Stale != 1 {
			t.Fatalf("version %s, %+v", engines.version("e0"), a.Stats())
		}
	})
}

// An engine that ignores fencing must be brought back by the present owner's read of its state.
func TestPausedOwnerIsCorrectedByReadBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engines, a, b := pausedOwner(t, false)
		if engines.version("e0") != "v2" {
			t.Fatal("the old order had no effect, so the test shows nothing")
		}
		steps(b, time.Minute)
		if engines.version("e0") != "v3" || b.Stats().Orders != 2 {
			t.Fatalf("version %s, %+v", engines.version("e0"), b.Stats())
		}
		steps(a, 2*time.Minute)
		if engines.version("e0") != "v3" {
			t.Fatal("an owner with an older configuration ordered its version")
		}
	})
}

// An owner that was paused, or lost the engine, between the write of its record and the sending must notice it and not
// send.
func TestOrderOlderThanItsWindowIsNotSent(t *testing.T) {
	for _, tc := range []struct {
		pause time.Duration
		keeps bool
	}{{time.Minute, true}, {0, false}} {
		synctest.Test(t, func(t *testing.T) {
			store, engines := newFakeStore(), newFakeEngines(false, "e0")
			f := newFleet(1, "v2")
			written := func() bool { _, err := store.Get(context.Background(), engineKey); return err == nil }
			c := New(Options{Store: &slowStore{store, tc.pause}, Engines: engines, Config: f.config, Self: "a",
				Owns: func(ident.BackendID) bool { return tc.keeps || !written() }})
			steps(c, 6*time.Second)
			if engines.sent() != 0 || c.Stats().Abandoned != 1 || !written() {
				t.Fatalf("%d orders, %+v", engines.sent(), c.Stats())
			}
		})
	}
}

// slowStore answers writes of the order key late, as a paused owner sees it.
type slowStore struct {
	*fakeStore
	pause time.Duration
}

func (s *slowStore) CompareAndSwap(ctx context.Context, key string, expect kv.Revision, value []byte) (kv.Revision, error) {
	revision, err := s.fakeStore.CompareAndSwap(ctx, key, expect, value)
	if key == engineKey {
		time.Sleep(s.pause)
	}
	return revision, err
}

// A lost answer must be settled by reading back: the order is sent if and only if its record is there.
func TestLostStoreAnswer(t *testing.T) {
	for _, f := range []fault{lostAfterEffect, lostWithoutEffect} {
		for _, key := range []string{engineKey, limitKey} {
			synctest.Test(t, func(t *testing.T) {
				store, engines := newFakeStore(), newFakeEngines(true, "e0")
				store.faults[key] = []fault{f}
				c := newFleet(1, "v2").controller("a", store, engines)
				steps(c, 6*time.Second)
				want := 0
				if f == lostAfterEffect {
					want = 1
				}
				if engines.sent() != want {
					t.Fatalf("%d orders after lost answer %d of %s, want %d", engines.sent(), f, key, want)
				}
				if want == 1 && engines.orders[0].Fence != int64(store.entries[engineKey].Revision) {
					t.Fatal("wrong fencing number after reading back")
				}
				steps(c, time.Minute)
				if engines.version("e0") != "v2" || engines.sent() != 1 {
					t.Fatalf("version %s after %d orders", engines.version("e0"), engines.sent())
				}
			})
		}
	}
}

// No order may be sent without a record, and a store that is down must not be asked on every pass for every engine.
func TestStoreDownGivesNoOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, engines := newFakeStore(), newFakeEngines(false, "e0", "e1", "e2")
		store.set(true)
		c := newFleet(3, "v2").controller("a", store, engines)
		steps(c, time.Minute)
		if engines.sent() != 0 {
			t.Fatalf("%d orders while the store was down", engines.sent())
		}
		if store.calls > 3*13 {
			t.Fatalf("%d store calls in a minute", store.calls)
		}
		store.set(false)
		steps(c, 20*time.Second)
		if engines.sent() != 3 {
			t.Fatalf("%d orders after the outage", engines.sent())
		}
	})
}

// Two owners together must keep to the weight store's limits for the fleet, and a load that its owner never confirmed
// must not block the others for ever.
func TestLoadLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var names []string
		for i := range 20 {
			names = append(names, fmt.Sprintf("e%d", i))
		}
		store, engines := newFakeStore(), newFakeEngines(true, names...)
		engines.slow = true
		f := newFleet(len(names), "v2")
		half := func(even bool) func(ident.BackendID) bool {
			return func(id ident.BackendID) bool { return (int(id[len(id)-1])%2 == 0) == even }
		}
		var owners []*Controller
		for i, even := range []bool{true, false} {
			owners = append(owners, New(Options{Store: store, Engines: engines, Config: f.config, Owns: half(even),
				Self: ident.RouterID(fmt.Sprint(i)), MaxLoading: 3, LoadsPerMinute: 6}))
		}
		started := []time.Time{}
		for range 20 * 60 {
			before := engines.sent()
			owners[0].Step(context.Background())
			owners[1].Step(context.Background())
			for range engines.sent() - before {
				started = append(started, time.Now())
			}
			if engines.loading > 3 {
				t.Fatalf("%d loads at once", engines.loading)
			}
			if engines.loading == 3 && time.Now().Second()%7 == 0 {
				engines.finish()
			}
			time.Sleep(time.Second)
		}
		for i := range started {
			if i >= 6 && started[i].Sub(started[i-6]) < time.Minute {
				t.Fatalf("7 starts in %s", started[i].Sub(started[i-6]))
			}
		}
		if len(started) != len(names) {
			t.Fatalf("%d of %d engines ordered", len(started), len(names))
		}
	})
}

// A load whose owner died must stop counting after the load timeout.
func TestAbandonedTokensExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &limiter{store: newFakeStore(), atOnce: 1, perMin: 100, timeout: 10 * time.Minute}
		ctx := context.Background()
		if err := l.acquire(ctx, "e0", "dead-1"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(9 * time.Minute)
		if err := l.acquire(ctx, "e1", "b-1"); err != errLimited {
			t.Fatalf("second load at once: %v", err)
		}
		time.Sleep(time.Minute)
		if err := l.acquire(ctx, "e1", "b-1"); err != nil {
			t.Fatalf("after the timeout: %v", err)
		}
	})
}

// An engine that accepts orders but never obeys must not be ordered again and again at full rate.
func TestUnconfirmedOrdersSlowDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engines := newFakeEngines(true, "e0")
		c := newFleet(1, "v2").controller("a", newFakeStore(), &deafEngines{engines})
		steps(c, 30*time.Minute)
		// Pauses of 30, 60, 120 and 240 s, then 300 s each.
		if n := c.Stats().Orders; n < 6 || n > 10 {
			t.Fatalf("%d orders in 30 minutes", n)
		}
	})
}

// deafEngines accept orders and do nothing.
type deafEngines struct{ *fakeEngines }

func (d *deafEngines) Order(context.Context, *object.BackendServer, Command) error { return nil }
