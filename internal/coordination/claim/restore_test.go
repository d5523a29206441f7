package claim

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/coordination/fencing"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/state/kv"
)

// restorableStore is a fake store that comes back from an older copy.
type restorableStore struct {
	*fakeStore
	cluster atomic.Pointer[string]
}

func newRestorableStore() *restorableStore {
	s := &restorableStore{fakeStore: newFakeStore()}
	s.setCluster("first")
	return s
}

func (s *restorableStore) setCluster(id string) { s.cluster.Store(&id) }

func (s *restorableStore) clusterID() string { return *s.cluster.Load() }

func (s *restorableStore) copy() map[string]kv.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	entries := make(map[string]kv.Entry)
	for key, e := range s.entries {
		entries[key] = e
	}
	return entries
}

// restore replaces the data by a copy.
func (s *restorableStore) restore(entries map[string]kv.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries = entries
	s.setCluster("second")
}

func newRestorableManager(t *testing.T, s *restorableStore, self ident.RouterID) *Manager {
	t.Helper()
	m := New(Options{
		Store: s, Self: self, Incarnation: 1, Budget: func() int { return 1000 }, Cluster: s.clusterID,
		Fencing: fencing.New(s, s.clusterID),
	})
	t.Cleanup(m.Close)
	return m
}

func expectUnknown(t *testing.T, m *Manager, when string) {
	t.Helper()
	var open *OpenError
	if held, result, err := m.Begin(t.Context(), testCall); held != nil || result != nil || !errors.As(err, &open) {
		t.Fatalf("%s: claim %v, result %v, error %v", when, held, result, err)
	}
}

// Guards against a second run of a call whose claim, or whose result, the store lost when it came back from an older copy
// while the holder is alive.
func TestClaimsSurviveARestore(t *testing.T) {
	for _, finished := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			store := newRestorableStore()
			holder, other := newRestorableManager(t, store, "r1"), newRestorableManager(t, store, "r2")
			if _, _, err := other.Begin(t.Context(), Call{Service: "credits", Key: "k0"}); err != nil {
				t.Fatal(err)
			}
			older := store.copy()
			held := mustBegin(t, holder, testCall)
			if finished {
				if err := held.Finish(t.Context(), Result{Outcome: Completed, Status: 201}); err != nil {
					t.Fatal(err)
				}
			}
			store.restore(older)
			expectUnknown(t, other, "before the claim is written again")
			time.Sleep(2 * restorePollPeriod)
			if !finished {
				waiting, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				var open *OpenError
				if claim, _, err := other.Begin(waiting, testCall); claim != nil || !errors.As(err, &open) {
					t.Fatalf("while the call runs: claim %v, error %v", claim, err)
				}
				_ = held.Finish(t.Context(), Result{Outcome: Completed, Status: 201}) // recorded in the background
			}
			time.Sleep(restoreHold)
			claim, result, err := other.Begin(t.Context(), testCall)
			if err != nil || claim != nil || result == nil || result.Status != 201 {
				t.Fatalf("finished %v: claim %v, result %+v, error %v", finished, claim, result, err)
			}
		})
	}
}

// Guards against a call that is run by a router which notices the restore only by the response to its claim, or which
// starts after the restore, and against a hold that does not end.
func TestRoutersHoldCallsAfterARestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newRestorableStore()
		running := newRestorableManager(t, store, "r1")
		time.Sleep(2 * restorePollPeriod) // the cluster is recorded
		older := store.copy()
		store.onWrite = func(string, []byte) fault {
			if store.clusterID() == "first" {
				store.setCluster("second") // the response names the restored store
			}
			return faultNone
		}
		expectUnknown(t, running, "the write shows the restore")
		store.restore(older)
		started := newRestorableManager(t, store, "r2")
		expectUnknown(t, started, "started after the restore")
		time.Sleep(restorePollPeriod * 4)
		third := newRestorableManager(t, store, "r3")
		expectUnknown(t, third, "started after others have noticed it")
		time.Sleep(restoreHold + time.Second)
		for _, m := range []*Manager{running, started, third} {
			if m.restores.holding() {
				t.Fatal("the hold does not end")
			}
		}
		held := mustBegin(t, third, testCall)
		if err := held.Abandon(t.Context()); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against calls after a restore that get a fencing number which was already assigned before it.
