package scheduler

import (
	"strings"
	"testing"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/coordination/message"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
)

// settleGrants settles all collected grants at the given cost, n times, and returns the concatenated names of the teams
// in the order of grants.
func (r *harness) settleGrants(n int, cost ident.Cost) (order string) {
	for range n {
		list := r.grants()
		for _, g := range list {
			order += string(r.s.findAttempt(g.Ref).team.id)
		}
		for _, g := range list {
			r.settle(g.Ref, cost)
		}
	}
	return order
}

func (r *harness) enqueueMany(team string, n int, hint ident.Cost) {
	for range n {
		r.enqueue(team, hint)
	}
}

// Guards against credit for idle time: a team that becomes backlogged again gets an equal share from then on.
func TestReactivatedTeamGetsNoCreditForIdleTime(t *testing.T) {
	r := newHarness(1, 1)
	r.enqueueMany("a", 50, 10)
	r.enqueueMany("b", 50, 10)
	r.settleGrants(60, 10)
	r.enqueueMany("c", 20, 10)
	if got := r.settleGrants(10, 10); strings.Count(got, "c") != 3 || strings.Contains(got, "cc") {
		t.Fatalf("order of grants after team c became backlogged: %s", got)
	}
}

// Guards against a refund that undoes a lift. It happens when a team goes idle while an overcharged request runs,
// becomes backlogged again, and then the request settles.
func TestRefundAfterLiftEarnsNoCredit(t *testing.T) {
	r := newHarness(1, 2)
	overcharged := r.enqueue("a", 100_000)
	r.enqueueMany("b", 200, 1000)
	for range 120 {
		for _, g := range r.grants() {
			if g.Ref != overcharged {
				r.settle(g.Ref, 1000)
			}
		}
	}
	r.enqueue("a", 100_000)
	r.settle(overcharged, 10)
	a, b := r.s.teams["a"], r.s.teams["b"]
	if a.counter < b.counter-1000 {
		t.Fatalf("counter %.0f of the lifted team is more than 1000 below %.0f", a.counter, b.counter)
	}
}

// Guards against a refund that is not limited by a lift because another lift followed.
func TestRefundIsLimitedByEachLift(t *testing.T) {
	r := newHarness(1, 3)
	overcharged := r.enqueue("a", 100_000)
	r.enqueueMany("b", 2, 100)
	r.s.ServiceDelta(r.now, message.ServiceDelta{Shard: shardID(1), Team: "b", Delta: 900_000, Seq: 1})
	r.enqueue("a", 100_000) // lifted to the counter of b
	r.enqueue("b", 100)
	r.settle(r.grants()[1].Ref, 100)
	r.enqueue("a", 100_000) // above the counter of b, not lifted
	before, _ := r.s.Team("a")
	r.settle(overcharged, 10)
	if after, _ := r.s.Team("a"); after.Counter < before.Counter {
		t.Fatalf("counter fell from %.0f to %.0f", before.Counter, after.Counter)
	}
}

// Guards against a refund with a different weight than the charge.
func TestWeightChangeKeepsCharges(t *testing.T) {
	r := newHarness(1, 1)
	r.s.SetTeam("a", TeamLimits{Weight: 10})
	a := r.enqueue("a", 1000)
	r.s.SetTeam("a", TeamLimits{Weight: 0.1})
	r.settle(a, 0)
	if st, _ := r.s.Team("a"); st.Counter != 0 {
		t.Fatalf("counter %.0f after a full refund", st.Counter)
	}
}

// Guards against service that does not follow the weights.
func TestServiceFollowsWeights(t *testing.T) {
	r := newHarness(1, 1)
	r.s.SetTeam("a", TeamLimits{Weight: 3})
	r.enqueueMany("a", 100, 10)
	r.enqueueMany("b", 100, 10)
	r.settleGrants(80, 10)
	a, _ := r.s.Team("a")
	b, _ := r.s.Team("b")
	if a.Served != 600 || b.Served != 200 {
		t.Fatalf("served %d and %d, want 600 and 200", a.Served, b.Served)
	}
}

// Guards against a team's queue that grows without bound, and against requests that wait past their deadline.
func TestQueueIsBoundedInLengthAndTime(t *testing.T) {
	r := newHarness(1, 1)
	r.s.SetTeam("a", TeamLimits{MaxQueued: 2})
	r.enqueueMany("a", 4, 10)
	if len(r.out.Rejects) != 1 || r.out.Rejects[0].Reason != message.RejectQueueFull ||
		r.out.Rejects[0].RetryAfterMS == 0 {
		t.Fatalf("rejects with a full queue: %+v", r.out.Rejects)
	}
	r.enqueue("b", 10)
	r.out.Reset()
	r.tick(61 * time.Second)
	if len(r.out.Rejects)+len(r.out.Grants) != 3 {
		t.Fatalf("%d grants and %d rejects after the deadline", len(r.out.Grants), len(r.out.Rejects))
	}
}

// Guards against a shard's queue that grows without bound, and against rejecting a small team's request when the queue
// is full.
func TestFullShardRejectsTheLargestTeams(t *testing.T) {
	r := newHarness(1, 1)
	r.s.SetTeam("big", TeamLimits{MaxQueued: 2 * maxShardQueued})
	r.enqueueMany("big", maxShardQueued+100, 1)
	r.enqueue("small", 1)
	big, _ := r.s.Team("big")
	small, _ := r.s.Team("small")
	if big.Queued != maxShardQueued || small.Queued != 1 || len(r.out.Rejects) != 99 {
		t.Fatalf("queued %d and %d, rejected %d", big.Queued, small.Queued, len(r.out.Rejects))
	}
}

