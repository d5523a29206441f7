package claim

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/state/kv"
)

var testCall = Call{
	Service: "credits", Team: "reciclaje", Key: "k1", Fingerprint: NewFingerprint([]byte("a")), RequestID: "r1-1-1",
}

func newManager(t *testing.T, s kv.Store, self ident.RouterID) *Manager {
	t.Helper()
	m := New(Options{Store: s, Self: self, Incarnation: 1, Budget: func() int { return 1000 }})
	t.Cleanup(m.Close)
	return m
}

func mustBegin(t *testing.T, m *Manager, c Call) *Claim {
	t.Helper()
	held, result, err := m.Begin(t.Context(), c)
	if err != nil || held == nil || result != nil {
		t.Fatalf("Begin: claim %v, result %v, error %v", held, result, err)
	}
	return held
}

// runWithFakeTime runs a subtest in a synctest bubble.
func runWithFakeTime(name string, t *testing.T, run func(t *testing.T)) {
	t.Run(name, func(t *testing.T) { synctest.Test(t, run) })
}

// Guards against a second run of a call whose result is recorded, at the same or another router.
func TestResultIsReplayedAtAnyRouter(t *testing.T) {
	store := newFakeStore()
	held := mustBegin(t, newManager(t, store, "r1"), testCall)
	if held.FencingNumber() != 1 {
		t.Fatalf("fence %d is not the store's revision", held.FencingNumber())
	}
	if err := held.Finish(t.Context(), Result{Outcome: Completed, Status: 201, Body: []byte("ok")}); err != nil {
		t.Fatal(err)
	}
	if err := held.Abandon(t.Context()); !errors.Is(err, ErrAlreadyEnded) {
		t.Fatalf("second end: %v", err)
	}
	for _, router := range []ident.RouterID{"r1", "r2"} {
		again, result, err := newManager(t, store, router).Begin(t.Context(), testCall)
		if again != nil || err != nil || result.Status != 201 || string(result.Body) != "ok" || result.RequestID != "r1-1-1" {
			t.Fatalf("%s: claim %v, result %+v, error %v", router, again, result, err)
		}
	}
}

// Guards against answering a request with the result of a different request that used the same key.
func TestKeyReuseByDifferentRequestIsRefused(t *testing.T) {
	store := newFakeStore()
	m := newManager(t, store, "r1")
	held := mustBegin(t, m, testCall)
	other := testCall
	other.Fingerprint = NewFingerprint([]byte("b"))
	var conflict *KeyConflictError
	if _, _, err := m.Begin(t.Context(), other); !errors.As(err, &conflict) {
		t.Fatalf("open claim: %v", err)
	}
	_ = held.Finish(t.Context(), Result{Outcome: Completed})
	if _, _, err := m.Begin(t.Context(), other); !errors.As(err, &conflict) {
		t.Fatalf("done claim: %v", err)
	}
	other.Team = "fernleigh"
	mustBegin(t, m, other) // keys of different teams are independent
}

// Guards against a holder that loses its claim because the response to the claim's write was lost, and against a second
// claim on repetition.
func TestLostResponseIsReadBack(t *testing.T) {
	for name, f := range map[string]fault{"took effect": faultLost, "had no effect": faultDropped} {
		runWithFakeTime(name, t, func(t *testing.T) {
			store := newFakeStore()
			store.onWrite = failNth(1, f)
			held := mustBegin(t, newManager(t, store, "r1"), testCall)
			if err := held.Finish(t.Context(), Result{Outcome: Completed}); err != nil {
				t.Fatal(err)
			}
			if r := store.record(testCall); r.State != stateDone {
				t.Fatalf("record %+v", r)
			}
		})
	}
}

// Guards against a claim that stays open after its caller got the outcome not-run, no matter when the write of unknown
// outcome takes effect.
func TestUncertainClaimIsMarkedNotRun(t *testing.T) {
	for name, late := range map[string]time.Duration{
		"at once": 0, "during the outage": 3 * time.Second, "after the outage": time.Hour,
	} {
		runWithFakeTime(name, t, func(t *testing.T) {
			store := newFakeStore()
			store.late = func() time.Duration { return late }
			store.onWrite = func(string, []byte) fault { return faultLate }
			store.onRead = func(string) fault { return faultRefused }
			m := newManager(t, store, "r1")
			var uncertain *UncertainError
			if held, _, err := m.Begin(t.Context(), testCall); held != nil || !errors.As(err, &uncertain) {
				t.Fatalf("claim %v, error %v", held, err)
			}
			time.Sleep(10 * time.Second)
			store.setFaults(nil, nil)
			time.Sleep(time.Minute)
			if r := store.record(testCall); r == nil || r.State != stateNotRun {
				t.Fatalf("record %+v", r)
			}
			store.background.Wait()
			mustBegin(t, newManager(t, store, "r2"), testCall)
		})
	}
}

