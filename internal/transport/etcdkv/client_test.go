package etcdkv

import (
	"context"
	"errors"
	"net/http/httptest"
	"testing"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/state/kv"
	"gooseberrytide.example/gooseberrytide/internal/state/kv/kvtest"
	"gooseberrytide.example/gooseberrytide/test/standin/kvstore"
)

// longTimeout is a timeout that a working call never reaches.
const longTimeout = 30 * time.Second

func startClient(t *testing.T, opts kvstore.Options, timeout time.Duration) (*Client, *kvstore.Server) {
	t.Helper()
	store := kvstore.New(opts)
	server := httptest.NewServer(store)
	client := New(Options{URL: server.URL, Timeout: timeout})
	t.Cleanup(func() {
		client.Close()
		server.CloseClientConnections()
		server.Close()
	})
	return client, store
}

// Guards against a client whose comparisons, paging, deletions or watches differ from the contract of kv.Store.
func TestContract(t *testing.T) {
	c, _ := startClient(t, kvstore.Options{}, longTimeout)
	kvtest.CheckStore(t, c)
}

// Guards against a restore of the store that is not noticed.
func TestRestoreChangesTheCluster(t *testing.T) {
	c, store := startClient(t, kvstore.Options{}, longTimeout)
	if c.ClusterID() != "" {
		t.Fatalf("cluster %q before the first response", c.ClusterID())
	}
	older := store.Copy()
	revision, err := c.CompareAndSwap(t.Context(), "k", 0, []byte("1"))
	if err != nil {
		t.Fatal(err)
	}
	before := c.ClusterID()
	store.Restore(older)
	if _, err := c.Get(t.Context(), "k"); !errors.Is(err, kv.ErrNotFound) {
		t.Fatalf("the copy lacks the key: %v", err)
	}
	if c.ClusterID() == before || before == "" {
		t.Fatalf("cluster %q after %q", c.ClusterID(), before)
	}
	again, err := c.CompareAndSwap(t.Context(), "other", 0, []byte("2"))
	if err != nil || again != revision {
		t.Fatalf("revision %d instead of %d again: %v", again, revision, err)
	}
}

// Guards against a watch that misses a change made before it started or while it waits.
func TestWatch(t *testing.T) {
	c, store := startClient(t, kvstore.Options{}, longTimeout)
	first, _ := c.CompareAndSwap(t.Context(), "k", 0, []byte("1"))
	entry, err := c.Watch(t.Context(), "k", 0)
	if err != nil || entry.Revision != first {
		t.Fatalf("earlier change: %v %v", entry, err)
	}
	result := make(chan kv.Entry, 1)
	go func() {
		entry, _ := c.Watch(context.WithoutCancel(t.Context()), "k", first)
		result <- entry
	}()
	for store.Counters().WatchesOpen == 0 {
		time.Sleep(time.Millisecond)
	}
	second, _ := c.CompareAndSwap(t.Context(), "k", first, []byte("2"))
	if entry := <-result; entry.Revision != second || string(entry.Value) != "2" {
		t.Fatalf("waiting watch: %v", entry)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	if _, err := c.Watch(ctx, "k", second); !errors.Is(err, context.DeadlineExceeded) {
		t.Fatalf("watch after the end of its context: %v", err)
	}
}

// Guards against errors that make a wrong statement about whether a write took effect.
func TestFailures(t *testing.T) {
	cases := []struct {
		name    string
		faults  kvstore.Faults
		want    error
		applied bool
	}{
		{"refused", kvstore.Faults{Outage: true}, kv.ErrUnavailable, false},
		{"lost, applied", kvstore.Faults{Lost: kvstore.LostApplied}, kv.ErrUncertain, true},
		{"lost, dropped", kvstore.Faults{Lost: kvstore.LostDropped}, kv.ErrUncertain, false},
		{"timeout inside the store", kvstore.Faults{Lost: kvstore.LostApplied, Ambiguous: true}, kv.ErrUncertain, true},
		{"no response", kvstore.Faults{Hang: true}, kv.ErrUncertain, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			timeout := longTimeout
			if tc.faults.Hang {
				timeout = time.Second
			}
			c, store := startClient(t, kvstore.Options{}, timeout)
			store.SetFaults(tc.faults)
			if _, err := c.CompareAndSwap(t.Context(), "k", 0, []byte("x")); !errors.Is(err, tc.want) {
				t.Fatalf("got %v, want %v", err, tc.want)
			}
			store.SetFaults(kvstore.Faults{})
			reader := New(Options{URL: c.base, Timeout: longTimeout})
			defer reader.Close()
			_, err := reader.Get(t.Context(), "k")
			if found := err == nil; found != tc.applied {
				t.Fatalf("key present: %v, want %v", found, tc.applied)
			}
		})
	}
}

// Guards against a write that was never sent being reported as uncertain.
func TestUnreachable(t *testing.T) {
	server := httptest.NewServer(nil)
	url := server.URL
	server.Close()
	c := New(Options{URL: url, Timeout: longTimeout})
	if _, err := c.CompareAndSwap(t.Context(), "k", 0, nil); !errors.Is(err, kv.ErrUnavailable) {
		t.Fatal(err)
	}
}

// Guards against rate limit errors that are reported as an outage, and calls that are not counted.
func TestThrottledAndCounts(t *testing.T) {
	c, store := startClient(t, kvstore.Options{WritesPerSecond: 1, ReadsPerSecond: 1}, longTimeout)
	throttled := false
	// The one-second window of the rate limit may end between two calls, so two calls may not be enough.
	for range 100 {
		_, err := c.Get(t.Context(), "k")
		throttled = throttled || errors.Is(err, kv.ErrThrottled)
	}
	if !throttled {
		t.Fatal("no call was throttled")
	}
	if got, want := store.Counters().Range, c.Counts().Gets; got != want || want != 100 {
		t.Fatalf("store counted %d reads, client %d", got, want)
	}
}

// Guards against a watch that waits forever because the store has compacted the events that it requests.
func TestWatchAfterCompaction(t *testing.T) {
	c, _ := startClient(t, kvstore.Options{MaxEvents: 10}, longTimeout)
	first, err := c.CompareAndSwap(t.Context(), "k", 0, []byte("old"))
	if err != nil {
		t.Fatal(err)
	}
	second, err := c.CompareAndSwap(t.Context(), "k", first, []byte("new"))
	if err != nil {
		t.Fatal(err)
	}
	other := kv.Revision(0)
	for range 20 {
		other, err = c.CompareAndSwap(t.Context(), "other", other, nil)
		if err != nil {
			t.Fatal(err)
		}
	}
	entry, err := c.Watch(t.Context(), "k", first)
	if err != nil || entry.Revision != second {
		t.Fatalf("got %v %v, want revision %d", entry, err, second)
	}
}
