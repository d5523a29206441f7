package scheduler

import (
	"testing"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/coordination/message"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
)

// Guards against memory that grows without bound with the number of routers, requests and prompts.
func TestMemoryIsBounded(t *testing.T) {
	r := newHarness(1, 1)
	for i := range uint64(maxOutcomes + 100) {
		r.s.Cancel(r.now, message.Cancel{Ref: ref("old", i, 1)}, &r.out)
	}
	if n := r.s.outcomes.size(); n != maxOutcomes {
		t.Errorf("%d outcomes kept", n)
	}
	for i := range uint64(maxPrefixEntries + 100) {
		r.s.cache.add(i, r.s.backends[0], r.now)
	}
	if n := len(r.s.cache.byHash); n != maxPrefixEntries || len(r.s.cache.entries) != n {
		t.Errorf("%d prefixes kept", n)
	}
	r.enqueue("a", 10) // its grant expires
	r.tick(GrantTimeout + expiredGrantRetention + outcomeRetention + time.Second)
	if len(r.s.sessions) != 0 || r.s.outcomes.size() != 0 {
		t.Errorf("%d sessions and %d outcomes kept after their retention", len(r.s.sessions), r.s.outcomes.size())
	}
}

// Guards against a duplicate Enqueue that runs an attempt again: after its expired grant was dropped, and after a late
// Settle of an older attempt.
func TestOldAttemptsStayEnded(t *testing.T) {
	r := newHarness(1, 1)
	m := message.Enqueue{Ref: r.newRef(), Team: "a", Hint: 10, DeadlineMS: 60_000}
	r.sendEnqueue(m)
	r.tick(GrantTimeout + expiredGrantRetention + time.Second)
	second := message.Enqueue{Ref: ref("r1", 50, 2), Team: "a", Hint: 10, DeadlineMS: 60_000}
	r.settle(second.Ref, 10)
	r.settle(ref("r1", 50, 1), 10)
	r.out.Reset()
	r.sendEnqueue(m)
	r.sendEnqueue(second)
	if g := r.grants(); len(g) != 0 {
		t.Fatalf("granted again: %+v", g)
	}
}

// Guards against a grant that expires although its ingress repeated the Enqueue.
func TestRepeatedEnqueueRenewsTheGrant(t *testing.T) {
	r := newHarness(1, 1)
	m := message.Enqueue{Ref: r.newRef(), Team: "a", Hint: 10, DeadlineMS: 60_000}
	r.sendEnqueue(m)
	r.tick(GrantTimeout - time.Second)
	r.sendEnqueue(m)
	r.tick(2 * time.Second)
	if r.s.totals.running != 1 {
		t.Fatal("the grant was released")
	}
}

// Guards against charges for requests that did not run, and against estimates for requests without a hint that do not
// follow the costs of earlier requests.
func TestEstimatesFollowCosts(t *testing.T) {
	r := newHarness(1, 1)
	counter := func(team ident.TeamID) float64 {
		st, _ := r.s.Team(team)
		return st.Counter
	}
	a := r.enqueue("a", 0)
	if counter("a") != float64(defaultCost) {
		t.Errorf("first estimate %.0f", counter("a"))
	}
	r.settle(a, 1000)
	r.s.Settle(r.now, message.Settle{Ref: r.enqueue("a", 0), Cost: 9, Result: message.SettleUnused}, &r.out)
	if counter("a") != 1000 {
		t.Errorf("counter %.0f after an unused grant, want 1000", counter("a"))
	}
	r.settle(r.enqueue("b", 10), 0) // lifted to the counter of a, and refunded
	r.enqueue("a", 0)
	if counter("a") != 2000 {
		t.Errorf("counter %.0f, want 1000 plus the team's mean of 1000", counter("a"))
	}
	r.s.Cancel(r.now, message.Cancel{Ref: ref("r1", r.seq, 1)}, &r.out)
	before := counter("a")
	r.enqueue("c", 0)
	if got := counter("c") - before; got < 900 || got > 1000 {
		t.Errorf("estimate of a new team %.0f, want the pool's mean", got)
	}
}

