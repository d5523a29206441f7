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

// attemptState is what the test expects of an attempt.
type attemptState int

const (
	waiting attemptState = iota
	granted
	over
)

// model drives a scheduler with random events and keeps the state that each attempt must have.
type model struct {
	*rig
	t        *rapid.T
	attempts map[ident.AttemptRef]attemptState
	order    []ident.AttemptRef
	enqueued map[ident.AttemptRef]message.Enqueue
	endedAt  map[ident.AttemptRef]time.Duration
	// incarnation is that of the second router.
	incarnation ident.Incarnation
}

func (m *model) end(a ident.AttemptRef) {
	m.attempts[a] = over
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
	m.rig = newRig(rapid.IntRange(1, 4).Draw(t, "backends"), rapid.IntRange(1, 4).Draw(t, "slots"))
	for i, w := range []float64{1, 1, 2, 0.5} {
		limits := TeamLimits{Weight: w, MaxQueued: 10, MaxInFlight: rapid.IntRange(0, 3).Draw(t, "cap")}
		m.s.SetTeam(teamName(i), limits)
	}
	return m
}

func teamName(i int) ident.TeamID { return ident.TeamID(fmt.Sprint("team-", i)) }

// pick returns a known attempt in one of the states, or false.
func (m *model) pick(states ...attemptState) (ident.AttemptRef, bool) {
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
	m.attempts[e.Ref] = waiting
	m.order = append(m.order, e.Ref)
	m.enqueued[e.Ref] = e
	m.send(e)
}

func (m *model) settleOne() {
	a, ok := m.pick(granted)
	if !ok {
		return
	}
	results := []message.SettleResult{message.SettleOK, message.SettleOK, message.SettleOK, message.SettleFailed,
		message.SettleRefused, message.SettleUnused}
	m.end(a)
	m.s.Settle(m.now, message.Settle{
		Ref: a, Cost: ident.Cost(rapid.IntRange(0, 300).Draw(m.t, "cost")), RunMS: 10,
		Result: rapid.SampledFrom(results).Draw(m.t, "result"),
	}, &m.out)
}

// settleWaiting ends an attempt that ran under the grant of a former dispatcher.
func (m *model) settleWaiting() {
	if a, ok := m.pick(waiting); ok {
		m.end(a)
		m.s.Settle(m.now, message.Settle{Ref: a, Cost: 50, Result: message.SettleOK}, &m.out)
	}
}

func (m *model) cancelOne() {
	if a, ok := m.pick(waiting, granted); ok {
		m.end(a)
		m.s.Cancel(m.now, message.Cancel{Ref: a}, &m.out)
	}
}

func (m *model) progressOne() {
	if a, ok := m.pick(granted, over); ok {
		m.s.Progress(m.now, message.Progress{Ref: a, Cost: ident.Cost(rapid.IntRange(0, 200).Draw(m.t, "cost"))})
	}
}

// nextRef names a request of one of two routers, of which the second restarts now and then.
func (m *model) nextRef() ident.AttemptRef {
	a := m.next()
	if rapid.Bool().Draw(m.t, "second router") {
		a.Request.Router, a.Request.Incarnation = "r2", m.incarnation
	}
	return a
}

func (m *model) restartRouter() {
	m.s.RouterGone(m.now, "r2", m.incarnation, &m.out)
	for _, a := range m.order {
		if a.Request.Router == "r2" {
			m.attempts[a] = over
			m.endedAt[a] = m.now + goneRetention
		}
	}
	m.incarnation++
}

// reconfigure lists a random part of the backend servers, some of them draining.
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

// repeatOne sends a late duplicate. One that comes after the retention of ended attempts is a new attempt.
func (m *model) repeatOne() {
	a, ok := m.pick(waiting, granted, over)
	if !ok {
		return
	}
	if m.attempts[a] == over && m.now >= m.endedAt[a]+settledRetention {
		m.attempts[a] = waiting
	}
	if r := m.s.find(a); m.attempts[a] == granted && r != nil && !r.backend.accepting() {
		m.attempts[a] = waiting
	}
	m.send(m.enqueued[a])
}

