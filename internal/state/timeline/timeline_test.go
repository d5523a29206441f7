package timeline

import (
	"testing"
	"time"
)

func clockAt(micros int64) func() time.Time {
	return func() time.Time { return time.UnixMicro(micros) }
}

// Guards against an event that sorts before its cause when the receiver's clock is behind the sender's.
func TestMergeKeepsCausalOrderDespiteSkew(t *testing.T) {
	sender := NewWithClock(8, "r1", clockAt(9_000_000))
	receiver := NewWithClock(8, "r2", clockAt(1_000_000))
	sender.Add(Event{Kind: KindEnqueue, Request: "q"})
	receiver.Observe(sender.Stamp())
	receiver.Add(Event{Kind: KindGrant, Request: "q"})

	merged := Merge(receiver.Since(0, 10), sender.Since(0, 10))
	if merged[0].Kind != KindEnqueue || merged[1].Kind != KindGrant {
		t.Fatalf("order: %v, %v", merged[0].Kind, merged[1].Kind)
	}
}

// Guards against events that are lost without a gap event when a reader falls behind the ring.
func TestSinceReportsOverwrittenEvents(t *testing.T) {
	ring := NewWithClock(4, "r1", clockAt(1))
	for range 10 {
		ring.Add(Event{Kind: KindRequest})
	}
	events := ring.Since(2, 10)
	if events[0].Kind != KindGap || events[0].Detail != "4 events overwritten" {
		t.Fatalf("first: %+v", events[0])
	}
	if len(events) != 5 || events[1].Seq != 7 || events[4].Seq != 10 {
		t.Fatalf("events: %+v", events)
	}
}

// Guards against readers that skip events when they page through the ring.
func TestSinceHonoursLimit(t *testing.T) {
	ring := New(16, "r1")
	for range 5 {
		ring.Add(Event{Kind: KindRequest})
	}
	first := ring.Since(0, 3)
	rest := ring.Since(first[len(first)-1].Seq, 3)
	if len(first) != 3 || len(rest) != 2 || rest[0].Seq != 4 {
		t.Fatalf("first %d, rest %+v", len(first), rest)
	}
}

// Guards against a router with a wrong clock that moves the clocks of all others.
func TestObserveIgnoresStampsFarAhead(t *testing.T) {
	ring := NewWithClock(8, "r1", clockAt(1_000_000))
	ring.Observe(Stamp(1_000_000) + maxAhead + 1)
	if got := ring.Stamp(); got > 2_000_000 {
		t.Fatalf("stamp %d", got)
	}
}
