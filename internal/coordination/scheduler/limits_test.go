package scheduler

import (
	"testing"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/coordination/message"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
)

// Guards against memory that grows with routers, requests and prompts.
func TestMemoryIsBounded(t *testing.T) {
	r := newRig(1, 1)
	for i := range uint64(maxSettled + 100) {
		r.s.Cancel(r.now, message.Cancel{Ref: ref("old", i, 1)}, &r.out)
	}
	if n := r.s.endings.size(); n != maxSettled {
		t.Errorf("%d ends of attempts kept", n)
	}
	for i := range uint64(maxPrefixEntries + 100) {
		r.s.cache.add(i, r.s.backends[0], r.now)
	}
	if n := len(r.s.cache.byHash); n != maxPrefixEntries || len(r.s.cache.entries) != n {
		t.Errorf("%d prefixes kept", n)
	}
	r.enqueue("a", 10) // its grant is lost
	r.tick(GrantTimeout + lostRetention + settledRetention + time.Second)
	if len(r.s.sessions) != 0 || r.s.endings.size() != 0 {
		t.Errorf("%d sessions and %d ends of attempts kept after their time", len(r.s.sessions), r.s.endings.size())
	}
}

// Guards against a duplicate that runs an attempt again: after its grant was lost for good, and after a late end of an
// older attempt.
func TestOldAttemptsStayEnded(t *testing.T) {
	r := newRig(1, 1)
	m := message.Enqueue{Ref: r.next(), Team: "a", Hint: 10, DeadlineMS: 60_000}
	r.send(m)
	r.tick(GrantTimeout + lostRetention + time.Second)
	second := message.Enqueue{Ref: ref("r1", 50, 2), Team: "a", Hint: 10, DeadlineMS: 60_000}
	r.settle(second.Ref, 10)
	r.settle(ref("r1", 50, 1), 10)
	r.out.Reset()
	r.send(m)
	r.send(second)
	if g := r.grants(); len(g) != 0 {
		t.Fatalf("granted again: %+v", g)
	}
}

// Guards against a grant that expires although its ingress asked for it again.
func TestRepeatedEnqueueKeepsTheGrantAlive(t *testing.T) {
	r := newRig(1, 1)
	m := message.Enqueue{Ref: r.next(), Team: "a", Hint: 10, DeadlineMS: 60_000}
	r.send(m)
	r.tick(GrantTimeout - time.Second)
	r.send(m)
	r.tick(2 * time.Second)
	if r.s.totals.running != 1 {
		t.Fatal("the grant was released")
	}
}

// Guards against charges for requests that did not run, and against estimates of unhinted requests that never learn.
func TestEstimatesFollowCosts(t *testing.T) {
	r := newRig(1, 1)
	counter := func(team ident.TeamID) float64 {
		st, _ := r.s.Team(team)
		return st.Counter
	}
	a := r.enqueue("a", 0)
	if counter("a") != float64(unknownCost) {
		t.Errorf("first estimate %.0f", counter("a"))
	}
	r.settle(a, 1000)
	r.s.Settle(r.now, message.Settle{Ref: r.enqueue("a", 0), Cost: 9, Result: message.SettleUnused}, &r.out)
	if counter("a") != 1000 {
		t.Errorf("counter %.0f after an unused grant, want 1000", counter("a"))
	}
	r.settle(r.enqueue("b", 10), 0) // lifted to a, and refunded
	r.enqueue("a", 0)
	if counter("a") != 2000 {
		t.Errorf("counter %.0f, want the team's mean of 1000 on top", counter("a"))
	}
	r.s.Cancel(r.now, message.Cancel{Ref: ref("r1", r.seq, 1)}, &r.out)
	before := counter("a")
	r.enqueue("c", 0)
	if got := counter("c") - before; got < 900 || got > 1000 {
		t.Errorf("estimate of a new team %.0f, want the pool's mean", got)
	}
}

// Guards against announcements that idle shards flood siblings with, or leave out while work waits that excludes the
// free backend servers.
func TestAnnouncementsAreLimited(t *testing.T) {
	r := shardRig(0, 10, 8)
	r.tick(wheelTick)
	if n := len(r.out.Free); n != announceFanOut || r.out.Free[0].Count != 2 {
		t.Fatalf("announced %+v", r.out.Free)
	}
	r.out.Reset()
	for i := range r.s.backends[0].limit - 2 {
		r.send(message.Enqueue{Ref: ref("x", uint64(i), 1), Team: "a", Hint: 1, DeadlineMS: 60_000})
	}
	r.tick(announceInterval)
	if n := len(r.out.Free); n != 2 || r.out.Free[0].Count != 1 {
		t.Fatalf("announced %+v for 2 slots", r.out.Free)
	}
	r.out.Reset()
	r.send(message.Enqueue{Ref: r.next(), Team: "b", Hint: 1, DeadlineMS: 60_000, Exclude: []ident.BackendID{"engine-0"}})
	r.tick(announceInterval)
	if len(r.out.Free) != 2 {
		t.Fatalf("announced %+v beside work that cannot use the slots", r.out.Free)
	}
}

// Guards against a request that is refused although a sibling shard may have backend servers.
func TestShardWithoutBackendsRedirects(t *testing.T) {
	r := shardRig(0, 2, 1)
	r.s.SetBackends(r.now, 2, nil, 2, &r.out)
	r.enqueue("a", 10)
	r.send(message.Enqueue{Ref: r.next(), Team: "a", Hint: 10, DeadlineMS: 60_000, Redirected: true})
	if len(r.out.Redirects) != 1 || r.out.Redirects[0].To != 1 || len(r.out.Rejects) != 1 {
		t.Fatalf("redirects %+v, rejects %+v", r.out.Redirects, r.out.Rejects)
	}
}

// Guards against a probe without an answer that is followed by another at once.
func TestUnansweredProbesPostponeTheNext(t *testing.T) {
	for _, lost := range []bool{false, true} {
		r := newRig(1, 8)
		for _, a := range fill(r, "a", ejectFailures) {
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
			t.Errorf("lost %v: next probe %+v at once", lost, g)
		}
	}
}

// Guards against a herd on a backend server that left the configuration with a request running, and came back.
func TestRelistedBackendRampsUp(t *testing.T) {
	r := newRig(2, 8)
	fill(r, "a", 2)
	r.setBackends(engines(1, 8)...)
	r.setBackends(engines(2, 8)...)
	if got := r.s.Stats().Backends[1]; got.Limit != rampStart || got.Running != 1 {
		t.Fatalf("returned with %+v", got)
	}
}

// Guards against a backend server that comes back with an old configuration.
func TestOlderConfigurationIsIgnored(t *testing.T) {
	r := newRig(2, 1)
	r.s.SetBackends(r.now, 5, engines(1, 1), 1, &r.out)
	r.s.SetBackends(r.now, 4, engines(2, 1), 1, &r.out)
	r.enqueueMany("a", 2, 10)
	if g := r.grants(); len(g) != 1 || g[0].Generation != 5 {
		t.Fatalf("granted %+v", g)
	}
}

// Guards against an engine without configured slots that stays at its first limit once it seemed stuck.
func TestLearnedSlotsGrowAgain(t *testing.T) {
	r := newRig(1, 0)
	r.enqueueMany("a", 100, 1)
	for range 2 {
		r.report(64, 2, 0)
	}
	if got := r.limit(); got != 3 {
		t.Fatalf("limit %d while two requests run of four, want 3", got)
	}
	r.report(64, 4, 0)
	if got := r.limit(); got != 8 {
		t.Fatalf("limit %d when four run, want 8", got)
	}
}
