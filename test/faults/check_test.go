package faults

import (
	"context"
	"testing"
	"time"

	"gooseberrytide.example/gooseberrytide/test/fleet"
	"gooseberrytide.example/gooseberrytide/test/load"
)

func emptyHarness() *harness {
	h := &harness{isEntry: map[string]bool{}, outages: map[string][]outage{}, accepted: map[uint64]acceptance{}}
	h.traffic = newTraffic(h)
	return h
}

// Guards against checks that miss violations, with which every scenario would pass: each violation must be reported.
func TestChecksReportEveryViolation(t *testing.T) {
	h := emptyHarness()
	start := time.Now()
	tr := h.traffic
	tr.record("call", load.Answer{RequestID: "1", Outcome: "not-run"}, start, true)
	tr.record("call", load.Answer{RequestID: "2", Outcome: load.OutcomeCut}, start, true)
	tr.record("call", load.Answer{RequestID: "3", Outcome: load.OutcomeCut, Err: context.DeadlineExceeded}, start, true)
	tr.record("call", load.Answer{RequestID: "4", Outcome: "completed"}, start, false)
	tr.record("call", load.Answer{Outcome: load.OutcomeUnreachable}, start, true)
	tr.recordCompleted("alarms", "never-ran")
	h.recordAccepted(5, "one")
	h.recordAccepted(5, "other")
	h.addReversion("r1 went back")
	r := &Result{}
	r.checkKeys(map[string]int{"alarms/once": 1, "alarms/twice": 2}, tr)
	r.checkNotRun(map[string]int{"1": 1, "4": 1}, tr)
	r.addTraffic(h, tr)
	got := Result{
		Requests: r.Requests, ExecutedTwice: r.ExecutedTwice, NotRunButExecuted: r.NotRunButExecuted,
		Lost: r.Lost, Cut: r.Cut, Reverted: r.Reverted,
	}
	if got.Requests != 4 || got.ExecutedTwice != 1 || got.NotRunButExecuted != 1 || got.Lost != 1 || got.Cut != 1 ||
		got.Reverted != 1 {
		t.Errorf("counts: %+v", got)
	}
	// Two keys, one not-run, one lost, one cut, one foreign answer, one reversion and one generation accepted twice.
	if len(r.Failures) != 8 || !r.Failed() {
		t.Errorf("details: %q", r.Failures)
	}
}

// Guards against outages that explain too much: a lost answer is expected only from the killed or paused router, and
// only for requests during the outage.
func TestOnlyKilledAndPausedRoutersExplainLostAnswers(t *testing.T) {
	h := emptyHarness()
	paused := &fleet.Router{ID: "r1", CallerAddress: "a"}
	before := time.Now()
	h.beginOutage(paused)
	h.endOutage(paused)
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
		if got := h.inOutage(c.address, c.from, c.until); got != c.want {
			t.Errorf("%s: in an outage: %t", c.name, got)
		}
	}
}

// Guards against a check that accepts the answer to another caller or to another call.
func TestOwnAnswer(t *testing.T) {
	whole := `{"request_id":"1","key":"alarms/k","echo":"body"}`
	if !isOwnAnswer(whole, "alarms", "k", "body") {
		t.Error("the caller's own answer is rejected")
	}
	if isOwnAnswer(whole, "plans", "k", "body") || isOwnAnswer(whole, "alarms", "k", "other") ||
		isOwnAnswer(whole[:20], "alarms", "k", "body") {
		t.Error("a foreign or incomplete answer is accepted")
	}
}
