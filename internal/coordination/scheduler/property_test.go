package scheduler

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gooseberrytide.example/gooseberrytide/internal/coordination/message"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
)

// attemptState is the expected state of an attempt.
type attemptState int

const (
	attemptWaiting attemptState = iota
	attemptGranted
	attemptEnded
)

// model drives a scheduler with random events and records the state that each attempt must have.
type model struct {
	*harness
	t        *rapid.T
	attempts map[ident.AttemptRef]attemptState
	order    []ident.AttemptRef
	enqueued map[ident.AttemptRef]message.Enqueue
	endedAt  map[ident.AttemptRef]time.Duration
	// incarnation is the current incarnation of the second router.
	incarnation ident.Incarnation
}

func (m *model) markEnded(a ident.AttemptRef) {
	m.attempts[a] = attemptEnded
	m.endedAt[a] = m.now
}

func newModel(t *rapid.T) *model {
	m := &model{
		t:        t,
		attempts: map[ident.AttemptRef]attemptState{},
		enqueued: map[ident.AttemptRef]message.Enqueue{},
		endedAt:  map[ident.AttemptRef]time.Duration{},

		incarnation: 1,
	}
	m.harness = newHarness(rapid.IntRange(1, 4).Draw(t, "backends"), rapid.IntRange(1, 4).Draw(t, "slots"))
	for i, w := range []float64{1, 1, 2, 0.5} {
		limits := TeamLimits{Weight: w, MaxQueued: 10, MaxInFlight: rapid.IntRange(0, 3).Draw(t, "cap")}
		m.s.SetTeam(teamName(i), limits)
	}
	return m
}

func teamName(i int) ident.TeamID { return ident.TeamID(fmt.Sprint("team-", i)) }

// pickAttempt returns a random attempt in one of the states, or false if there is none.
func (m *model) pickAttempt(states ...attemptState) (ident.AttemptRef, bool) {
	var list []ident.AttemptRef
	for _, a := range m.order {
		for _, st := range states {
			if m.attempts[a] == st {
				list = append(list, a)
			}
		}
	}
	if len(list) == 0 {
		return ident.AttemptRef{}, false
	}
	return rapid.SampledFrom(list).Draw(m.t, "attempt"), true
}

func (m *model) addEnqueue() {
	e := message.Enqueue{
		Ref:        m.nextRef(),
		Team:       teamName(rapid.IntRange(0, 3).Draw(m.t, "team")),
		Hint:       ident.Cost(rapid.IntRange(0, 100).Draw(m.t, "hint")),
		DeadlineMS: uint32(rapid.IntRange(1, 20_000).Draw(m.t, "deadline")),
		WaitedMS:   uint32(rapid.IntRange(0, 50).Draw(m.t, "waited")),
	}
	for i := range rapid.IntRange(0, 2).Draw(m.t, "excludes") {
		e.Exclude = append(e.Exclude, ident.BackendID(fmt.Sprint("engine-", i)))
	}
	m.attempts[e.Ref] = attemptWaiting
	m.order = append(m.order, e.Ref)
	m.enqueued[e.Ref] = e
	m.sendEnqueue(e)
}

func (m *model) settleOne() {
	a, ok := m.pickAttempt(attemptGranted)
	if !ok {
		return
	}
	results := []message.SettleResult{message.SettleOK, message.SettleOK, message.SettleOK, message.SettleFailed,
		message.SettleRefused, message.SettleUnused}
	m.markEnded(a)
	m.s.Settle(m.now, message.Settle{
		Ref: a, Cost: ident.Cost(rapid.IntRange(0, 300).Draw(m.t, "cost")), RunMS: 10,
		Result: rapid.SampledFrom(results).Draw(m.t, "result"),
	}, &m.out)
}

// settleWaiting settles a queued attempt, as if it had run under the grant of a former dispatcher.
func (m *model) settleWaiting() {
	if a, ok := m.pickAttempt(attemptWaiting); ok {
		m.markEnded(a)
		m.s.Settle(m.now, message.Settle{Ref: a, Cost: 50, Result: message.SettleOK}, &m.out)
	}
}

func (m *model) cancelOne() {
	if a, ok := m.pickAttempt(attemptWaiting, attemptGranted); ok {
		m.markEnded(a)
		m.s.Cancel(m.now, message.Cancel{Ref: a}, &m.out)
	}
}

func (m *model) progressOne() {
	if a, ok := m.pickAttempt(attemptGranted, attemptEnded); ok {
		m.s.Progress(m.now, message.Progress{Ref: a, Cost: ident.Cost(rapid.IntRange(0, 200).Draw(m.t, "cost"))})
	}
}

// nextRef returns a new attempt from one of two routers, the second of which restarts from time to time.
func (m *model) nextRef() ident.AttemptRef {
	a := m.newRef()
	if rapid.Bool().Draw(m.t, "second router") {
		a.Request.Router, a.Request.Incarnation = "r2", m.incarnation
	}
	return a
}

func (m *model) restartRouter() {
	m.s.RouterGone(m.now, "r2", m.incarnation, &m.out)
	for _, a := range m.order {
		if a.Request.Router == "r2" {
			m.attempts[a] = attemptEnded
			m.endedAt[a] = m.now + tombstoneRetention
		}
	}
	m.incarnation++
}

// reconfigure configures a random subset of the backend servers, some of them draining.
func (m *model) reconfigure() {
	var list []Backend
	for _, b := range engines(4, 2) {
		if rapid.IntRange(0, 3).Draw(m.t, "listed") > 0 {
			b.Draining = rapid.IntRange(0, 3).Draw(m.t, "draining") == 0
			list = append(list, b)
		}
	}
	m.setBackends(list...)
}

