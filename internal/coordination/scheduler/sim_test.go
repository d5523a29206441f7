package scheduler

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/coordination/message"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
)

// Rates and intervals of the simulated cluster.
const (
	simUnitsPerSecond   = 50.0
	simReportInterval   = 500 * time.Millisecond
	simReportDelay      = 300 * time.Millisecond
	simProgressInterval = 2 * time.Second
	simRetryDelay       = time.Second
)

// simTeam is a team's load: closed-loop clients, open-loop arrivals, or both.
type simTeam struct {
	clients int
	// rate is the mean number of open-loop arrivals per second.
	rate float64
	// cost is the mean cost; costs are distributed uniformly between 0.5 and 1.5 times the mean.
	cost float64
	// hintFactor is the ratio of hint to cost; 0 means 1.
	hintFactor float64
	// home is the index of the first router that receives the team's requests.
	home int
	// spread is the number of routers that receive the team's requests; 0 means 1.
	spread int
	// from and to are the times between which the team is active; a to of 0 means the end of the run.
	from, to time.Duration
}

// simOptions configures a run.
type simOptions struct {
	engines, slots int
	// dispatchers is the number of dispatchers. They divide the slots equally, and each has a queue of its own.
	dispatchers int
	// overcommit is added to each dispatcher's share of slots, to keep engines full while some routers have no work.
	overcommit int
	latency    time.Duration
	// unconfigured means that slots are not configured at the dispatchers, which learn them from load reports.
	unconfigured bool
	duration     time.Duration
	seed         uint64
	teams        []simTeam
	// onReport may change an engine's load report.
	onReport func(now time.Duration, r *LoadReport)
}

// simRequest is the state of a request in the cluster.
type simRequest struct {
	team, dispatcher    int
	closedLoop, granted bool
	hint                ident.Cost
	cost                float64
	ref                 ident.AttemptRef
	arrived, started    time.Duration
	backend             ident.BackendID
}

type simEvent struct {
	at     time.Duration
	serial int
	run    func()
}

type simEvents []simEvent

