package scheduler

import (
	"testing"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/coordination/message"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
)

// newShardHarness returns a harness for one shard of several, with one engine.
func newShardHarness(index uint16, siblings, slots int) *harness {
	r := &harness{s: New(Options{Shard: shardID(index), Siblings: siblings, Epoch: 7}), now: time.Hour}
	r.s.SetBackends(r.now, 1, engines(1, slots), siblings, &r.out)
	r.endRampUp()
	return r
}

func shardID(index uint16) ident.ShardID { return ident.ShardID{Pool: testShard.Pool, Index: index} }

// Guards against service that siblings are not told of, service deltas below the quantum, and service deltas that are
// counted twice or ignored when they arrive out of order.
func TestServiceDeltasAreSentAtTheQuantumAndCountedOnce(t *testing.T) {
	r := newShardHarness(0, 3, 1)
	r.settle(r.enqueue("a", 900), 999)
	if len(r.out.Deltas) != 0 {
		t.Fatalf("service deltas below the quantum: %+v", r.out.Deltas)
	}
	r.settle(r.enqueue("a", 1), 1)
	if len(r.out.Deltas) != 2 || r.out.Deltas[0].Delta != 1000 || r.out.Deltas[0].To != 1 || r.out.Deltas[1].To != 2 {
		t.Fatalf("service deltas %+v", r.out.Deltas)
	}
	r.settle(r.enqueue("a", 2000), 2000)
	to := newShardHarness(1, 3, 1)
	for _, i := range []int{2, 0, 2, 0} { // out of order, and twice
		to.s.ServiceDelta(to.now, r.out.Deltas[i])
	}
	other := r.out.Deltas[1] // for another shard
	other.Seq = 9
	to.s.ServiceDelta(to.now, other)
	second := r.out.Deltas[2]
	second.Epoch++ // another dispatcher of the shard restarts the sequence numbers
	to.s.ServiceDelta(to.now, second)
	if a, _ := to.s.Team("a"); a.Counter != float64(1000+2*second.Delta) {
		t.Fatalf("counter %.0f after service deltas of 1000 and twice %d", a.Counter, second.Delta)
	}
}

// Guards against a team that gets a full share in each shard.
func TestSiblingServiceCountsInTheFairOrder(t *testing.T) {
	r := newShardHarness(0, 2, 1)
	r.enqueueMany("a", 10, 1000)
	r.enqueueMany("b", 10, 1000)
	r.s.ServiceDelta(r.now, message.ServiceDelta{Shard: shardID(1), Team: "a", Delta: 4000, Seq: 1, Epoch: 1})
	if got := r.settleGrants(6, 1000); got != "abbbba" {
		t.Fatalf("order of grants: %s", got)
	}
}

// Guards against a team that gets a full share in each shard: one team is backlogged in both shards, the other in the
// first only. The shards are equally fast, so that both teams can get the same service. Hints are exact. The bound for
// an interval is twice the sum of the largest cost and two quanta, one for the pending delta of each team.
func TestGapAcrossShardsIsBounded(t *testing.T) {
	const largestCost = 500
	shards := []*harness{newShardHarness(0, 2, 4), newShardHarness(1, 2, 4)}
	hints := map[ident.AttemptRef]ident.Cost{}
	enqueue := func(i int, team string) {
		hint := ident.Cost(100 + (shards[i].seq*7919)%(largestCost-99))
		hints[shards[i].enqueue(team, hint)] = hint
	}
	for range 20 {
		enqueue(0, "a")
		enqueue(0, "b")
		enqueue(1, "a")
	}
	low, high, gap := 0.0, 0.0, 0.0
	running := [2][]message.Grant{}
	for step := range 4000 {
		i := step % 2
		r := shards[i]
		for _, g := range r.out.Grants {
			sign := 1.0
			if r.s.findAttempt(g.Ref).team.id == "b" {
				sign = -1
			}
			gap += sign * float64(hints[g.Ref])
		}
		low, high = min(low, gap), max(high, gap)
		running[i] = append(running[i], r.out.Grants...)
		for _, d := range r.out.Deltas {
			shards[1-i].s.ServiceDelta(r.now, d)
		}
		r.out.Reset()
		first := running[i][0].Ref
		running[i] = running[i][1:]
		enqueue(i, string(r.s.findAttempt(first).team.id))
		r.settle(first, hints[first])
	}
	t.Logf("gap %.0f", high-low)
	if bound := 2.0 * (largestCost + 2*float64(Quantum)); high-low > bound {
		t.Fatalf("gap %.0f, bound %.0f", high-low, bound)
	}
}

