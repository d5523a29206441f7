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

// More requests than slots must wait in the order of arrival, or measured waits say nothing about the routers.
func TestSlotsAreGivenInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := New(Options{Slots: 2})
		ctx, cancel := context.WithCancel(context.Background())
		turns := make(chan int, 5)
		for i := range 5 {
			own := ctx
			if i != 3 {
				own = context.Background()
			}
			go func() {
				if e.acquire(own, func() error { return nil }) == nil {
					turns <- i
					time.Sleep(time.Second)
					e.release()
				}
			}()
			time.Sleep(time.Millisecond)
		}
		if load := e.loadNow(); load.Running != 2 || load.Waiting != 3 {
			t.Fatalf("load %+v", load)
		}
		cancel()
		time.Sleep(10 * time.Second)
		synctest.Wait()
		var order []int
		for len(turns) > 0 {
			order = append(order, <-turns)
		}
		if len(order) != 4 || order[2] != 2 || order[3] != 4 {
			t.Fatalf("order %v", order)
		}
		s := e.Stats()
		if s.Running != 0 || s.PeakRunning != 2 || s.SlotBusySeconds < 3.99 || s.SlotBusySeconds > 4.01 {
			t.Fatalf("%+v", s)
		}
		if s.BusySeconds > 2.01 {
			t.Fatalf("busy for %f s", s.BusySeconds)
		}
	})
}

// A waiter whose write fails at the moment of its turn must pass the slot on.
func TestFailedWaiterFreesItsPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := New(Options{Slots: 1, KeepAlive: time.Second})
		_ = e.acquire(context.Background(), nil)
		lost := errors.New("lost")
		if err := e.acquire(context.Background(), func() error { return lost }); !errors.Is(err, lost) {
			t.Fatal(err)
		}
		e.release()
		if load := e.loadNow(); load.Running != 0 || load.Waiting != 0 {
			t.Fatalf("load %+v", load)
		}
	})
}

// The cache must forget the least recently used prefix and say so, since routers choose engines by it.
func TestPrefixCache(t *testing.T) {
	c := newPrefixCache(2)
	a := protocol.PrefixHashes(strings.Repeat("a", 600))
	b := protocol.PrefixHashes(strings.Repeat("b", 300))
	if added, removed := c.add(a); len(added) != 2 || len(removed) != 0 {
		t.Fatalf("%v %v", added, removed)
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

// Load reports must show the past, as engines' reports do.
func TestLoadLags(t *testing.T) {
	l := &lagging{lag: 2 * time.Second}
	start := time.Now()
	for i, want := range []int{0, 0, 0, 1, 2} {
		got := l.at(start.Add(time.Duration(i)*time.Second), protocol.Load{Running: i})
		if got.Running != want {
			t.Fatalf("second %d shows the load of second %d, want %d", i, got.Running, want)
		}
	}
}

// Tokens must not depend on where a stream starts, or a resumed answer could not be checked.
func TestTokensAreFixed(t *testing.T) {
	whole := Text(1, "p", 0, 10)
	if Text(1, "p", 0, 4)+Text(1, "p", 4, 10) != whole || whole == Text(2, "p", 0, 10) || whole == Text(1, "q", 0, 10) {
		t.Fatal("tokens differ by start, or not by seed or prompt")
	}
	for _, p := range []string{"a", "b", "c"} {
		if n := Length(1, p, 7, true); n < 1 || n > 7 || n != Length(1, p, 7, true) {
			t.Fatalf("length %d", n)
		}
	}
}
