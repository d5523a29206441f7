package scheduler

import (
	"testing"

	"gooseberrytide.example/gooseberrytide/internal/coordination/message"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
)

func (r *harness) reportLoad(slots, running, waiting int) {
	r.s.ReportLoad(r.now, LoadReport{Backend: "engine-0", Slots: slots, Running: running, Waiting: waiting}, &r.out)
}

func (r *harness) limit() int { return r.s.Stats().Backends[0].Limit }

// Guards against limits that follow invalid, implausible, contradicted or stale load reports.
func TestLoadReportsAreCheckedBeforeUse(t *testing.T) {
	cases := []struct {
		name                                string
		configured, slots, running, waiting int
		inFlight, wantLimit, wantAfterStale int
	}{
		{"never reported", 8, -1, 0, 0, 0, 8, 8},
		{"never reported, not configured", 0, -1, 0, 0, 0, defaultSlots, defaultSlots},
		{"plausible", 8, 6, 3, 0, 0, 6, 8},
		{"not configured", 0, 6, 3, 0, 0, 6, 6},
		{"more than configured", 8, 16, 8, 0, 0, 8, 8},
		{"more than twice the running requests", 0, 500, 8, 0, 0, 16, 16},
		{"several waiting requests lower the limit", 8, 8, 8, 4, 0, 5, 8},
		{"one waiting request does not lower the limit", 8, 8, 8, 1, 0, 8, 8},
		{"negative", 8, 6, -3, 0, 0, 8, 8},
		{"running above four times the slots", 8, 6, 33, 0, 0, 8, 8},
		{"slots above four times the configured", 8, 33, 0, 0, 0, 8, 8},
		{"no slots", 8, 0, 1, 0, 0, 8, 8},
		{"idle while requests are in flight", 8, 6, 0, 0, 2, 8, 8},
		{"idle", 8, 6, 0, 0, 0, 6, 8},
	}
	for _, c := range cases {
		r := newHarness(1, c.configured)
		enqueueN(r, "a", c.inFlight)
		r.reportLoad(c.slots, c.running, c.waiting)
		if got := r.limit(); got != c.wantLimit {
			t.Errorf("%s: limit %d, want %d", c.name, got, c.wantLimit)
		}
		r.tick(reportMaxAge + wheelTick)
		if got := r.limit(); got != c.wantAfterStale {
			t.Errorf("%s: limit %d when stale, want %d", c.name, got, c.wantAfterStale)
		}
	}
}

// Guards against slots that stay idle for a round trip after each run when runs are about as short as the round trip.
func TestShortRunsGetOneRequestMoreThanSlots(t *testing.T) {
	r := newHarness(1, 4)
	r.s.Settle(r.now, message.Settle{Ref: r.enqueue("a", 1), Cost: 1, Result: message.SettleOK, RunMS: 5}, &r.out)
	r.reportLoad(4, 0, 0)
	if got := r.limit(); got != 5 {
		t.Fatalf("limit %d for short runs, want 5", got)
	}
}

// Guards against a burst of requests to a new or returning backend server: its limit starts at two requests and doubles
// with each answer.
func TestFreshBackendRampsUp(t *testing.T) {
	r := newHarness(1, 4)
	r.enqueueMany("a", 100, 10)
	r.grants()
	check := func(want ...int) {
		t.Helper()
		for _, n := range want {
			g := r.grants()
			running := r.s.byID["engine-1"].running
			if running != n {
				t.Fatalf("%d requests on the new engine, want %d", running, n)
			}
			r.settle(lastGrantOn(g, "engine-1"), 10)
		}
	}
	r.setBackends(engines(2, 16)...)
	check(2, 4, 8, 16)
	drained := engines(2, 16)
	drained[1].Draining = true
	r.setBackends(drained...)
	for rq := r.s.sessions[sessionKey{"r1", 1}].first; rq != nil; rq = rq.next {
		if rq.backend != nil && rq.backend.ID == "engine-1" {
			r.s.Settle(r.now, message.Settle{Ref: rq.ref(), Result: message.SettleUnused}, &r.out)
			rq = r.s.sessions[sessionKey{"r1", 1}].first
		}
	}
	r.grants()
	r.setBackends(engines(2, 16)...)
	check(2)
}

