package order

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/coordination/fencing"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/state/kv"
	"gooseberrytide.example/gooseberrytide/internal/state/object"
)

const engineKey = keyPrefix + "e0"

// testConfig is a configuration of engines of model m that a test can change.
type testConfig struct {
	generation ident.Generation
	set        *object.Set
}

func newTestConfig(engines int, version string) *testConfig {
	f := &testConfig{}
	f.configure(engines, version)
	return f
}

func (f *testConfig) configure(engines int, version string) {
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

func (f *testConfig) config() (ident.Generation, *object.Set) { return f.generation, f.set }

func ownsAll(ident.BackendID) bool { return true }

func (f *testConfig) controller(self string, store *fakeStore, engines Engines) *Controller {
	return New(Options{
		Store: store, Engines: engines, Config: f.config, Owns: ownsAll, Self: ident.RouterID(self),
		Fencing: fencing.New(store, store.cluster),
	})
}

// stepFor calls the controller's Step once a second for d.
func stepFor(c *Controller, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(time.Second) {
		c.Step(context.Background())
	}
}

// Guards against sending the order for a new version on every pass, and against orders that the engine's state does not
// confirm.
func TestOrderIsSentOnceAndConfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, engines := newFakeStore(), newFakeEngines(true, "e0")
		c := newTestConfig(1, "v2").controller("a", store, engines)
		stepFor(c, 4*time.Second)
		if engines.sentOrders() != 0 {
			t.Fatal("ordered before the target was stable")
		}
		stepFor(c, time.Minute)
		if s := c.Stats(); s.Orders != 1 || s.Confirmed != 1 || engines.version("e0") != "v2" {
			t.Fatalf("%+v", s)
		}
		if engines.orders[0].Fence != int64(store.entries[engineKey].Revision) {
			t.Fatal("the fencing number is not the revision of the order key")
		}
	})
}

// runPausedOwner lets owner a write its record for v2 and pause before sending. Then the configuration changes to v3,
// which owner b orders. Then owner a resumes and sends its old order.
func runPausedOwner(t *testing.T, checksFence bool) (*fakeEngines, *Controller, *Controller) {
	t.Helper()
	store, engines := newFakeStore(), newFakeEngines(checksFence, "e0")
	paused := &pausedEngines{Engines: engines, reached: make(chan struct{}), resume: make(chan struct{})}
	a := newTestConfig(1, "v2").controller("a", store, paused)
	done := make(chan struct{})
	go func() {
		stepFor(a, 7*time.Second)
		close(done)
	}()
	<-paused.reached
	f := newTestConfig(1, "v2")
	f.configure(1, "v3")
	b := f.controller("b", store, engines)
	stepFor(b, 8*time.Second)
	if engines.version("e0") != "v3" {
		t.Fatalf("version %s before the old owner resumes", engines.version("e0"))
	}
	close(paused.resume)
	<-done
	return engines, a, b
}

// Guards against an old order of a paused and replaced owner that takes effect on an engine that checks fencing
// numbers.
func TestOrderOfPausedOwnerIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engines, a, _ := runPausedOwner(t, true)
		if engines.version("e0") != "v3" || a.Stats().Stale != 1 {
			t.Fatalf("version %s, %+v", engines.version("e0"), a.Stats())
		}
	})
}

// Guards against an old order of a paused and replaced owner that stays in effect on an engine that ignores fencing
// numbers. The current owner must find it by reading the engine's state, and correct it.
func TestOrderOfPausedOwnerIsCorrectedByReadBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engines, a, b := runPausedOwner(t, false)
		if engines.version("e0") != "v2" {
			t.Fatal("the old order had no effect, so the test cannot show its correction")
		}
		stepFor(b, time.Minute)
		if engines.version("e0") != "v3" || b.Stats().Orders != 2 {
			t.Fatalf("version %s, %+v", engines.version("e0"), b.Stats())
		}
		stepFor(a, 2*time.Minute)
		if engines.version("e0") != "v3" {
			t.Fatal("an owner with an older configuration ordered its version")
		}
	})
}

// Guards against sending an order when its owner was paused, or lost the engine, after writing the order's record.
func TestOrderPastSendWindowIsNotSent(t *testing.T) {
	for _, tc := range []struct {
		pause time.Duration
		keeps bool
	}{{time.Minute, true}, {0, false}} {
		synctest.Test(t, func(t *testing.T) {
			store, engines := newFakeStore(), newFakeEngines(false, "e0")
			f := newTestConfig(1, "v2")
			written := func() bool { _, err := store.Get(context.Background(), engineKey); return err == nil }
			c := New(Options{Store: &slowStore{store, tc.pause}, Engines: engines, Config: f.config, Self: "a",
				Owns: func(ident.BackendID) bool { return tc.keeps || !written() }})
			stepFor(c, 6*time.Second)
			if engines.sentOrders() != 0 || c.Stats().Abandoned != 1 || !written() {
				t.Fatalf("%d orders, %+v", engines.sentOrders(), c.Stats())
			}
		})
	}
}

// slowStore delays the responses to writes of the order key, which looks like a pause to the owner.
type slowStore struct {
	*fakeStore
	pause time.Duration
}

