package claim

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against records that are deleted before their retention ends or while they are open, and against expired
// records that are never deleted.
func TestSweepDeletesExpiredRecordsOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		m := newManager(t, store, "r1")
		const perKind = 40
		for i := range perKind {
			c := testCall
			c.Retention = time.Hour
			c.Key = fmt.Sprintf("done-%d", i)
			_ = mustBegin(t, m, c).Finish(t.Context(), Result{Outcome: Completed})
			c.Key = fmt.Sprintf("not-run-%d", i)
			_ = mustBegin(t, m, c).Abandon(t.Context())
			c.Key = fmt.Sprintf("open-%d", i)
			mustBegin(t, m, c)
			c.Retention = 3 * time.Hour
			c.Key = fmt.Sprintf("long-%d", i)
			_ = mustBegin(t, m, c).Finish(t.Context(), Result{Outcome: Completed})
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go m.Sweep(ctx, SweepOptions{Services: func() []string { return []string{testCall.Service} }})
		for _, step := range []struct {
			wait time.Duration
			left int
		}{
			{59 * time.Minute, 4 * perKind}, {10 * time.Minute, 2 * perKind}, {3 * time.Hour, perKind},
		} {
			time.Sleep(step.wait)
			synctest.Wait()
			if got := len(store.allRecords()); got != step.left {
				t.Fatalf("after %v: %d records, want %d", step.wait, got, step.left)
			}
		}
		for _, r := range store.allRecords() {
			if r.State != stateOpen {
				t.Fatalf("left: %+v", r)
			}
		}
	})
}

// Guards against sweeping keys of other owners, and against using writes that calls need.
func TestSweepRespectsOwnersAndBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		m := New(Options{Store: store, Self: "r1", Budget: func() int { return 4 }})
		defer m.Close()
		for i := range 50 {
			m.writeTokens.refund(4)
			c := testCall
			c.Team = "t"
			c.Retention = time.Minute
			c.Key = fmt.Sprint(i)
			_ = mustBegin(t, m, c).Abandon(t.Context())
			time.Sleep(time.Second)
		}
		m.writeTokens.debit(1_000_000)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go m.Sweep(ctx, SweepOptions{
			Services: func() []string { return []string{testCall.Service} },
			Owns:     func(prefix string) bool { return prefix[len(prefix)-1] < '8' },
		})
		time.Sleep(time.Hour)
		if got := len(store.allRecords()); got != 50 {
			t.Fatalf("%d records deleted without spare writes", 50-got)
		}
		m.writeTokens.refund(1_000_000)
		time.Sleep(time.Hour)
		synctest.Wait()
		for key := range store.allRecords() {
			if digit := key[len(keyPrefix)+len(testCall.Service)+1]; digit < '8' {
				t.Fatalf("%s was not swept", key)
			}
		}
		if got := len(store.allRecords()); got == 0 || got == 50 {
			t.Fatalf("%d of 50 records left", got)
		}
	})
}
