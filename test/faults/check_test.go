package faults

import (
	"context"
	"testing"
	"time"

	"gooseberrytide.example/gooseberrytide/test/fleet"
	"gooseberrytide.example/gooseberrytide/test/load"
)

func emptyWorld() *world {
	w := &world{offered: map[string]bool{}, excused: map[string][]span{}, accepted: map[uint64]acceptance{}}
	w.traffic = newTraffic(w)
	return w
}

// A check that finds nothing would let every scenario pass: each broken promise must be counted.
func TestChecksFindBrokenPromises(t *testing.T) {
	w := emptyWorld()
	start := time.Now()
	tr := w.traffic
	tr.record("call", load.Answer{RequestID: "1", Outcome: "not-run"}, start, true)
	tr.record("call", load.Answer{RequestID: "2", Outcome: load.OutcomeCut}, start, true)
	tr.record("call", load.Answer{RequestID: "3", Outcome: load.OutcomeCut, Err: context.DeadlineExceeded}, start, true)
	tr.record("call", load.Answer{RequestID: "4", Outcome: "completed"}, start, false)
	tr.record("call", load.Answer{Outcome: load.OutcomeUnreachable}, start, true)
	tr.noteCompleted("alarms", "never-ran")
	w.accept(5, "one")
	w.accept(5, "other")
	w.revert("r1 went back")
	r := &Result{}
	r.checkKeys(map[string]int{"alarms/once": 1, "alarms/twice": 2}, tr)
	r.checkNotRun(map[string]int{"1": 1, "4": 1}, tr)
	r.addTraffic(w, tr)
	got := Result{
		Requests: r.Requests, ExecutedTwice: r.ExecutedTwice, NotRunButExecuted: r.NotRunButExecuted,
		Lost: r.Lost, Cut: r.Cut, Reverted: r.Reverted,
	}
	if got.Requests != 4 || got.ExecutedTwice != 1 || got.NotRunButExecuted != 1 || got.Lost != 1 || got.Cut != 1 || got.Reverted != 1 {
		t.Errorf("counts: %+v", got)
	}
	// Two keys, one not-run, one lost, one cut, one wrong answer, one reversion and one generation accepted twice.
	if len(r.Details) != 8 || !r.Failed() {
		t.Errorf("details: %q", r.Details)
	}
}

// Only the router that was killed or paused excuses a lost answer, and only while that lasted.
func TestOnlyKilledAndPausedRoutersExcuse(t *testing.T) {
	w := emptyWorld()
	paused := &fleet.Router{ID: "r1", Caller: "a"}
	before := time.Now()
	w.excuse(paused)
	w.endExcuse(paused)
	after := time.Now().Add(time.Nanosecond)
	for _, c := range []struct {
		name, address string
		from, until   time.Time
		want          bool
	}{
		{"during the pause", "a", before.Add(-time.Second), after, true},
		{"before the pause", "a", before.Add(-time.Second), before.Add(-time.Millisecond), false},
		{"after the pause", "a", after.Add(time.Second), after.Add(2 * time.Second), false},
		{"another router", "b", before, after, false},
	} {
		if got := w.isExcused(c.address, c.from, c.until); got != c.want {
			t.Errorf("%s: excused %t", c.name, got)
		}
	}
}

// An answer of another caller or of another call must be seen.
func TestOwnAnswer(t *testing.T) {
	whole := `{"request_id":"1","key":"alarms/k","echo":"body"}`
	if !ownAnswer(whole, "alarms", "k", "body") {
		t.Error("the own answer is refused")
	}
	if ownAnswer(whole, "plans", "k", "body") || ownAnswer(whole, "alarms", "k", "other") || ownAnswer(whole[:20], "alarms", "k", "body") {
		t.Error("an answer that is not the caller's own is taken")
	}
}