// Guards against a team that is put at a disadvantage for service that it received at a sibling while this shard had no
// backlog.
func TestSiblingServiceLiftsTeamsActivatedLater(t *testing.T) {
	r := newShardHarness(0, 2, 1)
	r.s.ServiceDelta(r.now, message.ServiceDelta{Shard: shardID(1), Team: "a", Delta: 50_000, Seq: 1, Epoch: 1})
	r.enqueueMany("b", 10, 100)
	r.enqueueMany("a", 10, 100)
	if got := r.settleGrants(6, 100); got != "bbabab" {
		t.Fatalf("order of grants: %s", got)
	}
}

// Guards against a request that waits for a backend server of its shard while a sibling shard has free slots.
func TestBlockedRequestIsRedirectedToASibling(t *testing.T) {
	r := newShardHarness(0, 2, 2)
	blocked := r.newRef()
	r.sendEnqueue(message.Enqueue{Ref: blocked, Team: "a", Hint: 1, DeadlineMS: 60_000,
		Exclude: []ident.BackendID{"engine-0"}})
	r.s.FreeSlots(r.now, message.FreeSlots{Shard: shardID(1), Count: 1}, &r.out)
	if len(r.out.Redirects) != 1 || r.out.Redirects[0].Ref != blocked {
		t.Fatalf("redirects %+v", r.out.Redirects)
	}
}

// Guards against idle shards while sibling shards have a backlog, against redirects that ignore the fair order, and
// against requests that are redirected more than once.
func TestIdleShardReceivesRedirectsInFairOrder(t *testing.T) {
	idle, busy := newShardHarness(1, 2, 4), newShardHarness(0, 2, 1)
	idle.tick(maxAnnounceInterval)
	if len(idle.out.FreeSlots) != 1 || idle.out.FreeSlots[0].Count != 4 || idle.out.FreeSlots[0].To != 0 {
		t.Fatalf("announced %+v", idle.out.FreeSlots)
	}
	busy.sendEnqueue(message.Enqueue{Ref: busy.newRef(), Team: "c", Hint: 10, DeadlineMS: 60_000, Redirected: true})
	busy.enqueueMany("a", 8, 1000)
	busy.enqueueMany("b", 8, 1000)
	busy.sendEnqueue(message.Enqueue{Ref: busy.newRef(), Team: "c", Hint: 10, DeadlineMS: 60_000, Redirected: true})
	busy.out.Reset()
	busy.s.FreeSlots(busy.now, idle.out.FreeSlots[0], &busy.out)
	teams := map[bool]int{}
	for _, d := range busy.out.Redirects {
		teams[d.Ref.Request.Seq <= 9]++
		if d.To != 1 || d.Ref.Request.Seq == 18 {
			t.Fatalf("redirect %+v", d)
		}
	}
	if teams[true] != 2 || teams[false] != 2 {
		t.Fatalf("redirects by team: %v, want 2 each", teams)
	}
	before, _ := busy.s.Team("a")
	busy.s.ServiceDelta(busy.now, message.ServiceDelta{Shard: shardID(1), Team: "a", Delta: 2000, Seq: 1, Epoch: 1})
	if after, _ := busy.s.Team("a"); after.Counter != before.Counter {
		t.Fatalf("redirected requests were charged twice: counter %.0f, then %.0f", before.Counter, after.Counter)
	}
}

// Guards against a number of service deltas that grows with the square of the number of shards. At the target size, a
// shard serves about 6,000 cost units per second and has 16 siblings; 30 service deltas per second of 35 bytes each are
// a third of a router's budget of 3 KB/s.
func TestServiceDeltasOfLargePoolsAreBounded(t *testing.T) {
	const (
		maxDeltas = 30
		seconds   = 60
		requests  = 20
		cost      = 300
	)
	r := newShardHarness(0, 17, requests)
	deltas := 0
	for range seconds {
		for i := range requests {
			r.enqueue(string(teamName(i%4)), cost)
		}
		r.tick(time.Second)
		deltas += len(r.out.Deltas)
		for _, g := range r.grants() {
			r.settle(g.Ref, cost)
		}
	}
	if deltas == 0 || deltas > maxDeltas*seconds {
		t.Fatalf("%d service deltas in %d s", deltas, seconds)
	}
}
