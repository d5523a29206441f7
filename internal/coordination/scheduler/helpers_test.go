package scheduler

import (
	"fmt"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/coordination/message"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
)

var testShard = ident.ShardID{Pool: ident.ModelPool("m")}

// harness drives a scheduler with explicit time and collects its decisions.
type harness struct {
	s   *Scheduler
	now time.Duration
	out Decisions
	seq uint64
}

func newHarness(backends, slots int) *harness {
	r := &harness{s: New(Options{Shard: testShard, Epoch: 7, Generation: 1}), now: time.Hour}
	r.setBackends(engines(backends, slots)...)
	r.endRampUp()
	return r
}

func engines(n, slots int) []Backend {
	list := make([]Backend, n)
	for i := range list {
		list[i] = Backend{ID: ident.BackendID(fmt.Sprintf("engine-%d", i)), Slots: slots}
	}
	return list
}

func (r *harness) setBackends(list ...Backend) { r.s.SetBackends(r.now, 1, list, 1, &r.out) }

// endRampUp ends the ramp-up of all backend servers.
func (r *harness) endRampUp() {
	for _, b := range r.s.backends {
		b.rampLimit = 0
	}
}

func (r *harness) newRef() ident.AttemptRef { r.seq++; return ref("r1", r.seq, 1) }

func ref(router string, seq uint64, attempt uint32) ident.AttemptRef {
	return ident.AttemptRef{
		Request: ident.RequestRef{Router: ident.RouterID(router), Incarnation: 1, Seq: seq}, Attempt: attempt,
	}
}

func (r *harness) enqueue(team string, hint ident.Cost) ident.AttemptRef {
	a := r.newRef()
	r.sendEnqueue(message.Enqueue{Ref: a, Team: ident.TeamID(team), Hint: hint, DeadlineMS: 60_000})
	return a
}

func (r *harness) sendEnqueue(m message.Enqueue) {
	m.Shard = testShard
	r.s.Enqueue(r.now, m, &r.out)
}

func (r *harness) settle(a ident.AttemptRef, cost ident.Cost) {
	r.s.Settle(r.now, message.Settle{Shard: testShard, Ref: a, Cost: cost, Result: message.SettleOK, RunMS: 100}, &r.out)
}

func (r *harness) refuse(a ident.AttemptRef) {
	r.s.Settle(r.now, message.Settle{Shard: testShard, Ref: a, Result: message.SettleRefused}, &r.out)
}

func (r *harness) tick(d time.Duration) {
	for end := r.now + d; r.now < end; {
		r.now += wheelTick
		r.s.Tick(r.now, &r.out)
	}
}

// grants returns the collected grants and discards all collected decisions.
func (r *harness) grants() []message.Grant {
	list := append([]message.Grant(nil), r.out.Grants...)
	r.out.Reset()
	return list
}
