package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/coordination/message"
	"gooseberrytide.example/gooseberrytide/internal/coordination/scheduler"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/state/timeline"
)

// Guards against a dispatcher that becomes the owner of a shard again and numbers its service deltas from 1 again. The
// sibling shards took them for repeats of earlier deltas and charged nothing.
func TestServiceDeltasOfRegainedShardAreCharged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := outbox{}
		d := NewDispatcher(DispatcherOptions{Self: "r1", Incarnation: 7, Sender: out, Events: timeline.New(64, "r1")})
		own := testRoutes(map[ident.RouterID]ident.Incarnation{"r1": 7})
		own.OwnedShards[0].Siblings = 2
		own.Pools = map[ident.PoolID]*Pool{testShard.Pool: {Owners: []Owner{{"r1", 7}, {"r2", 5}}}}
		lost := *own
		lost.OwnedShards = nil
		sibling := scheduler.New(scheduler.Options{Shard: ident.ShardID{Pool: testShard.Pool, Index: 1}, Siblings: 2})
		var charged float64
		for n := range uint64(3) {
			d.Update(own)
			ref := ident.AttemptRef{Request: ident.RequestRef{Router: "r1", Incarnation: 7, Seq: n + 1}, Attempt: 1}
			d.Handle("r1", &message.Enqueue{Shard: testShard, Ref: ref, Team: "alarms", Hint: 1, DeadlineMS: 30_000})
			d.Handle("r1", &message.Settle{Shard: testShard, Ref: ref, Cost: 2 * scheduler.Quantum, Result: message.SettleOK})
			for _, m := range out["r2"] {
				if delta, ok := m.(*message.ServiceDelta); ok {
					sibling.ServiceDelta(time.Duration(n), *delta)
				}
			}
			delete(out, "r2")
			if now := teamCounter(sibling, "alarms"); now <= charged {
				t.Fatalf("scheduler %d of the shard: counter stays at %v", n, now)
			} else {
				charged = now
			}
			d.Update(&lost)
		}
	})
}

// teamCounter returns a team's virtual counter. It enqueues a request first, because the statistics list only teams
// with queued or running requests.
func teamCounter(s *scheduler.Scheduler, team ident.TeamID) float64 {
	s.Enqueue(0, message.Enqueue{
		Shard:      ident.ShardID{Pool: testShard.Pool, Index: 1},
		Ref:        ident.AttemptRef{Request: ident.RequestRef{Router: "r2", Incarnation: 5, Seq: 1}, Attempt: 1},
		Team:       team,
		DeadlineMS: 30_000,
	}, &scheduler.Decisions{})
	for _, t := range s.Stats().Teams {
		if t.Team == team {
			return t.Counter
		}
	}
	return 0
}
