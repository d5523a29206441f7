package scheduler

import (
	"fmt"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/coordination/message"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
)

var testShard = ident.ShardID{Pool: ident.ModelPool("m")}

// rig drives a scheduler with explicit time and collects its decisions.
type rig struct {
	s   *Scheduler
	now time.Duration
	out Decisions
	seq uint64
}

func newRig(backends, slots int) *rig {
	r := &rig{s: New(Options{Shard: testShard, Epoch: 7, Generation: 1}), now: time.Hour}
	r.setBackends(engines(backends, slots)...)
	r.warm()
	return r
}

func engines(n, slots int) []Backend {
	list := make([]Backend, n)
	for i := range list {
		list[i] = Backend{ID: ident.BackendID(fmt.Sprintf("engine-%d", i)), Slots: slots}
	}
	return list
}

func (r *rig) setBackends(list ...Backend) { r.s.SetBackends(r.now, 1, list, 1, &r.out) }

// warm ends the ramp-up of all backend servers.
func (r *rig) warm() {
	for _, b := range r.s.backends {
		b.ramp = 0
	}
}

func (r *rig) next() ident.AttemptRef { r.seq++; return ref("r1", r.seq, 1) }

func ref(router string, seq uint64, attempt uint32) ident.AttemptRef {
	return ident.AttemptRef{
		Request: ident.RequestRef{Router: ident.RouterID(router), Incarnation: 1, Seq: seq}, Attempt: attempt,
	}
}

func (r *rig) enqueue(team string, hint ident.Cost) ident.AttemptRef {
	a := r.next()
	r.send(message.Enqueue{Ref: a, Team: ident.TeamID(team), Hint: hint, DeadlineMS: 60_000})
	return a
}

func (r *rig) send(m message.Enqueue) {
	m.Shard = testShard
	r.s.Enqueue(r.now, m, &r.out)
}

func (r *rig) settle(a ident.AttemptRef, cost ident.Cost) {
	r.s.Settle(r.now, message.Settle{Shard: testShard, Ref: a, Cost: cost, Result: message.SettleOK, RunMS: 100}, &r.out)
}

func (r *rig) refuse(a ident.AttemptRef) {
	r.s.Settle(r.now, message.Settle{Shard: testShard, Ref: a, Result: message.SettleRefused}, &r.out)
}

func (r *rig) tick(d time.Duration) {
	for end := r.now + d; r.now < end; {
		r.now += wheelTick
		r.s.Tick(r.now, &r.out)
	}
}

// grants returns the grants since the last call and forgets all decisions.
func (r *rig) grants() []message.Grant {
	list := append([]message.Grant(nil), r.out.Grants...)
	r.out.Reset()
	return list
}
