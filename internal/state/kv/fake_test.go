package kv

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"
)

func mustWrite(t *testing.T, f *Fake, key string, expect Revision, value string) Revision {
	t.Helper()
	revision, err := f.CompareAndSwap(context.Background(), key, expect, []byte(value))
	if err != nil {
		t.Fatalf("write %s: %v", key, err)
	}
	return revision
}

// Guards against a fake that lets two concurrent writers both succeed.
func TestFakeCompareAndSwap(t *testing.T) {
	f := NewFake()
	first := mustWrite(t, f, "a", 0, "1")
	if _, err := f.CompareAndSwap(context.Background(), "a", 0, []byte("2")); !errors.Is(err, ErrConflict) {
		t.Fatalf("create of an existing key: %v", err)
	}
	second := mustWrite(t, f, "a", first, "2")
	if second <= first {
		t.Fatalf("revision %d after %d", second, first)
	}
	if err := f.Delete(context.Background(), "a", first); !errors.Is(err, ErrConflict) {
		t.Fatalf("delete with an old revision: %v", err)
	}
	if err := f.Delete(context.Background(), "a", second); err != nil {
		t.Fatal(err)
	}
	if third := mustWrite(t, f, "a", 0, "3"); third <= second {
		t.Fatalf("revision %d after a deletion at %d", third, second)
	}
}

// Guards against writes with a lost response that are not applied as the injected fault says.
func TestFakeLostResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := NewFake()
		faults := map[string]Fault{
			"applied": {Kind: FaultLostApplied},
			"late":    {Kind: FaultLostLate, Late: time.Second},
			"manual":  {Kind: FaultLostLate},
			"dropped": {Kind: FaultLostDropped},
		}
		f.Inject(func(op Op, key string) Fault { return faults[key] })
		for key := range faults {
			if _, err := f.CompareAndSwap(t.Context(), key, 0, []byte("x")); !errors.Is(err, ErrUncertain) {
				t.Fatalf("%s: %v", key, err)
			}
		}
		expectKeys := func(want ...string) {
			t.Helper()
			got := f.Keys()
			if len(got) != len(want) {
				t.Fatalf("keys %v, want %v", got, want)
			}
			for i := range want {
				if got[i] != want[i] {
					t.Fatalf("keys %v, want %v", got, want)
				}
			}
		}
		expectKeys("applied")
		time.Sleep(2 * time.Second)
		expectKeys("applied", "late")
		f.ApplyLateWrites()
		expectKeys("applied", "late", "manual")
	})
}

// Guards against a late write that overwrites a newer value because its revision is not compared when it is applied.
func TestFakeLateWriteIsCompared(t *testing.T) {
	f := NewFake()
	revision := mustWrite(t, f, "a", 0, "1")
	f.Inject(func(Op, string) Fault { return Fault{Kind: FaultLostLate} })
	_, _ = f.CompareAndSwap(t.Context(), "a", revision, []byte("late"))
	f.Inject(nil)
	mustWrite(t, f, "a", revision, "2")
	f.ApplyLateWrites()
	if entry, _ := f.Peek("a"); string(entry.Value) != "2" {
		t.Fatalf("value %q", entry.Value)
	}
}

// Guards against a fake that does not produce stale reads, and against watches that keep waiting in an outage.
func TestFakeStaleReadAndWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := NewFake()
		first := mustWrite(t, f, "a", 0, "1")
		second := mustWrite(t, f, "a", first, "2")
		f.Inject(func(op Op, _ string) Fault { return Fault{Stale: 1} })
		if entry, err := f.Get(t.Context(), "a"); err != nil || entry.Revision != first {
			t.Fatalf("stale read: %v %v", entry, err)
		}
		f.Inject(nil)
		failed := make(chan error, 1)
		go func() {
			_, err := f.Watch(t.Context(), "a", second)
			failed <- err
		}()
		synctest.Wait()
		f.SetOutage(true)
		if err := <-failed; !errors.Is(err, ErrUnavailable) {
			t.Fatalf("watch during an outage: %v", err)
		}
	})
}

// Guards against a write that is reported as refused when its context ends although it is still in flight.
func TestFakeDelayBeyondDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := NewFake()
		f.Inject(func(Op, string) Fault { return Fault{Delay: 3 * time.Second} })
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		if _, err := f.CompareAndSwap(ctx, "a", 0, []byte("1")); !errors.Is(err, ErrUncertain) {
			t.Fatal(err)
		}
		time.Sleep(2 * time.Second)
		if _, ok := f.Peek("a"); !ok {
			t.Fatal("the write did not take effect after its delay")
		}
	})
}
