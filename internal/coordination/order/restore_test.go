package order

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/state/kv"
)

// Guards against engines that refuse every order after the store came back from an older copy, because the revisions of
// the order records are below those that the engines have seen.
func TestEnginesAcceptOrdersAfterARestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, engines := newFakeStore(), newFakeEngines(true, "e0")
		config := newTestConfig(1, "v2")
		c := config.controller("a", store, engines)
		c.Step(t.Context())
		older := store.copy()
		for _, version := range []string{"v2", "v3", "v4"} {
			config.configure(1, version)
			stepFor(c, time.Minute)
		}
		store.restore(older)
		config.configure(1, "v5")
		stepFor(c, 2*time.Minute)
		if engines.version("e0") != "v5" || c.Stats().Stale != 0 {
			t.Fatalf("version %s, %+v", engines.version("e0"), c.Stats())
		}
	})
}

// Guards against a fencing number that is assigned twice, before and after a restore of the store: the order of an
// owner that was paused before the restore would be accepted after that of the present owner.
func TestOrderOfOwnerPausedBeforeARestoreIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, engines := newFakeStore(), newFakeEngines(true, "e0")
		paused := &pausedEngines{Engines: engines, reached: make(chan struct{}), resume: make(chan struct{})}
		a := newTestConfig(1, "v2").controller("a", store, paused)
		a.Step(t.Context())
		older := store.copy()
		done := make(chan struct{})
		go func() {
			stepFor(a, 7*time.Second)
			close(done)
		}()
		<-paused.reached
		store.restore(older)
		config := newTestConfig(1, "v2")
		config.configure(1, "v3")
		stepFor(config.controller("b", store, engines), 8*time.Second)
		close(paused.resume)
		<-done
		if engines.version("e0") != "v3" || a.Stats().Stale != 1 {
			t.Fatalf("version %s, %+v", engines.version("e0"), a.Stats())
		}
	})
}

// Guards against an order whose record was written to the store before its restore, but whose number was made with the
// epoch after it, and against such an order not being repeated.
func TestOrderWrittenDuringARestoreIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, engines := newFakeStore(), newFakeEngines(true, "e0")
		restoring := &restoringStore{fakeStore: store}
		c := newTestConfig(1, "v2").controller("a", store, engines)
		c.opts.Store = restoring
		stepFor(c, 7*time.Second)
		if store.restores != 1 || engines.sentOrders() != 0 {
			t.Fatalf("%d restores, %d orders", store.restores, engines.sentOrders())
		}
		stepFor(c, 2*time.Minute)
		if engines.version("e0") != "v2" || engines.orders[0].Fence < 1<<40 {
			t.Fatalf("version %s, orders %+v", engines.version("e0"), engines.orders)
		}
	})
}

// Guards against a router that continues with a lower epoch than one that another router has raised, and whose orders
// are then always refused.
func TestRefusedOrderIsRepeatedWithTheHigherEpoch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, engines := newFakeStore(), newFakeEngines(true, "e0")
		config := newTestConfig(1, "v2")
		remembers := config.controller("a", store, engines)
		older := store.copy()
		remembers.Step(t.Context())
		store.restore(older)
		remembers.Step(t.Context()) // remembers epoch 1
		store.restore(older)        // the copy has no epoch
		b := config.controller("b", store, engines)
		b.Step(t.Context())               // begins with epoch 0
		stepFor(remembers, 7*time.Second) // raises the epoch and orders
		config.configure(1, "v3")
		stepFor(b, 2*time.Minute)
		if engines.version("e0") != "v3" {
			t.Fatalf("version %s, %+v", engines.version("e0"), b.Stats())
		}
	})
}

// restoringStore is restored after the first write of an order record, before its response arrives.
type restoringStore struct {
	*fakeStore
}

func (s *restoringStore) CompareAndSwap(
	ctx context.Context, key string, expect kv.Revision, value []byte,
) (kv.Revision, error) {
	older := s.copy()
	revision, err := s.fakeStore.CompareAndSwap(ctx, key, expect, value)
	if key == engineKey && s.cluster() == "cluster-0" {
		s.restore(older)
	}
	return revision, err
}

// Guards against more loads at once, and more starts in a minute, than the weight store allows, because the store lost
// the record of them when it came back from an older copy.
func TestLoadLimitsHoldAcrossARestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var names []string
		for i := range 12 {
			names = append(names, fmt.Sprintf("e%d", i))
		}
		store, engines := newFakeStore(), newFakeEngines(true, names...)
		engines.keepsLoading = true
		config := newTestConfig(12, "v2")
		owners := []*Controller{config.controller("a", store, engines), config.controller("b", store, engines)}
		for i, c := range owners {
			c.opts.Owns = func(id ident.BackendID) bool { return (id < "e5") == (i == 0) }
			c.Step(t.Context())
		}
		older := store.copy()
		stepAll := func(d time.Duration) {
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(time.Second) {
				for _, c := range owners {
					c.Step(t.Context())
				}
			}
		}
		stepAll(10 * time.Second)
		if engines.loading != defaultMaxLoading {
			t.Fatalf("%d loads before the restore", engines.loading)
		}
		store.restore(older)
		stepAll(5 * time.Minute)
		if engines.loading > defaultMaxLoading {
			t.Fatalf("%d loads at once", engines.loading)
		}
		engines.finishLoads()
		stepAll(2 * time.Minute)
		if engines.loading == 0 {
			t.Fatal("no load starts after the others have ended")
		}
	})
}

// Guards against starts in the minute after a restore beyond the rate of the weight store, because the store lost the
// record of starts of loads that have ended.
func TestLoadRateHoldsAcrossARestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var names []string
		for i := range 3 * defaultLoadsPerMinute {
			names = append(names, fmt.Sprintf("e%d", i))
		}
		store, engines := newFakeStore(), newFakeEngines(true, names...)
		c := newTestConfig(len(names), "v2").controller("a", store, engines)
		c.Step(t.Context())
		older := store.copy()
		stepFor(c, 30*time.Second)
		store.restore(older)
		stepFor(c, 20*time.Second)
		if n := engines.sentOrders(); n > defaultLoadsPerMinute {
			t.Fatalf("%d starts within a minute", n)
		}
		stepFor(c, 5*time.Minute)
		if n := engines.sentOrders(); n != len(names) {
			t.Fatalf("%d of %d engines loaded", n, len(names))
		}
	})
}