// repeatOne sends a duplicate Enqueue. If the outcome of the attempt is no longer stored, the duplicate counts as a new
// attempt.
func (m *model) repeatOne() {
	a, ok := m.pickAttempt(attemptWaiting, attemptGranted, attemptEnded)
	if !ok {
		return
	}
	if m.attempts[a] == attemptEnded && m.now >= m.endedAt[a]+outcomeRetention {
		m.attempts[a] = attemptWaiting
	}
	if r := m.s.findAttempt(a); m.attempts[a] == attemptGranted && r != nil && !r.backend.accepting() {
		m.attempts[a] = attemptWaiting
	}
	m.sendEnqueue(m.enqueued[a])
}

// lateSettle sends another Settle for an attempt that has ended. If its outcome is no longer stored, the message stores
// it again.
func (m *model) lateSettle() {
	if a, ok := m.pickAttempt(attemptEnded); ok {
		if m.now >= m.endedAt[a]+outcomeRetention {
			m.markEnded(a)
		}
		m.s.Settle(m.now, message.Settle{Ref: a, Cost: 50, Result: message.SettleOK}, &m.out)
	}
}

func (m *model) reportLoadOne() {
	m.s.ReportLoad(m.now, LoadReport{
		Backend: ident.BackendID(fmt.Sprint("engine-", rapid.IntRange(0, 4).Draw(m.t, "backend"))),
		Slots:   rapid.IntRange(-1, 20).Draw(m.t, "slots"),
		Running: rapid.IntRange(-1, 20).Draw(m.t, "running"),
		Waiting: rapid.IntRange(-1, 5).Draw(m.t, "waiting"),
	}, &m.out)
}

func (m *model) advanceTime() {
	for range rapid.IntRange(1, 30).Draw(m.t, "ticks") {
		m.tick(wheelTick)
		m.checkDecisions()
	}
}

// checkDecisions checks the collected decisions against the expected states, updates the states and discards the
// decisions.
func (m *model) checkDecisions() {
	for _, g := range m.out.Grants {
		if st, ok := m.attempts[g.Ref]; !ok || st == attemptEnded {
			m.t.Fatalf("grant of %v, which has ended or is unknown", g.Ref)
		}
		if b := m.s.byID[g.Backend]; b == nil || !b.accepting() {
			m.t.Fatalf("grant of %v on %s, which accepts no work", g.Ref, g.Backend)
		}
		m.attempts[g.Ref] = attemptGranted
	}
	for _, r := range m.out.Rejects {
		if m.attempts[r.Ref] == attemptGranted {
			m.t.Fatalf("reject of the granted attempt %v", r.Ref)
		}
		if m.attempts[r.Ref] != attemptEnded {
			m.markEnded(r.Ref)
		}
	}
	m.out.Reset()
}

// checkState verifies that no request is lost or duplicated, and that no capacity is idle while eligible work waits.
func (m *model) checkState() {
	m.checkDecisions()
	queued, running := 0, 0
	for i := range 4 {
		t := m.s.teams[teamName(i)]
		queued += t.queued()
		running += t.running
		m.checkTeam(t)
	}
	onBackends := 0
	for _, b := range m.s.byID {
		onBackends += b.running
	}
	if queued != m.s.totals.queued || running != m.s.totals.running || running != onBackends {
		m.t.Fatalf("queued %d of %d, running %d of %d, on backends %d",
			queued, m.s.totals.queued, running, m.s.totals.running, onBackends)
	}
	for a, st := range m.attempts {
		r := m.s.findAttempt(a)
		if st == attemptWaiting && (r == nil || r.state != stateQueued || r.queuePos == notInHeap) {
			m.t.Fatalf("waiting attempt %v is not queued", a)
		}
		if st == attemptEnded && r != nil && r.state != stateExpired {
			m.t.Fatalf("attempt %v has ended but the scheduler still holds it", a)
		}
	}
}

func (m *model) checkTeam(t *team) {
	if math.IsNaN(t.counter) || math.IsInf(t.counter, 0) {
		m.t.Fatalf("team %s: counter %v", t.id, t.counter)
	}
	active := t.queued() > 0 && !t.capped()
	if active != (t.heapPos != notInHeap) {
		m.t.Fatalf("team %s: eligible %v, in a heap %v", t.id, active, t.heapPos != notInHeap)
	}
	if active && (*m.s.heapOf(t))[t.heapPos] != newTeamEntry(t) {
		m.t.Fatalf("team %s: heap entry is out of date", t.id)
	}
	if !active {
		return
	}
	for _, r := range append(append(requestHeap(nil), t.unrestricted...), t.restricted...) {
		for _, b := range m.s.backends {
			if b.running < b.limitAt(m.now) && !r.excluded(b.ID) {
				m.t.Fatalf("%v waits while %s is available", r.ref(), b.ID)
			}
		}
	}
}

// Guards against lost or duplicated requests, slot leaks and idle capacity for any order of events, including late and
// duplicate messages.
func TestNoRequestIsLostAndNoCapacityIsIdle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		actions := []func(){
			m.addEnqueue, m.addEnqueue, m.addEnqueue, m.settleOne, m.settleOne, m.cancelOne, m.progressOne,
			m.repeatOne, m.lateSettle, m.reportLoadOne, m.advanceTime, m.settleWaiting, m.restartRouter, m.reconfigure,
		}
		for range rapid.IntRange(1, 150).Draw(t, "events") {
			rapid.SampledFrom(actions).Draw(t, "event")()
			// Limits can change with time alone; the dispatcher calls Tick periodically.
			m.s.Tick(m.now, &m.out)
			m.checkState()
		}
	})
}