// Guards against idle shards that send too many announcements, or send none while their queue holds only requests that
// exclude the free backend servers.
func TestAnnouncementsAreLimited(t *testing.T) {
	r := newShardHarness(0, 10, 8)
	r.tick(wheelTick)
	if n := len(r.out.FreeSlots); n != announceFanOut || r.out.FreeSlots[0].Count != 2 {
		t.Fatalf("announced %+v", r.out.FreeSlots)
	}
	r.out.Reset()
	for i := range r.s.backends[0].limit - 2 {
		r.sendEnqueue(message.Enqueue{Ref: ref("x", uint64(i), 1), Team: "a", Hint: 1, DeadlineMS: 60_000})
	}
	r.tick(maxAnnounceInterval)
	if n := len(r.out.FreeSlots); n != 2 || r.out.FreeSlots[0].Count != 1 {
		t.Fatalf("announced %+v for 2 slots", r.out.FreeSlots)
	}
	r.out.Reset()
	r.sendEnqueue(message.Enqueue{Ref: r.newRef(), Team: "b", Hint: 1, DeadlineMS: 60_000,
		Exclude: []ident.BackendID{"engine-0"}})
	r.tick(maxAnnounceInterval)
	if len(r.out.FreeSlots) != 2 {
		t.Fatalf("announced %+v while a request that cannot use the slots is queued", r.out.FreeSlots)
	}
}

// Guards against a request that is rejected although a sibling shard may have backend servers.
func TestShardWithoutBackendsRedirects(t *testing.T) {
	r := newShardHarness(0, 2, 1)
	r.s.SetBackends(r.now, 2, nil, 2, &r.out)
	r.enqueue("a", 10)
	r.sendEnqueue(message.Enqueue{Ref: r.newRef(), Team: "a", Hint: 10, DeadlineMS: 60_000, Redirected: true})
	if len(r.out.Redirects) != 1 || r.out.Redirects[0].To != 1 || len(r.out.Rejects) != 1 {
		t.Fatalf("redirects %+v, rejects %+v", r.out.Redirects, r.out.Rejects)
	}
}

// Guards against a failed or unanswered probe that is immediately followed by another one.
func TestUnansweredProbesPostponeTheNext(t *testing.T) {
	for _, lost := range []bool{false, true} {
		r := newHarness(1, 8)
		for _, a := range enqueueN(r, "a", ejectFailures) {
			r.refuse(a)
		}
		r.enqueueMany("a", 3, 10)
		r.out.Reset()
		r.tick(probeDelayMin)
		probe := r.grants()[0].Ref
		if lost {
			r.tick(GrantTimeout + wheelTick)
		} else {
			r.s.Settle(r.now, message.Settle{Ref: probe, Result: message.SettleFailed}, &r.out)
		}
		if g := r.grants(); len(g) != 0 {
			t.Errorf("lost %v: next probe %+v without a delay", lost, g)
		}
	}
}

// Guards against a burst of requests to a backend server that was removed from the configuration while a request ran,
// and was then added again.
func TestRelistedBackendRampsUp(t *testing.T) {
	r := newHarness(2, 8)
	enqueueN(r, "a", 2)
	r.setBackends(engines(1, 8)...)
	r.setBackends(engines(2, 8)...)
	if got := r.s.Stats().Backends[1]; got.Limit != rampStart || got.Running != 1 {
		t.Fatalf("state after the backend server was added again: %+v", got)
	}
}

// Guards against an older configuration that adds a removed backend server again.
func TestOlderConfigurationIsIgnored(t *testing.T) {
	r := newHarness(2, 1)
	r.s.SetBackends(r.now, 5, engines(1, 1), 1, &r.out)
	r.s.SetBackends(r.now, 4, engines(2, 1), 1, &r.out)
	r.enqueueMany("a", 2, 10)
	if g := r.grants(); len(g) != 1 || g[0].Generation != 5 {
		t.Fatalf("granted %+v, want one grant of generation 5", g)
	}
}

// Guards against an engine without configured slots whose limit no longer grows after its number of running requests
// seemed to have reached a plateau.
func TestLearnedSlotsGrowAgain(t *testing.T) {
	r := newHarness(1, 0)
	r.enqueueMany("a", 100, 1)
	for range 2 {
		r.reportLoad(64, 2, 0)
	}
	if got := r.limit(); got != 3 {
		t.Fatalf("limit %d while two of four requests run, want 3", got)
	}
	r.reportLoad(64, 4, 0)
	if got := r.limit(); got != 8 {
		t.Fatalf("limit %d while four requests run, want 8", got)
	}
}