func lastGrantOn(list []message.Grant, id ident.BackendID) (a ident.AttemptRef) {
	for _, g := range list {
		if g.Backend == id {
			a = g.Ref
		}
	}
	return a
}

// Guards against a slow ramp-up after a handover, and against a ramp-up that stops when answers are errors.
func TestRampUpFollowsObservedUse(t *testing.T) {
	ramp := func(change func(*harness)) int {
		r := newHarness(1, 16)
		r.s.backends[0].rampLimit = rampStart
		change(r)
		return r.limit()
	}
	reported := ramp(func(r *harness) { r.reportLoad(16, 9, 0) })
	adopted := ramp(func(r *harness) {
		for i := range uint64(9) {
			r.s.Running(r.now, message.Running{Ref: ref("r1", i, 1), Team: "a", Backend: "engine-0"})
		}
	})
	failed := ramp(func(r *harness) {
		for range 7 {
			r.s.Settle(r.now, message.Settle{Ref: r.enqueue("a", 1), Result: message.SettleFailed}, &r.out)
		}
	})
	if reported != 9 || adopted != 9 || failed != 9 {
		t.Fatalf("limits %d after a report, %d after adoption, %d after errors, want 9", reported, adopted, failed)
	}
}

// Guards against new requests for a backend server that is draining or was removed, and against requests that wait
// after the last backend server was removed.
func TestDrainingOrRemovedBackendGetsNoWork(t *testing.T) {
	r := newHarness(2, 2)
	running := enqueueN(r, "a", 4)
	r.enqueueMany("a", 4, 10)
	r.out.Reset()
	list := engines(2, 2)
	list[0].Draining = true
	r.setBackends(list...)
	for _, a := range running {
		r.settle(a, 10)
	}
	for _, g := range r.grants() {
		if g.Backend == "engine-0" {
			t.Fatal("granted to a draining backend server")
		}
	}
	r.enqueueMany("b", 1, 10)
	r.setBackends()
	for _, j := range r.out.Rejects {
		if j.Reason != message.RejectNoBackend {
			t.Fatalf("reject %+v", j)
		}
	}
	if st := r.s.Stats(); st.Queued != 0 || len(r.out.Rejects) != 3 {
		t.Fatalf("%d queued, %d rejected without a backend server", st.Queued, len(r.out.Rejects))
	}
}

// Guards against a retry that waits until its deadline because it excludes every backend server. When it is rejected,
// its ingress drops the exclusions.
func TestRequestThatExcludesAllIsRefused(t *testing.T) {
	r := newHarness(2, 2)
	r.sendEnqueue(message.Enqueue{
		Ref: r.newRef(), Team: "a", Hint: 10, DeadlineMS: 60_000,
		Exclude: []ident.BackendID{"engine-0", "engine-1"},
	})
	if len(r.out.Rejects) != 1 || r.out.Rejects[0].Reason != message.RejectNoBackend {
		t.Fatalf("rejects %+v", r.out.Rejects)
	}
}

// Guards against a queued request that waits until its deadline after the last backend server that it may use was
// removed.
func TestQueuedRequestIsRefusedWhenItsLastCandidateLeaves(t *testing.T) {
	r := newHarness(3, 1)
	enqueueN(r, "a", 3)
	r.sendEnqueue(message.Enqueue{
		Ref: r.newRef(), Team: "b", Hint: 10, DeadlineMS: 60_000,
		Exclude: []ident.BackendID{"engine-0", "engine-1"},
	})
	r.out.Reset()
	r.setBackends(engines(2, 1)...)
	if len(r.out.Rejects) != 1 || r.out.Rejects[0].Reason != message.RejectNoBackend {
		t.Fatalf("rejects %+v", r.out.Rejects)
	}
}

