package scheduler

import (
	"testing"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/coordination/message"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
)

// Guards against a second grant on another engine, or a missing answer, when an Enqueue is repeated.
func TestRepeatedEnqueueGetsTheSameAnswer(t *testing.T) {
	r := newHarness(2, 1)
	m := message.Enqueue{Ref: r.newRef(), Team: "a", Hint: 10, DeadlineMS: 60_000}
	r.sendEnqueue(m)
	first := r.grants()
	r.sendEnqueue(m)
	if again := r.grants(); len(again) != 1 || again[0] != first[0] {
		t.Fatalf("repeated Enqueue answered %+v, first %+v", again, first)
	}
	r.tick(GrantTimeout + wheelTick)
	r.sendEnqueue(m)
	if again := r.grants(); len(again) != 1 || again[0] != first[0] || r.s.totals.running != 1 {
		t.Fatalf("Enqueue after the timeout answered %+v, running %d", again, r.s.totals.running)
	}
	r.settle(m.Ref, 10)
	r.sendEnqueue(m)
	if late := r.grants(); len(late) != 0 {
		t.Fatalf("a settled attempt was granted again: %+v", late)
	}
	m.DeadlineMS, m.Ref = 0, r.newRef()
	r.sendEnqueue(m)
	r.sendEnqueue(m)
	if len(r.out.Rejects) != 2 || r.out.Rejects[0].Reason != r.out.Rejects[1].Reason {
		t.Fatalf("repeated Enqueue of a rejected attempt answered %+v", r.out.Rejects)
	}
}

// Guards against repeating a grant after its backend server started to drain.
func TestRepeatedEnqueueMovesOffADrainingBackend(t *testing.T) {
	r := newHarness(2, 1)
	m := message.Enqueue{Ref: r.newRef(), Team: "a", Hint: 10, DeadlineMS: 60_000}
	r.sendEnqueue(m)
	list := engines(2, 1)
	for i := range list {
		list[i].Draining = list[i].ID == r.out.Grants[0].Backend
	}
	r.setBackends(list...)
	r.out.Reset()
	r.sendEnqueue(m)
	if g := r.grants(); len(g) != 1 || r.s.byID[g[0].Backend].Draining || r.s.totals.running != 1 {
		t.Fatalf("granted %+v, running %d", g, r.s.totals.running)
	}
}

// Guards against an old attempt that keeps a slot or a queue position next to a newer attempt of the same request, and
// against effects of its late messages.
func TestHigherAttemptReplacesOlderOne(t *testing.T) {
	r := newHarness(1, 1)
	old := message.Enqueue{Ref: r.newRef(), Team: "a", Hint: 10, DeadlineMS: 60_000}
	retry := old
	retry.Ref.Attempt = 2
	r.sendEnqueue(old)
	r.sendEnqueue(retry)
	if g := r.grants(); len(g) != 2 || g[1].Ref != retry.Ref || r.s.totals.running != 1 {
		t.Fatalf("granted %+v, running %d", g, r.s.totals.running)
	}
	r.sendEnqueue(old)
	r.settle(old.Ref, 500)
	if a, _ := r.s.Team("a"); a.Running != 1 || a.Served != 0 || len(r.grants()) != 0 {
		t.Fatalf("late messages of the old attempt changed %+v", a)
	}
}

// Guards against queueing an Enqueue that arrives after its Cancel, and against a cancelled grant that stays charged.
func TestCancelWithdrawsAndBlocksALateEnqueue(t *testing.T) {
	r := newHarness(1, 1)
	lateEnqueue := message.Enqueue{Ref: r.newRef(), Team: "a", Hint: 10, DeadlineMS: 60_000}
	r.s.Cancel(r.now, message.Cancel{Ref: lateEnqueue.Ref}, &r.out)
	r.sendEnqueue(lateEnqueue)
	granted, queued := r.enqueue("a", 10), r.enqueue("b", 10)
	r.grants()
	r.s.Cancel(r.now, message.Cancel{Ref: granted}, &r.out)
	g := r.grants()
	a, _ := r.s.Team("a")
	if len(g) != 1 || g[0].Ref != queued || a.Counter != 0 {
		t.Fatalf("after the cancel: granted %+v, counter %.0f", g, a.Counter)
	}
}