func (s *slowStore) CompareAndSwap(
	ctx context.Context, key string, expect kv.Revision, value []byte,
) (kv.Revision, error) {
	revision, err := s.fakeStore.CompareAndSwap(ctx, key, expect, value)
	if key == engineKey {
		time.Sleep(s.pause)
	}
	return revision, err
}

// Guards against an uncertain write that is not resolved by reading back: the order must be sent if and only if its
// record was written.
func TestUncertainWriteIsReadBack(t *testing.T) {
	for _, f := range []writeFault{responseLost, requestLost} {
		for _, key := range []string{engineKey, loadsKey} {
			synctest.Test(t, func(t *testing.T) {
				store, engines := newFakeStore(), newFakeEngines(true, "e0")
				store.faults[key] = []writeFault{f}
				c := newTestConfig(1, "v2").controller("a", store, engines)
				stepFor(c, 6*time.Second)
				want := 0
				if f == responseLost {
					want = 1
				}
				if engines.sentOrders() != want {
					t.Fatalf("%d orders after write fault %d of %s, want %d", engines.sentOrders(), f, key, want)
				}
				if want == 1 && engines.orders[0].Fence != int64(store.entries[engineKey].Revision) {
					t.Fatal("wrong fencing number after reading back")
				}
				stepFor(c, time.Minute)
				if engines.version("e0") != "v2" || engines.sentOrders() != 1 {
					t.Fatalf("version %s after %d orders", engines.version("e0"), engines.sentOrders())
				}
			})
		}
	}
}

// Guards against orders without a record, and against calls to an unavailable store on every pass for every engine.
func TestNoOrdersWhileStoreIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, engines := newFakeStore(), newFakeEngines(false, "e0", "e1", "e2")
		store.setDown(true)
		c := newTestConfig(3, "v2").controller("a", store, engines)
		stepFor(c, time.Minute)
		if engines.sentOrders() != 0 {
			t.Fatalf("%d orders while the store was down", engines.sentOrders())
		}
		if store.calls > 3*13 {
			t.Fatalf("%d store calls in a minute", store.calls)
		}
		store.setDown(false)
		stepFor(c, 20*time.Second)
		if engines.sentOrders() != 3 {
			t.Fatalf("%d orders after the outage", engines.sentOrders())
		}
	})
}

// Guards against two owners that together exceed the weight store's limits for the fleet, and against loads that block
// the others for ever because their owner never confirmed them.
func TestLoadLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var names []string
		for i := range 20 {
			names = append(names, fmt.Sprintf("e%d", i))
		}
		store, engines := newFakeStore(), newFakeEngines(true, names...)
		engines.keepsLoading = true
		f := newTestConfig(len(names), "v2")
		ownsHalf := func(even bool) func(ident.BackendID) bool {
			return func(id ident.BackendID) bool { return (int(id[len(id)-1])%2 == 0) == even }
		}
		var owners []*Controller
		for i, even := range []bool{true, false} {
			owners = append(owners, New(Options{Store: store, Engines: engines, Config: f.config, Owns: ownsHalf(even),
				Self: ident.RouterID(fmt.Sprint(i)), MaxLoading: 3, LoadsPerMinute: 6}))
		}
		started := []time.Time{}
		for range 20 * 60 {
			before := engines.sentOrders()
			owners[0].Step(context.Background())
			owners[1].Step(context.Background())
			for range engines.sentOrders() - before {
				started = append(started, time.Now())
			}
			if engines.loading > 3 {
				t.Fatalf("%d loads at once", engines.loading)
			}
			if engines.loading == 3 && time.Now().Second()%7 == 0 {
				engines.finishLoads()
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

// Guards against a load that counts towards the limits after the load timeout because its owner died.
func TestTokensOfDeadOwnersExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &limiter{store: newFakeStore(), maxLoading: 1, maxPerMinute: 100, timeout: 10 * time.Minute}
		ctx := context.Background()
		if err := l.acquire(ctx, "e0", "dead-1"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(9 * time.Minute)
		if err := l.acquire(ctx, "e1", "b-1"); err != errLoadLimit {
			t.Fatalf("second load at once: %v", err)
		}
		time.Sleep(time.Minute)
		if err := l.acquire(ctx, "e1", "b-1"); err != nil {
			t.Fatalf("after the timeout: %v", err)
		}
	})
}

// Guards against orders at the full rate to an engine that accepts orders but never carries them out.
func TestUnconfirmedOrdersBackOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engines := newFakeEngines(true, "e0")
		c := newTestConfig(1, "v2").controller("a", newFakeStore(), &ignoringEngines{engines})
		stepFor(c, 30*time.Minute)
		// Backoff of 30, 60, 120 and 240 s, then 300 s each.
		if n := c.Stats().Orders; n < 6 || n > 10 {
			t.Fatalf("%d orders in 30 minutes", n)
		}
	})
}

// ignoringEngines accept orders and do not carry them out.
type ignoringEngines struct{ *fakeEngines }

func (d *ignoringEngines) Order(context.Context, *object.BackendServer, Command) error { return nil }