// Guards against a claim that cannot be used again after a call that did not run, and against two holders of it.
func TestNotRunRecordIsClaimedAgainOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		first := mustBegin(t, newManager(t, store, "r1"), testCall)
		if err := first.Abandon(t.Context()); err != nil {
			t.Fatal(err)
		}
		second := mustBegin(t, newManager(t, store, "r2"), testCall)
		if second.FencingNumber() <= first.FencingNumber() {
			t.Fatalf("fence %d after %d", second.FencingNumber(), first.FencingNumber())
		}
		ctx, cancel := context.WithTimeout(t.Context(), 30*time.Millisecond)
		defer cancel()
		var open *OpenError
		if _, _, err := newManager(t, store, "r3").Begin(ctx, testCall); !errors.As(err, &open) {
			t.Fatalf("third: %v", err)
		}
	})
}

// Guards against repeated requests that are answered before the holder has ended, or that wait beyond their own
// deadline.
func TestRepeatedRequestWaitsForHolder(t *testing.T) {
	runWithFakeTime("result in time", t, func(t *testing.T) {
		store := newFakeStore()
		held := mustBegin(t, newManager(t, store, "r1"), testCall)
		time.AfterFunc(20*time.Second, func() { _ = held.Finish(context.Background(), Result{Outcome: Failed, Status: 500}) })
		began := time.Now()
		_, result, err := newManager(t, store, "r2").Begin(t.Context(), testCall)
		if err != nil || result.Status != 500 {
			t.Fatalf("result %+v, error %v", result, err)
		}
		if waited := time.Since(began); waited > 20*time.Second+2*maxPollInterval {
			t.Fatalf("result seen after %v", waited)
		}
		if store.reads > 60 {
			t.Fatalf("%d reads in 20 s", store.reads)
		}
	})
	runWithFakeTime("deadline", t, func(t *testing.T) {
		store := newFakeStore()
		mustBegin(t, newManager(t, store, "r1"), testCall)
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		began := time.Now()
		var open *OpenError
		if _, _, err := newManager(t, store, "r2").Begin(ctx, testCall); !errors.As(err, &open) ||
			open.RequestID != "r1-1-1" {
			t.Fatalf("error %v", err)
		}
		if waited := time.Since(began); waited != 5*time.Second {
			t.Fatalf("answered after %v", waited)
		}
	})
}

// Guards against a claim during a store outage that does not return a *StoreError.
func TestOutageReturnsStoreError(t *testing.T) {
	store := newFakeStore()
	store.onWrite = func(string, []byte) fault { return faultRefused }
	var outage *StoreError
	if _, _, err := newManager(t, store, "r1").Begin(t.Context(), testCall); !errors.As(err, &outage) {
		t.Fatalf("outage: %v", err)
	}
}

// beginMany begins n calls of a team with new keys and returns how many were within the budget.
func beginMany(t *testing.T, m *Manager, team ident.TeamID, n int) (begun int) {
	t.Helper()
	for i := range n {
		c := testCall
		c.Team = team
		c.Key = fmt.Sprintf("%v-%d", time.Now(), i)
		_, _, err := m.Begin(t.Context(), c)
		if err != nil && !errors.Is(err, ErrBudgetExceeded) {
			t.Fatal(err)
		}
		begun += boolInt(err == nil)
	}
	return begun
}

// Guards against writes beyond the budget, against budget that stays unused, and against a flooding team that takes the
// writes of all others.
func TestBudgetIsEnforcedAndShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const rate = 40
		store := newFakeStore()
		m := New(Options{Store: store, Self: "r1", Budget: func() int { return rate }})
		defer m.Close()
		flood, small := 0, 0
		const seconds = 20
		for range seconds * 10 {
			flood += beginMany(t, m, "flood", 100)
			small += beginMany(t, m, "small", 1)
			time.Sleep(time.Second / 10)
			if store.writes > rate*(seconds+1) {
				t.Fatalf("%d writes", store.writes)
			}
		}
		if got := (flood + small) * writesPerCall; got < rate*seconds*9/10 || got > rate*(seconds+1) {
			t.Fatalf("%d writes reserved in %d s at %d a second", got, seconds, rate)
		}
		// The small team asks for its equal share, half of the budget. A tenth is allowed for the time until the
		// shares are stable.
		if small < seconds*10*9/10 {
			t.Fatalf("the small team began %d of %d calls beside a flood", small, seconds*10)
		}
		t.Logf("flood %d, small %d of %d", flood, small, seconds*10)
	})
}

// Guards against a budget that is not updated when the number of live members changes.
func TestBudgetChangeTakesEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rate := 0
		m := New(Options{Store: newFakeStore(), Self: "r1", Budget: func() int { return rate }})
		defer m.Close()
		if n := beginMany(t, m, "a", 5); n != 0 {
			t.Fatalf("%d calls without a budget", n)
		}
		rate = 100
		time.Sleep(time.Second)
		if n := beginMany(t, m, "a", 5); n != 5 {
			t.Fatalf("%d calls of 5", n)
		}
	})
}

