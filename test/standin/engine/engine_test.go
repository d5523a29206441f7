package engine

import (
	"context"
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	protocol "gooseberrytide.example/gooseberrytide/internal/protocol/engine"
)

// Guards against slots that are granted out of order of arrival, which would make the measured waits useless for
// judging the routers. One of the waiting requests is cancelled.
func TestSlotsAreGrantedInArrivalOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := New(Options{Slots: 2})
		ctx, cancel := context.WithCancel(context.Background())
		granted := make(chan int, 5)
		for i := range 5 {
			waiterCtx := ctx
			if i != 3 {
				waiterCtx = context.Background()
			}
			go func() {
				if e.acquire(waiterCtx, func() error { return nil }) == nil {
					granted <- i
					time.Sleep(time.Second)
					e.release()
				}
			}()
			time.Sleep(time.Millisecond)
		}
		if load := e.currentLoad(); load.Running != 2 || load.Waiting != 3 {
			t.Fatalf("load %+v", load)
		}
		cancel()
		time.Sleep(10 * time.Second)
		synctest.Wait()
		var order []int
		for len(granted) > 0 {
			order = append(order, <-granted)
		}
		if len(order) != 4 || order[2] != 2 || order[3] != 4 {
			t.Fatalf("slots granted in the order %v", order)
		}
		s := e.Stats()
		if s.Running != 0 || s.PeakRunning != 2 || s.SlotBusySeconds < 3.99 || s.SlotBusySeconds > 4.01 {
			t.Fatalf("unexpected stats: %+v", s)
		}
		if s.BusySeconds > 2.01 {
			t.Fatalf("engine was busy for %f s, want at most 2.01", s.BusySeconds)
		}
	})
}

// Guards against a waiter that stays in the queue after its keep-alive write failed: it would take up a slot later.
func TestFailedWaiterIsRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := New(Options{Slots: 1, KeepAlive: time.Second})
		_ = e.acquire(context.Background(), nil)
		lost := errors.New("lost")
		if err := e.acquire(context.Background(), func() error { return lost }); !errors.Is(err, lost) {
			t.Fatal(err)
		}
		e.release()
		if load := e.currentLoad(); load.Running != 0 || load.Waiting != 0 {
			t.Fatalf("load %+v", load)
		}
	})
}

// Guards against an eviction that does not remove the least recently used prefix or does not report it: routers choose
// engines by the reported cache contents.
func TestPrefixCache(t *testing.T) {
	c := newPrefixCache(2)
	a := protocol.PrefixHashes(strings.Repeat("a", 600))
	b := protocol.PrefixHashes(strings.Repeat("b", 300))
	if added, removed := c.add(a); len(added) != 2 || len(removed) != 0 {
		t.Fatalf("added %v, removed %v", added, removed)
	}
	if n := c.cachedBytes(a); n != 512 {
		t.Fatalf("%d bytes cached", n)
	}
	if _, removed := c.add(b); len(removed) != 1 || removed[0] != protocol.PrefixHash(a[0]) {
		t.Fatalf("removed %v", removed)
	}
	if n := c.cachedBytes(a[:1]); n != 0 {
		t.Fatalf("%d bytes cached after removal", n)
	}
}

// Guards against load reports without the configured lag; the reports of real engines lag too.
func TestLoadLags(t *testing.T) {
	l := &delayedLoad{lag: 2 * time.Second}
	start := time.Now()
	for i, want := range []int{0, 0, 0, 1, 2} {
		got := l.sample(start.Add(time.Duration(i)*time.Second), protocol.Load{Running: i})
		if got.Running != want {
			t.Fatalf("second %d shows the load of second %d, want %d", i, got.Running, want)
		}
	}
}

// Guards against tokens that depend on where a stream starts: a resumed response could not be checked.
func TestTokensAreDeterministic(t *testing.T) {
	whole := Text(1, "p", 0, 10)
	if Text(1, "p", 0, 4)+Text(1, "p", 4, 10) != whole || whole == Text(2, "p", 0, 10) || whole == Text(1, "q", 0, 10) {
		t.Fatal("tokens depend on the start of the stream, or do not depend on the seed or the prompt")
	}
	for _, p := range []string{"a", "b", "c"} {
		if n := CompletionLength(1, p, 7, true); n < 1 || n > 7 || n != CompletionLength(1, p, 7, true) {
			t.Fatalf("completion length %d is out of range or not deterministic", n)
		}
	}
}
