package fencing

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"

	"gooseberrytide.example/gooseberrytide/internal/state/kv"
)

// testStore is a fake store whose cluster can be changed.
type testStore struct {
	*kv.Fake
	restores atomic.Int64
}

func (s *testStore) cluster() string { return fmt.Sprintf("cluster-%d", s.restores.Load()) }

func mustNumber(t *testing.T, n *Numbers, revision kv.Revision) int64 {
	t.Helper()
	epoch, err := n.Current(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	number, err := epoch.Number(revision)
	if err != nil {
		t.Fatal(err)
	}
	return number
}

// Guards against lower numbers after a restore, at a router that ran before it and at one that starts after it, and
// against an epoch for each router instead of one for each restore.
func TestNumbersRiseWithEachRestore(t *testing.T) {
	store := &testStore{Fake: kv.NewFake()}
	var routers []*Numbers
	last := int64(0)
	for range 3 {
		for range 8 {
			routers = append(routers, New(store, store.cluster))
		}
		var group sync.WaitGroup
		for _, n := range routers {
			group.Go(func() {
				if _, err := n.Current(t.Context()); err != nil {
					t.Error(err)
				}
			})
		}
		group.Wait()
		number := mustNumber(t, routers[0], 1)
		for _, n := range routers {
			if other := mustNumber(t, n, 1); other != number || other <= last {
				t.Fatalf("numbers %d and %d after %d", number, other, last)
			}
		}
		last = number + 1000
		store.restores.Add(1)
	}
	if n := len(store.Versions(Key)); n != 3 {
		t.Fatalf("the epoch was written %d times", n)
	}
}

// Guards against a read of the epoch for each number, which doubles the load of the store.
func TestEpochIsReadOnce(t *testing.T) {
	store := &testStore{Fake: kv.NewFake()}
	n := New(store, store.cluster)
	for range 10 {
		mustNumber(t, n, 1)
	}
	if reads := store.Counts()[kv.OpGet]; reads != 1 {
		t.Fatalf("%d reads", reads)
	}
}
