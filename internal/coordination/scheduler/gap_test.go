package scheduler

import (
	"testing"

	"pgregory.net/rapid"

	"gooseberrytide.example/gooseberrytide/internal/coordination/message"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
)

// Guards against counters of backlogged teams that drift apart. At any time they may differ by at most (Cmax + F*E)/w,
// which is half of the bound for the service in an interval.
func TestGapOfBackloggedTeamsIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		actions := []func(){
			m.addEnqueue, m.addEnqueue, m.addEnqueue, m.addEnqueue, m.settleOne, m.settleOne, m.progressOne, m.cancelOne,
			m.advanceTime,
		}
		largest, weight := 0.0, 0.5
		for range rapid.IntRange(1, 300).Draw(t, "events") {
			rapid.SampledFrom(actions).Draw(t, "event")()
			m.checkDecisions()
			gap, _ := m.s.gap(0)
			largest = max(largest, gap)
		}
		m.settleAll()
		c := m.s.totals
		bound := (float64(c.maxCost) + float64(c.maxRunning)*float64(c.maxError)) / weight
		if largest > bound {
			t.Fatalf("gap %.0f, bound %.0f (Cmax %d, F %d, E %d)", largest, bound, c.maxCost, c.maxRunning, c.maxError)
		}
	})
}

// settleAll settles all granted attempts at the upper end of the cost range, so that their charge errors are known.
func (m *model) settleAll() {
	for a, ok := m.anyGranted(); ok; a, ok = m.anyGranted() {
		m.markEnded(a)
		m.s.Settle(m.now, message.Settle{Ref: a, Cost: 300, Result: message.SettleOK}, &m.out)
		m.checkDecisions()
	}
}

func (m *model) anyGranted() (ident.AttemptRef, bool) {
	for _, a := range m.order {
		if m.attempts[a] == attemptGranted {
			return a, true
		}
	}
	return ident.AttemptRef{}, false
}

// Guards against a bound that only includes charge errors up to the first progress report. In this test, requests whose
// cost exceeds the estimate after that report hold all slots, and the gap exceeds twice the largest cost.
func TestLateChargeErrorsCountInTheBound(t *testing.T) {
	const slots, hint, cost = 10, 10, 1000
	r := newHarness(1, slots)
	long := enqueueN(r, "long", slots)
	r.enqueue("short", hint)
	r.enqueue("long", hint)
	for _, a := range long {
		r.s.Progress(r.now, message.Progress{Ref: a, Cost: hint}) // the first report shows no error
	}
	for _, a := range long {
		r.s.Progress(r.now, message.Progress{Ref: a, Cost: cost})
	}
	gap, _ := r.s.gap(0)
	if early := 2.0 * cost; gap <= early {
		t.Fatalf("gap %.0f does not exceed the bound %.0f without late errors", gap, early)
	}
	if late := float64(cost + slots*(cost-hint)); gap > late {
		t.Fatalf("gap %.0f exceeds the bound %.0f with late errors", gap, late)
	}
}

// enqueueN enqueues n requests of the team with a hint of 10 and returns their attempts.
func enqueueN(r *harness, team string, n int) []ident.AttemptRef {
	list := make([]ident.AttemptRef, n)
	for i := range list {
		list[i] = r.enqueue(team, 10)
	}
	return list
}
