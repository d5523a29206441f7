package scheduler

import (
	"fmt"
	"testing"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/coordination/message"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
)

// benchLoad keeps a tenth of the teams backlogged on 12 engines with 8 slots each.
type benchLoad struct {
	s       *Scheduler
	out     Decisions
	now     time.Duration
	seq     uint64
	teams   []ident.TeamID
	routers []ident.RouterID
	// teamOf holds the team of each request by sequence number modulo its length.
	teamOf []int
	prefix [4]uint64
	steps  int
}

func newBenchLoad(teams int) *benchLoad {
	l := &benchLoad{s: New(Options{Shard: testShard, Epoch: 1, Generation: 1}), now: time.Hour, teamOf: make([]int, 1<<20)}
	l.s.SetBackends(l.now, 1, engines(12, 8), 1, &l.out)
	for _, b := range l.s.backends {
		b.rampLimit = 0
	}
	for i := range teams {
		l.teams = append(l.teams, ident.TeamID(fmt.Sprintf("team-%05d", i)))
	}
	for i := range 8 {
		l.routers = append(l.routers, ident.RouterID(fmt.Sprintf("router-%d", i)))
	}
	backlogged := max(teams/10, 1)
	for range max(10*backlogged, 200) {
		l.enqueue(int(l.seq) % backlogged)
	}
	return l
}

func (l *benchLoad) enqueue(team int) {
	l.seq++
	l.teamOf[l.seq%uint64(len(l.teamOf))] = team
	l.prefix[0] = l.seq % 512
	l.s.Enqueue(l.now, message.Enqueue{
		Shard: testShard,
		Ref: ident.AttemptRef{
			Request: ident.RequestRef{Router: l.routers[l.seq%8], Incarnation: 1, Seq: l.seq}, Attempt: 1,
		},
		Team: l.teams[team], Hint: ident.Cost(50 + l.seq%100), DeadlineMS: 3_600_000, Prefix: l.prefix[:2],
	}, &l.out)
}

// step settles a granted attempt and enqueues another one of the same team, which leads to one new grant.
func (l *benchLoad) step(grant message.Grant) {
	l.now += 10 * time.Microsecond
	ref := grant.Ref
	l.s.Settle(l.now, message.Settle{Shard: testShard, Ref: ref, Cost: ident.Cost(60 + ref.Request.Seq%90),
		Result: message.SettleOK, RunMS: 500}, &l.out)
	l.enqueue(l.teamOf[ref.Request.Seq%uint64(len(l.teamOf))])
	l.steps++
	if l.steps%4096 == 0 {
		l.s.Tick(l.now, &l.out)
	}
}

func BenchmarkEnqueueGrantSettle(b *testing.B) {
	for _, teams := range []int{100, 1_100, 11_000} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			l := newBenchLoad(teams)
			pending := append([]message.Grant(nil), l.out.Grants...)
			l.out.Reset()
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				slot := i % len(pending)
				l.step(pending[slot])
				if len(l.out.Grants) != 1 {
					b.Fatalf("%d grants after a settlement, want 1", len(l.out.Grants))
				}
				pending[slot] = l.out.Grants[0]
				l.out.Reset()
			}
		})
	}
}

// BenchmarkBlockedTeams measures the cost for other teams of teams whose requests exclude all backend servers.
func BenchmarkBlockedTeams(b *testing.B) {
	for _, blocked := range []int{0, 1_100} {
		b.Run(fmt.Sprintf("blocked=%d", blocked), func(b *testing.B) {
			r := newHarness(2, 4)
			r.enqueueMany("x", 20, 10)
			for i := range blocked {
				r.sendEnqueue(message.Enqueue{Ref: r.newRef(), Team: teamName(i), Hint: 10, DeadlineMS: 3_600_000,
					Exclude: []ident.BackendID{"engine-0", "engine-1"}})
			}
			running := r.grants()
			b.ResetTimer()
			for range b.N {
				r.enqueue("x", 10)
				r.settle(running[0].Ref, 10)
				running = append(running[1:], r.grants()...)
			}
		})
	}
}