func TestFencingNumbersOfClaimsRiseAfterARestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newRestorableStore()
		m := newRestorableManager(t, store, "r1")
		first := mustBegin(t, m, Call{Service: "credits", Key: "k1"})
		older, revision := store.copy(), kv.Revision(first.FencingNumber())
		var before *Claim
		for i := range 10 {
			before = mustBegin(t, m, Call{Service: "credits", Key: fmt.Sprintf("before-%d", i)})
			if err := before.Finish(t.Context(), Result{Outcome: Completed}); err != nil {
				t.Fatal(err)
			}
		}
		store.restore(older)
		store.mu.Lock()
		store.revision = revision
		store.mu.Unlock()
		time.Sleep(restoreHold + time.Minute)
		after := mustBegin(t, m, Call{Service: "credits", Key: "k3"})
		if first.FencingNumber() >= before.FencingNumber() || before.FencingNumber() >= after.FencingNumber() {
			t.Fatalf("%d, %d, after the restore %d", first.FencingNumber(), before.FencingNumber(), after.FencingNumber())
		}
	})
}

// Guards against a hold at the first start of a fleet, and against one after a restart without a restore.
func TestStartsWithoutARestoreDoNotHold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newRestorableStore()
		first := mustBegin(t, newRestorableManager(t, store, "r1"), testCall)
		if err := first.Finish(t.Context(), Result{Outcome: Completed}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * restorePollPeriod)
		other := testCall
		other.Key = "k2"
		mustBegin(t, newRestorableManager(t, store, "r2"), other)
	})
}

// Guards against a claim that is remembered as held for ever, and written again as open, because its call ended while the
// store did not respond.
func TestCallsThatEndInAnOutageAreRemembered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newRestorableManager(t, newRestorableStore(), "r1")
		held := mustBegin(t, m, testCall)
		m.markStoreUnresponsive()
		var refused *StoreError
		if err := held.Finish(t.Context(), Result{Outcome: Completed, Status: 201}); !errors.As(err, &refused) {
			t.Fatal(err)
		}
		m.restores.mu.Lock()
		defer m.restores.mu.Unlock()
		c := m.restores.recent[held.key]
		if c == nil || c.record.State != stateDone || c.endedAt.IsZero() {
			t.Fatalf("remembered as %+v", c)
		}
	})
}

// Guards against a read for each call, and against a hold, at a store that does not tell its cluster.
func TestStoreWithoutAClusterIsReadOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newRestorableStore()
		store.setCluster("")
		m := newRestorableManager(t, store, "r1")
		for _, key := range []string{"a", "b", "c"} {
			call := testCall
			call.Key = key
			mustBegin(t, m, call)
		}
		store.mu.Lock()
		defer store.mu.Unlock()
		if store.reads != 2 { // one read of the cluster and one of the epoch
			t.Fatalf("%d reads", store.reads)
		}
	})
}

// Guards against memory that grows with the number of calls.
func TestRememberedClaimsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newRestorableManager(t, newRestorableStore(), "r1")
		body := make([]byte, 1<<20)
		for i := range 64 {
			r := Result{Outcome: Completed, Body: body}
			m.restores.remember(string(rune('a'+i)), testCall.endedRecord(holderID{}, &r, m.clock()))
		}
		m.restores.mu.Lock()
		bytes, claims := m.restores.recentBytes, len(m.restores.recent)
		m.restores.mu.Unlock()
		if bytes > maxRecentBodyBytes || claims != 64 {
			t.Fatalf("%d bytes in %d claims", bytes, claims)
		}
		time.Sleep(recentRetention + time.Minute)
		m.restores.mu.Lock()
		defer m.restores.mu.Unlock()
		if len(m.restores.recent) != 0 || m.restores.recentBytes != 0 {
			t.Fatalf("%d claims, %d bytes are left", len(m.restores.recent), m.restores.recentBytes)
		}
	})
}