func (e simEvents) Len() int { return len(e) }
func (e simEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].serial < e[j].serial
}
func (e simEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)   { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simEngine runs up to slots requests at once and queues the others.
type simEngine struct {
	running []*simRequest
	waiting []*simRequest
	slots   int
}

// sim is a discrete-event simulation of a cluster of ingress routers, dispatchers and engines.
type sim struct {
	opts       simOptions
	rng        *rand.Rand
	now        time.Duration
	events     simEvents
	serial     int
	schedulers []*Scheduler
	engines    []*simEngine
	requests   map[ident.AttemptRef]*simRequest
	seq        uint64
	// lag is the lag in the latest grant of each team, charged the cost of its granted requests.
	lag     []int64
	charged []float64
	// measure returns the service per team that the gap compares. The default is delivered.
	measure func() []float64
	// completedCost is the cost of completed requests per team, waits the times from arrival to start.
	completedCost []float64
	waits         [][]time.Duration
	// low and high are the extremes of the difference in measured service for pairs of teams.
	low, high  map[[2]int]float64
	busy       time.Duration
	maxWaiting int
}

func newSim(o simOptions) *sim {
	s := &sim{
		opts: o, rng: rand.New(rand.NewPCG(o.seed, 1)), requests: map[ident.AttemptRef]*simRequest{},
		lag: make([]int64, len(o.teams)), charged: make([]float64, len(o.teams)),
		completedCost: make([]float64, len(o.teams)), waits: make([][]time.Duration, len(o.teams)),
		low: map[[2]int]float64{}, high: map[[2]int]float64{},
	}
	s.measure = s.delivered
	for range o.engines {
		s.engines = append(s.engines, &simEngine{slots: o.slots})
	}
	for i := range o.dispatchers {
		d := New(Options{Shard: testShard, Epoch: 1, Generation: 1, Seed: uint64(i)})
		s.schedulers = append(s.schedulers, d)
		slots := o.slots/o.dispatchers + o.overcommit
		if o.unconfigured {
			slots = 0
		}
		s.applyDecisions(i, func(out *Decisions) { d.SetBackends(0, 1, engines(o.engines, slots), 1, out) })
	}
	return s
}

func (s *sim) after(d time.Duration, run func()) {
	s.serial++
	heap.Push(&s.events, simEvent{at: s.now + d, serial: s.serial, run: run})
}

func (s *sim) every(d time.Duration, run func()) {
	s.after(d, func() {
		run()
		s.every(d, run)
	})
}

// run simulates the whole duration. track lists the teams whose service is compared from the time warmup on.
func (s *sim) run(warmup time.Duration, track ...int) {
	for i, t := range s.opts.teams {
		s.after(t.from, func() { s.startTeam(i) })
	}
	s.every(wheelTick, s.tick)
	s.every(simReportInterval, s.sendLoadReports)
	s.every(simProgressInterval, s.sendProgress)
	s.after(warmup, func() { s.every(wheelTick, func() { s.sample(track) }) })
	for s.now < s.opts.duration {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.run()
	}
}

func (s *sim) startTeam(i int) {
	t := s.opts.teams[i]
	for range t.clients {
		s.submit(i, true)
	}
	if t.rate > 0 {
		s.openLoop(i)
	}
}

func (s *sim) openLoop(i int) {
	s.after(time.Duration(s.rng.ExpFloat64()/s.opts.teams[i].rate*float64(time.Second)), func() {
		s.submit(i, false)
		s.openLoop(i)
	})
}

func (s *sim) submit(i int, closedLoop bool) {
	t := s.opts.teams[i]
	if t.to > 0 && s.now >= t.to {
		return
	}
	s.seq++
	r := &simRequest{team: i, closedLoop: closedLoop, arrived: s.now, ref: ref("r", s.seq, 1)}
	r.cost = t.cost * (0.5 + s.rng.Float64())
	r.dispatcher = (t.home + s.rng.IntN(max(t.spread, 1))) % s.opts.dispatchers
	s.requests[r.ref] = r
	factor := t.hintFactor
	if factor == 0 {
		factor = 1
	}
	r.hint = ident.Cost(math.Ceil(r.cost * factor))
	s.after(s.opts.latency, func() { s.enqueue(r) })
}

func (s *sim) enqueue(r *simRequest) {
	m := message.Enqueue{
		Shard: testShard, Ref: r.ref, Team: teamName(r.team), DeadlineMS: 600_000, Hint: r.hint,
		Lag: s.lag[r.team], WaitedMS: uint32((s.now - r.arrived).Milliseconds()),
	}
	s.applyDecisions(r.dispatcher, func(out *Decisions) { s.schedulers[r.dispatcher].Enqueue(s.now, m, out) })
}

// handover replaces the dispatcher. The new dispatcher only learns what the ingress routers send again.
func (s *sim) handover() {
	s.schedulers[0] = New(Options{Shard: testShard, Epoch: 2, Generation: 1})
	s.applyDecisions(0, func(out *Decisions) {
		s.schedulers[0].SetBackends(s.now, 1, engines(s.opts.engines, s.opts.slots), 1, out)
	})
	for seq := range s.seq + 1 {
		r := s.requests[ref("r", seq, 1)]
		switch {
		case r == nil:
		case r.granted:
			s.schedulers[0].Running(s.now, message.Running{
				Shard: testShard, Ref: r.ref, Team: teamName(r.team), Backend: r.backend, Cost: ident.Cost(s.costSoFar(r)),
			})
		default:
			s.enqueue(r)
		}
	}
}

// applyDecisions calls a dispatcher and applies the resulting grants and rejects.
func (s *sim) applyDecisions(i int, call func(*Decisions)) {
	var out Decisions
	call(&out)
	for _, g := range out.Grants {
		r := s.requests[g.Ref]
		r.granted, r.started, r.backend = true, s.now, g.Backend
		s.lag[r.team] = g.Lag
		s.charged[r.team] += math.Ceil(r.cost)
		s.after(s.opts.latency, func() { s.deliverGrant(g) })
	}
	for _, j := range out.Rejects {
		r := s.requests[j.Ref]
		delete(s.requests, j.Ref)
		if r.closedLoop {
			s.after(simRetryDelay, func() { s.submit(r.team, true) })
		}
	}
}

func (s *sim) deliverGrant(g message.Grant) {
	r := s.requests[g.Ref]
	i := 0
	_, _ = fmt.Sscanf(string(g.Backend), "engine-%d", &i)
	e := s.engines[i]
	if len(e.running) >= e.slots {
		e.waiting = append(e.waiting, r)
		s.maxWaiting = max(s.maxWaiting, len(e.waiting))
		return
	}
	s.execute(e, r)
}

func (s *sim) execute(e *simEngine, r *simRequest) {
	e.running = append(e.running, r)
	r.started = s.now
	s.waits[r.team] = append(s.waits[r.team], s.now-r.arrived)
	runTime := time.Duration(r.cost / simUnitsPerSecond * float64(time.Second))
	s.after(runTime, func() { s.finish(e, r) })
}

func (s *sim) finish(e *simEngine, r *simRequest) {
	e.running = slices.DeleteFunc(e.running, func(o *simRequest) bool { return o == r })
	s.completedCost[r.team] += r.cost
	s.busy += s.now - r.started
	delete(s.requests, r.ref)
	m := message.Settle{
		Shard: testShard, Ref: r.ref, Cost: ident.Cost(math.Ceil(r.cost)), Result: message.SettleOK,
		RunMS: uint32((s.now - r.started).Milliseconds()),
	}
	s.after(s.opts.latency, func() {
		s.applyDecisions(r.dispatcher, func(out *Decisions) { s.schedulers[r.dispatcher].Settle(s.now, m, out) })
	})
	if r.closedLoop {
		s.submit(r.team, true)
	}
	if len(e.waiting) > 0 {
		next := e.waiting[0]
		e.waiting = e.waiting[1:]
		s.execute(e, next)
	}
}

func (s *sim) tick() {
	for i, d := range s.schedulers {
		s.applyDecisions(i, func(out *Decisions) { d.Tick(s.now, out) })
	}
}

func (s *sim) sendLoadReports() {
	for i, e := range s.engines {
		r := LoadReport{
			Backend: ident.BackendID(fmt.Sprint("engine-", i)), Running: len(e.running), Waiting: len(e.waiting),
			Slots: e.slots / s.opts.dispatchers,
		}
		r.Slots += s.opts.overcommit
		if s.opts.onReport != nil {
			s.opts.onReport(s.now, &r)
		}
		s.after(simReportDelay, func() {
			for d := range s.schedulers {
				s.applyDecisions(d, func(out *Decisions) { s.schedulers[d].ReportLoad(s.now, r, out) })
			}
		})
	}
}

func (s *sim) sendProgress() {
	report := func(r *simRequest, cost float64) {
		m := message.Progress{Shard: testShard, Ref: r.ref, Cost: ident.Cost(cost)}
		s.after(s.opts.latency, func() { s.schedulers[r.dispatcher].Progress(s.now, m) })
	}
	for _, e := range s.engines {
		for _, r := range e.running {
			report(r, s.costSoFar(r))
		}
		for _, r := range e.waiting {
			report(r, 0)
		}
	}
}

func (s *sim) costSoFar(r *simRequest) float64 {
	return min((s.now-r.started).Seconds()*simUnitsPerSecond, r.cost)
}

// delivered returns the cost of the work that each team has received so far.
func (s *sim) delivered() []float64 {
	w := slices.Clone(s.completedCost)
	for _, e := range s.engines {
		for _, r := range e.running {
			w[r.team] += s.costSoFar(r)
		}
	}
	return w
}

func (s *sim) sample(track []int) {
	w := s.measure()
	for i, f := range track {
		for _, g := range track[:i] {
			pair, d := [2]int{f, g}, w[f]-w[g]
			if _, ok := s.low[pair]; !ok {
				s.low[pair], s.high[pair] = d, d
			}
			s.low[pair] = min(s.low[pair], d)
			s.high[pair] = max(s.high[pair], d)
		}
	}
}

// gap returns the largest difference in measured service between two tracked teams in any interval.
func (s *sim) gap() float64 {
	largest := 0.0
	for pair := range s.low {
		largest = max(largest, s.high[pair]-s.low[pair])
	}
	return largest
}

// waitQuantile returns the q-quantile of the waiting times of the given teams.
func (s *sim) waitQuantile(q float64, teams ...int) time.Duration {
	var all []time.Duration
	for _, i := range teams {
		all = append(all, s.waits[i]...)
	}
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[min(int(q*float64(len(all))), len(all)-1)]
}

// utilisation returns the share of slot time that was used, from 0 to 1.
func (s *sim) utilisation() float64 {
	busy := s.busy
	for _, e := range s.engines {
		for _, r := range e.running {
			busy += s.now - r.started
		}
	}
	slots := s.opts.engines * s.opts.slots
	return busy.Seconds() / (s.now.Seconds() * float64(slots))
}