// lateSettle repeats the end of an attempt. One that was forgotten is remembered anew.
func (m *model) lateSettle() {
	if a, ok := m.pick(over); ok {
		if m.now >= m.endedAt[a]+settledRetention {
			m.end(a)
		}
		m.s.Settle(m.now, message.Settle{Ref: a, Cost: 50, Result: message.SettleOK}, &m.out)
	}
}

func (m *model) load() {
	m.s.Load(m.now, LoadReport{
		Backend: ident.BackendID(fmt.Sprint("engine-", rapid.IntRange(0, 4).Draw(m.t, "backend"))),
		Slots:   rapid.IntRange(-1, 20).Draw(m.t, "slots"),
		Running: rapid.IntRange(-1, 20).Draw(m.t, "running"),
		Waiting: rapid.IntRange(-1, 5).Draw(m.t, "waiting"),
	}, &m.out)
}

func (m *model) pass() {
	for range rapid.IntRange(1, 30).Draw(m.t, "ticks") {
		m.tick(wheelTick)
		m.collect()
	}
}

// collect checks the decisions against the expected states.
func (m *model) collect() {
	for _, g := range m.out.Grants {
		if st, ok := m.attempts[g.Ref]; !ok || st == over {
			m.t.Fatalf("grant of %v, which is over or unknown", g.Ref)
		}
		if b := m.s.byID[g.Backend]; b == nil || !b.accepting() {
			m.t.Fatalf("grant of %v on %s, which takes no work", g.Ref, g.Backend)
		}
		m.attempts[g.Ref] = granted
	}
	for _, r := range m.out.Rejects {
		if m.attempts[r.Ref] == granted {
			m.t.Fatalf("reject of the granted attempt %v", r.Ref)
		}
		if m.attempts[r.Ref] != over {
			m.end(r.Ref)
		}
	}
	m.out.Reset()
}

// check verifies that nothing is lost or doubled, and that no capacity idles while eligible work waits.
func (m *model) check() {
	m.collect()
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
		r := m.s.find(a)
		if st == waiting && (r == nil || r.state != stateQueued || r.queuePos == notInHeap) {
			m.t.Fatalf("waiting attempt %v is not queued", a)
		}
		if st == over && r != nil && r.state != stateLost {
			m.t.Fatalf("attempt %v is over but still known", a)
		}
	}
}

func (m *model) checkTeam(t *team) {
	if math.IsNaN(t.counter) || math.IsInf(t.counter, 0) {
		m.t.Fatalf("team %s: counter %v", t.id, t.counter)
	}
	active := t.queued() > 0 && !t.capped()
	if active != (t.heapPos != notInHeap) {
		m.t.Fatalf("team %s: eligible %v, in fair order %v", t.id, active, t.heapPos != notInHeap)
	}
	if active && (*m.s.heapOf(t))[t.heapPos] != entryOf(t) {
		m.t.Fatalf("team %s: order entry is out of date", t.id)
	}
	if !active {
		return
	}
	for _, r := range append(append(requestHeap(nil), t.free...), t.bound...) {
		for _, b := range m.s.backends {
			if b.running < b.limitAt(m.now) && !r.excluded(b.ID) {
				m.t.Fatalf("%v waits while %s is available", r.ref(), b.ID)
			}
		}
	}
}

// Guards against lost or doubled entries, slot leaks and idle capacity under any order of events, late and duplicate
// messages included.
func TestNothingIsLostAndNoCapacityIdles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		actions := []func(){
			m.addEnqueue, m.addEnqueue, m.addEnqueue, m.settleOne, m.settleOne, m.cancelOne, m.progressOne,
			m.repeatOne, m.lateSettle, m.load, m.pass, m.settleWaiting, m.restartRouter, m.reconfigure,
		}
		for range rapid.IntRange(1, 150).Draw(t, "events") {
			rapid.SampledFrom(actions).Draw(t, "event")()
			// Limits change with time alone; the tick stands for the periodic call of the dispatcher.
			m.s.Tick(m.now, &m.out)
			m.check()
		}
	})
}