// Guards against statistics whose size grows with the number of teams, and against totals that omit some teams.
func TestStatsAreBounded(t *testing.T) {
	r := newHarness(2, 1)
	for i := range 30 {
		r.enqueueMany(string(teamName(i)), i+1, 10)
	}
	st := r.s.Stats()
	if len(st.Teams) != StatsTeams || st.Teams[0].Team != "team-29" || st.Teams[0].Queued != 30 {
		t.Fatalf("%d teams, first %+v", len(st.Teams), st.Teams[0])
	}
	if st.Queued != 30*31/2-2 || st.Running != 2 || st.Limit != 2 || st.KnownTeams != 30 || len(st.Backends) != 2 {
		t.Fatalf("totals %+v", st)
	}
}

// Guards against a team without eligible work that blocks the others, and against credit for the time it was skipped.
func TestTeamsWithoutEligibleWorkAreSkipped(t *testing.T) {
	r := newHarness(3, 1)
	// engine-2 stays busy, so that the team "excluded" has a candidate for which it waits.
	r.sendEnqueue(message.Enqueue{Ref: r.newRef(), Team: "holder", Hint: 10, DeadlineMS: 60_000,
		Exclude: []ident.BackendID{"engine-0", "engine-1"}})
	r.s.SetTeam("capped", TeamLimits{MaxInFlight: 1})
	r.enqueueMany("capped", 5, 10)
	for range 3 {
		r.sendEnqueue(message.Enqueue{Ref: r.newRef(), Team: "excluded", Hint: 10, DeadlineMS: 60_000,
			Exclude: []ident.BackendID{"engine-0", "engine-1"}})
	}
	r.enqueueMany("other", 20, 10)
	r.grants()
	for range 10 {
		r.settleTeam("other")
	}
	other, _ := r.s.Team("other")
	capped, _ := r.s.Team("capped")
	excluded, _ := r.s.Team("excluded")
	if other.Served != 100 || capped.Running != 1 || excluded.Queued != 3 {
		t.Fatalf("other %+v, capped %+v, excluded %+v", other, capped, excluded)
	}
	r.setBackends(engines(4, 1)...)
	if excluded, _ = r.s.Team("excluded"); excluded.Running != 1 || excluded.Counter < other.Counter {
		t.Fatalf("after adding a backend server: excluded %+v, other %+v", excluded, other)
	}
}

// settleTeam settles the earliest running request of a team.
func (r *harness) settleTeam(team ident.TeamID) {
	for rq := r.s.sessions[sessionKey{"r1", 1}].first; rq != nil; rq = rq.next {
		if rq.team.id == team && rq.state == stateGranted {
			r.settle(rq.ref(), 10)
			return
		}
	}
}

// Guards against credit for the time that a team waited for a busy backend server while other teams were served.
func TestWaitingForABusyBackendEarnsNoCredit(t *testing.T) {
	r := newHarness(2, 1)
	long := enqueueN(r, "long", 2)
	onOne := lastGrantOn(r.grants(), "engine-1")
	for range 5 {
		r.sendEnqueue(message.Enqueue{Ref: r.newRef(), Team: "picky", Hint: 10, DeadlineMS: 60_000,
			Exclude: []ident.BackendID{"engine-0"}})
	}
	r.enqueueMany("other", 30, 10)
	for _, a := range long {
		if a != onOne {
			r.settle(a, 10)
		}
	}
	for range 20 {
		r.settleTeam("other")
	}
	r.settle(onOne, 10)
	picky, _ := r.s.Team("picky")
	other, _ := r.s.Team("other")
	if picky.Running != 1 || picky.Counter < other.Counter-20 {
		t.Fatalf("picky %+v, other %+v", picky, other)
	}
}

// Guards against idle slots in a shard with more backend servers than a backendMask has bits.
func TestLargeShardsUseAllSlots(t *testing.T) {
	r := newHarness(maskBits+10, 1)
	for range 20 {
		r.sendEnqueue(message.Enqueue{Ref: r.newRef(), Team: "a", Hint: 10, DeadlineMS: 60_000,
			Exclude: []ident.BackendID{"engine-0", "engine-64", "engine-70", "engine-6"}})
	}
	r.enqueueMany("b", 100, 10)
	if g := r.grants(); len(g) != maskBits+10 {
		t.Fatalf("%d grants, want one per backend server", len(g))
	}
	r.sendEnqueue(message.Enqueue{Ref: r.newRef(), Team: "c", Hint: 10, DeadlineMS: 60_000,
		Exclude: []ident.BackendID{"engine-0"}})
	r.setBackends(engines(maskBits+10, 2)...)
	if c, _ := r.s.Team("c"); c.Running != 1 {
		t.Fatalf("team %+v, want one running request", c)
	}
}

// Guards against a request that loses its position in its team's queue when it is enqueued again at another dispatcher.
func TestOrderInsideATeamIsByArrival(t *testing.T) {
	r := newHarness(1, 1)
	r.enqueueMany("a", 2, 10)
	old := r.newRef()
	r.sendEnqueue(message.Enqueue{Ref: old, Team: "a", Hint: 10, DeadlineMS: 60_000, WaitedMS: 500})
	first := r.grants()
	r.settle(first[0].Ref, 10)
	if g := r.grants(); len(g) != 1 || g[0].Ref != old {
		t.Fatalf("granted %+v, want the request that waited longest", g)
	}
}

// Guards against decisions that depend on anything other than the events.
func TestDecisionsAreDeterministic(t *testing.T) {
	run := func() []float64 {
		o := clusterOptions()
		o.duration = time.Minute
		s := newSim(o)
		s.run(0, largeTeams...)
		return s.delivered()
	}
	first := run()
	for range 3 {
		for i, w := range run() {
			if w != first[i] {
				t.Fatalf("team %d received %v in the first run and %v in a later one", i, first[i], w)
			}
		}
	}
}