// Guards against callers that are delayed for long by a store that hangs.
func TestHangingStoreTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newManager(t, hangingStore{newFakeStore()}, "r1")
		began := time.Now()
		var uncertain *UncertainError
		if _, _, err := m.Begin(t.Context(), testCall); !errors.As(err, &uncertain) {
			t.Fatalf("error %v", err)
		}
		if waited := time.Since(began); waited > resolveTimeout+time.Second {
			t.Fatalf("Begin returned after %v", waited)
		}
		began = time.Now()
		var refused *StoreError
		if _, _, err := m.Begin(t.Context(), testCall); !errors.As(err, &refused) || time.Since(began) != 0 {
			t.Fatalf("next call: %v after %v", err, time.Since(began))
		}
		c := testCall
		c.RunOnStoreOutage = true
		if held := mustBegin(t, m, c); !held.Unconfirmed() || time.Since(began) != 0 {
			t.Fatalf("next call with RunOnStoreOutage: after %v", time.Since(began))
		}
	})
}

// Guards against a caller that cancels during the write and thereby blocks the claims of others or leaves a claim open.
func TestCallerCancelsDuringWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.delay = func() time.Duration { return 100 * time.Millisecond }
		m := newManager(t, store, "r1")
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		began := time.Now()
		var uncertain *UncertainError
		if _, _, err := m.Begin(ctx, testCall); !errors.As(err, &uncertain) || time.Since(began) != 50*time.Millisecond {
			t.Fatalf("error %v after %v", err, time.Since(began))
		}
		other := testCall
		other.Key = "other"
		mustBegin(t, m, other)
		if err := m.Drain(t.Context()); err != nil || store.record(testCall).State != stateNotRun {
			t.Fatalf("record %+v, %v", store.record(testCall), err)
		}
	})
}

// Guards against a call with RunOnStoreOutage whose result is missing for repeated requests after the outage.
func TestRunWithoutClaimIsRecordedAfterOutage(t *testing.T) {
	for name, f := range map[string]fault{"refused": faultRefused, "lost": faultLost, "dropped": faultDropped} {
		runWithFakeTime(name, t, func(t *testing.T) {
			store := newFakeStore()
			store.onWrite = func(string, []byte) fault { return f }
			store.onRead = func(string) fault { return faultRefused }
			m := newManager(t, store, "r1")
			c := testCall
			c.RunOnStoreOutage = true
			held := mustBegin(t, m, c)
			if !held.Unconfirmed() || held.FencingNumber() != 0 {
				t.Fatalf("fence %d", held.FencingNumber())
			}
			if err := held.Finish(t.Context(), Result{Outcome: Completed, Status: 200}); err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Minute)
			store.setFaults(nil, nil)
			time.Sleep(time.Minute)
			if r := store.record(c); r == nil || r.State != stateDone || r.Result.Status != 200 {
				t.Fatalf("record %+v", r)
			}
		})
	}
}

// Guards against a result that stays unrecorded because one write to the store was refused, lost or dropped.
func TestFinishIsRetriedInBackground(t *testing.T) {
	for name, f := range map[string]fault{"refused": faultRefused, "lost": faultLost, "dropped": faultDropped} {
		runWithFakeTime(name, t, func(t *testing.T) {
			store := newFakeStore()
			store.onWrite = failNth(2, f)
			held := mustBegin(t, newManager(t, store, "r1"), testCall)
			if err := held.Finish(t.Context(), Result{Outcome: Completed, Status: 200}); err == nil {
				t.Fatal("Finish reported an unconfirmed record as recorded")
			}
			time.Sleep(time.Second)
			if r := store.record(testCall); r.State != stateDone || r.Result.Status != 200 {
				t.Fatalf("record %+v", r)
			}
		})
	}
}

// Guards against records above the store's value limit, and against bodies that are truncated without notice.
func TestLargeResultIsRecordedWithoutItsBody(t *testing.T) {
	for size, omitted := range map[int]bool{MaxResultBody: false, MaxResultBody + 1: true} {
		store := newFakeStore()
		held := mustBegin(t, newManager(t, store, "r1"), testCall)
		body := bytes.Repeat([]byte{0xff}, size)
		if err := held.Finish(t.Context(), Result{Outcome: Completed, Status: 200, Body: body}); err != nil {
			t.Fatal(err)
		}
		_, result, err := newManager(t, store, "r2").Begin(t.Context(), testCall)
		if err != nil || result.Outcome != Completed || result.BodyOmitted != omitted || omitted != (len(result.Body) == 0) {
			t.Fatalf("%d bytes: omitted %v, kept %d, error %v", size, result.BodyOmitted, len(result.Body), err)
		}
	}
}
