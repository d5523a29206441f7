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

// wide is a limit that a working call never reaches.
const wide = 30 * time.Second

func start(t *testing.T, opts kvstore.Options, timeout time.Duration) (*Client, *kvstore.Server) {
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

// Guards against a client whose comparison, paging, deletion or watch differs from the interface.
func TestContract(t *testing.T) {
	c, _ := start(t, kvstore.Options{}, wide)
	kvtest.CheckStore(t, c)
}

// Guards against a watch that misses a change made before it starts or while it waits.
func TestWatch(t *testing.T) {
	c, store := start(t, kvstore.Options{}, wide)
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
		t.Fatalf("watch past its context: %v", err)
	}
}

// Guards against failures that are mapped to a wrong promise about the write's effect.
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
		{"no answer", kvstore.Faults{Hang: true}, kv.ErrUncertain, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			limit := wide
			if tc.faults.Hang {
				limit = time.Second
			}
			c, store := start(t, kvstore.Options{}, limit)
			store.SetFaults(tc.faults)
			if _, err := c.CompareAndSwap(t.Context(), "k", 0, []byte("x")); !errors.Is(err, tc.want) {
				t.Fatalf("got %v, want %v", err, tc.want)
			}
			store.SetFaults(kvstore.Faults{})
			reader := New(Options{URL: c.base, Timeout: wide})
			defer reader.Close()
			_, err := reader.Get(t.Context(), "k")
			if found := err == nil; found != tc.applied {
				t.Fatalf("key present: %v, want %v", found, tc.applied)
			}
		})
	}
}

// Guards against a write that never left the router being reported as uncertain.
func TestUnreachable(t *testing.T) {
	server := httptest.NewServer(nil)
	url := server.URL
	server.Close()
	c := New(Options{URL: url, Timeout: wide})
	if _, err := c.CompareAndSwap(t.Context(), "k", 0, nil); !errors.Is(err, kv.ErrUnavailable) {
		t.Fatal(err)
	}
}

// Guards against rate errors that look like an outage, and calls that are not counted.
func TestThrottledAndCounts(t *testing.T) {
	c, store := start(t, kvstore.Options{WritesPerSecond: 1, ReadsPerSecond: 1}, wide)
	throttled := false
	// The window of a second may end between two calls, so more than two may be needed.
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

// Guards against a watch that waits for ever after the store dropped the events it asks for.
func TestWatchAfterCompaction(t *testing.T) {
	c, _ := start(t, kvstore.Options{MaxEvents: 10}, wide)
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