// Guards against late refusals that postpone the probe, against several probes at once, and against probes without
// backoff.
func TestProbesAreSingleAndBackOff(t *testing.T) {
	r := newHarness(1, 8)
	list := enqueueN(r, "a", 8)
	for _, a := range list {
		r.refuse(a)
	}
	r.enqueueMany("a", 5, 10)
	r.grants()
	for delay := probeDelayMin; delay <= 4*probeDelayMin; delay *= 2 {
		r.tick(delay - wheelTick)
		if g := r.grants(); len(g) != 0 {
			t.Fatalf("probe before %v", delay)
		}
		r.tick(wheelTick)
		g := r.grants()
		if len(g) != 1 {
			t.Fatalf("%d probes after %v", len(g), delay)
		}
		r.refuse(g[0].Ref)
	}
}

// Guards against an unchanged limit of an engine that refuses some requests, and against a limit that stays low.
func TestRefusalLowersTheLimitUntilAnswersRaiseIt(t *testing.T) {
	r := newHarness(1, 8)
	list := enqueueN(r, "a", 8)
	r.refuse(list[0])
	if got := r.limit(); got != 7 {
		t.Fatalf("limit %d after a refusal at 8 in flight, want 7", got)
	}
	for range 10 {
		r.settle(r.enqueue("a", 10), 10)
		r.settle(list[1], 10)
		list = list[1:]
		if len(list) < 2 {
			break
		}
	}
	if got := r.limit(); got != 8 {
		t.Fatalf("limit %d after a round of answers, want 8", got)
	}
}

// Guards against an engine choice by load alone, by cache alone, or by expired cache entries.
func TestEngineChoiceWeighsCacheAgainstLoad(t *testing.T) {
	r := newHarness(2, 10)
	prompt := []uint64{1, 2, 3}
	place := func(prefix []uint64, domain ident.DomainID) ident.BackendID {
		r.sendEnqueue(message.Enqueue{Ref: r.newRef(), Team: "a", Hint: 1, DeadlineMS: 1000, Prefix: prefix, Domain: domain})
		return r.grants()[0].Backend
	}
	r.s.UpdateCache(r.now, CacheEvent{Backend: "engine-1", Added: prompt})
	counts := map[ident.BackendID]int{}
	for range 8 {
		counts[place(prompt, "")]++
	}
	if counts["engine-1"] < 5 || counts["engine-0"] == 0 {
		t.Fatalf("placement of one prompt: %v, want most on the engine that has it cached and some on the idle one", counts)
	}
	r = newHarness(2, 10)
	r.s.UpdateCache(r.now, CacheEvent{Backend: "engine-1", Added: prompt})
	r.s.UpdateCache(r.now, CacheEvent{Backend: "engine-1", Cleared: true, Added: prompt[:1]})
	r.s.UpdateCache(r.now, CacheEvent{Backend: "engine-0", Added: prompt[:2]})
	if got := place(prompt, ""); got != "engine-0" {
		t.Fatalf("placed on %s, want the engine with the longer cached prefix", got)
	}
	r = newHarness(2, 10)
	r.s.UpdateCache(r.now, CacheEvent{Backend: "engine-1", Added: prompt})
	r.now += holderTTL
	enqueueN(r, "a", 1) // makes one of the engines busier
	idle := r.s.backends[0]
	if idle.running > 0 {
		idle = r.s.backends[1]
	}
	r.grants()
	if got := place(prompt, ""); got != idle.ID {
		t.Fatalf("an expired cache entry led to placement on %s", got)
	}
	list := engines(2, 10)
	list[1].Domain = "d1"
	r = newHarness(0, 0)
	r.setBackends(list...)
	r.endRampUp()
	for range 4 {
		if got := place(nil, "d1"); got != "engine-1" {
			t.Fatalf("placed on %s outside the ingress router's failure domain", got)
		}
		r.settle(ref("r1", r.seq, 1), 1)
	}
}

// Guards against a burst of equal prompts that are all placed on one engine.
func TestEqualPromptsSpreadOverEngines(t *testing.T) {
	r := newHarness(4, 8)
	for range 16 {
		r.sendEnqueue(message.Enqueue{Ref: r.newRef(), Team: "a", Hint: 1, DeadlineMS: 1000, Prefix: []uint64{9}})
	}
	for _, b := range r.s.backends {
		if b.running == 0 || b.running == b.limit {
			t.Fatalf("%s uses %d of %d slots while 16 of all 32 are used", b.ID, b.running, b.limit)
		}
	}
}