// Guards against a charge that is lost when an ingress is unreachable for longer than the grant timeout.
func TestLateReportsOfALostGrantAreCharged(t *testing.T) {
	r := newHarness(1, 1)
	a := r.enqueue("a", 10)
	r.tick(GrantTimeout + wheelTick)
	if st, _ := r.s.Team("a"); st.Running != 0 || st.Counter != 0 {
		t.Fatalf("team after the grant expired: %+v", st)
	}
	r.s.Progress(r.now, message.Progress{Ref: a, Cost: 30})
	if st, _ := r.s.Team("a"); st.Running != 1 || st.Counter != 30 {
		t.Fatalf("team after late progress: %+v", st)
	}
	r.tick(GrantTimeout + wheelTick)
	r.settle(a, 70)
	if st, _ := r.s.Team("a"); st.Running != 0 || st.Counter != 70 || st.Served != 70 {
		t.Fatalf("team after late settlement: %+v", st)
	}
}

// Guards against slots and queue positions that stay occupied by a dead ingress process, and against effects of its
// late messages.
func TestGoneRouterFreesItsSlots(t *testing.T) {
	r := newHarness(1, 1)
	r.enqueueMany("a", 5, 10)
	m := message.Enqueue{Ref: ref("r2", 1, 1), Team: "b", Hint: 10, DeadlineMS: 60_000}
	r.sendEnqueue(m)
	r.grants()
	r.s.RouterGone(r.now, "r1", 1, &r.out)
	if g := r.grants(); len(g) != 1 || g[0].Ref != m.Ref || r.s.totals.queued != 0 {
		t.Fatalf("granted %+v, queued %d", g, r.s.totals.queued)
	}
	r.enqueue("a", 10)
	if r.s.totals.queued != 0 {
		t.Fatal("a request of the dead process was queued")
	}
}

// newSuccessor returns a harness for a new dispatcher that takes over the shard of one engine. Its clock does not
// continue that of the former dispatcher.
func newSuccessor(slots int) *harness {
	r := newHarness(1, slots)
	r.now = 50 * time.Hour
	r.s = New(Options{Shard: testShard, Epoch: 8, Generation: 1})
	r.setBackends(engines(1, slots)...)
	r.endRampUp()
	return r
}

func handedOverEnqueue(seq uint64, team ident.TeamID, lag int64) message.Enqueue {
	return message.Enqueue{
		Ref: ref("r1", seq, 1), Team: team, Hint: 100, DeadlineMS: 60_000, Lag: lag, WaitedMS: uint32(10_000 - seq),
	}
}

// Guards against a handover after which a team's lag is lost, or after which the team that was next is lifted.
func TestLagSurvivesAHandover(t *testing.T) {
	r := newSuccessor(1)
	for i := range uint64(10) {
		r.sendEnqueue(handedOverEnqueue(i, "ahead", 500))
	}
	for i := range uint64(10) {
		r.sendEnqueue(handedOverEnqueue(100+i, "behind", 0))
	}
	r.settle(r.grants()[0].Ref, 100) // the first Enqueue was granted before the others arrived
	order := r.settleGrants(6, 100)  // the counters start at 500/2 + 100 and 0
	if order != "behindbehindbehindbehindaheadbehind" {
		t.Fatalf("order of grants after the handover: %s", order)
	}
}

// Guards against a handed-over team that goes idle and keeps its old counter when it becomes backlogged again.
func TestHandoverSkipsOnlyOneLift(t *testing.T) {
	r := newSuccessor(1)
	r.enqueueMany("a", 50, 100)
	r.sendEnqueue(handedOverEnqueue(1000, "b", 0))
	r.s.Cancel(r.now, message.Cancel{Ref: ref("r1", 1000, 1)}, &r.out)
	r.settleGrants(20, 100)
	r.sendEnqueue(handedOverEnqueue(1001, "b", 0))
	if st, _ := r.s.Team("b"); st.Counter < 1900 {
		t.Fatalf("counter %.0f after the team became backlogged again", st.Counter)
	}
}

// Guards against a new dispatcher that grants slots which running attempts still hold, or that charges these attempts
// again although the lag of their team includes their estimates.
func TestRunningAttemptsAreAdopted(t *testing.T) {
	r := newSuccessor(4)
	for range 2 { // Running messages may be repeated
		for i := range uint64(4) {
			r.s.Running(r.now, message.Running{Ref: ref("r1", i, 1), Team: "a", Backend: "engine-0", Cost: 200})
		}
	}
	r.sendEnqueue(handedOverEnqueue(100, "b", 0))
	if g := r.grants(); len(g) != 0 || r.s.totals.running != 4 {
		t.Fatalf("granted %+v with %d running attempts", g, r.s.totals.running)
	}
	r.settle(ref("r1", 0, 1), 300)
	a, _ := r.s.Team("a")
	if g := r.grants(); len(g) != 1 || a.Served != 100 || a.Counter != 0 {
		t.Fatalf("granted %+v, team %+v", g, a)
	}
}
