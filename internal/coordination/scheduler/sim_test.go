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

// Rates of the simulated cluster.
const (
	simUnitsPerSecond = 50.0
	simReportEvery    = 500 * time.Millisecond
	simReportLag      = 300 * time.Millisecond
	simProgressEvery  = 2 * time.Second
	simRetry          = time.Second
)

// simTeam is a team's load: closed-loop clients, open-loop arrivals, or both.
type simTeam struct {
	clients int
	// rate is the mean number of open-loop arrivals per second.
	rate float64
	// cost is the mean cost; costs vary evenly by half of it either way.
	cost float64
	// hintFactor is the ratio of hint to cost; 0 means 1.
	hintFactor float64
	// home is the first of the routers that the team's requests enter.
	home int
	// spread is the number of routers that they enter; 0 means 1.
	spread int
	// from and to are the times between which the team is active; to 0 means the end.
	from, to time.Duration
}

// simOptions describe a run.
type simOptions struct {
	engines, slots int
	// dispatchers share the slots evenly, each with a queue of its own.
	dispatchers int
	// overcommit is added to each dispatcher's share of slots, to keep engines full while some routers have no work.
	overcommit int
	latency    time.Duration
	// unconfigured hides the slots from the dispatchers, which then learn them from load reports.
	unconfigured bool
	duration     time.Duration
	seed         uint64
	teams        []simTeam
	// onReport may change an engine's load report.
	onReport func(now time.Duration, r *LoadReport)
}

// simRequest is a request on its way through the cluster.
type simRequest struct {
	team, dispatcher int
	closed, granted  bool
	hint             ident.Cost
	cost             float64
	ref              ident.AttemptRef
	arrived, started time.Duration
	backend          ident.BackendID
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

// simEngine runs up to its slots and queues the rest.
type simEngine struct {
	running []*simRequest
	waiting []*simRequest
	slots   int
}

// sim is an event-driven cluster of ingress routers, dispatchers and engines.
type sim struct {
	opts    simOptions
	rng     *rand.Rand
	now     time.Duration
	events  simEvents
	serial  int
	scheds  []*Scheduler
	engines []*simEngine
	live    map[ident.AttemptRef]*simRequest
	seq     uint64
	// lag is the last lag that a grant gave, by team, and charged the cost of granted requests.
	lag     []int64
	charged []float64
	// measure returns what the gap compares, by team. Default delivered.
	measure func() []float64
	// done is the cost of ended requests, waits the times from arrival to start, by team.
	done  []float64
	waits [][]time.Duration
	// low and high are the extremes of the difference of delivered work of pairs of teams.
	low, high  map[[2]int]float64
	busy       time.Duration
	maxWaiting int
}

func newSim(o simOptions) *sim {
	s := &sim{
		opts: o, rng: rand.New(rand.NewPCG(o.seed, 1)), live: map[ident.AttemptRef]*simRequest{},
		lag: make([]int64, len(o.teams)), charged: make([]float64, len(o.teams)), done: make([]float64, len(o.teams)), waits: make([][]time.Duration, len(o.teams)),
		low: map[[2]int]float64{}, high: map[[2]int]float64{},
	}
	s.measure = s.delivered
	for range o.engines {
		s.engines = append(s.engines, &simEngine{slots: o.slots})
	}
	for i := range o.dispatchers {
		d := New(Options{Shard: testShard, Epoch: 1, Generation: 1, Seed: uint64(i)})
		s.scheds = append(s.scheds, d)
		slots := o.slots/o.dispatchers + o.overcommit
		if o.unconfigured {
			slots = 0
		}
		s.decide(i, func(out *Decisions) { d.SetBackends(0, 1, engines(o.engines, slots), 1, out) })
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

// run simulates the whole duration. track lists the teams whose delivered work is compared from the time warmup on.
func (s *sim) run(warmup time.Duration, track ...int) {
	for i, t := range s.opts.teams {
		s.after(t.from, func() { s.startTeam(i) })
	}
	s.every(wheelTick, s.tick)
	s.every(simReportEvery, s.reports)
	s.every(simProgressEvery, s.progress)
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

func (s *sim) submit(i int, closed bool) {
	t := s.opts.teams[i]
	if t.to > 0 && s.now >= t.to {
		return
	}
	s.seq++
	r := &simRequest{team: i, closed: closed, arrived: s.now, ref: ref("r", s.seq, 1)}
	r.cost = t.cost * (0.5 + s.rng.Float64())
	r.dispatcher = (t.home + s.rng.IntN(max(t.spread, 1))) % s.opts.dispatchers
	s.live[r.ref] = r
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
	s.decide(r.dispatcher, func(out *Decisions) { s.scheds[r.dispatcher].Enqueue(s.now, m, out) })
}

// handOver replaces the dispatcher. Its successor learns only what the ingress routers re-send.
func (s *sim) handOver() {
	s.scheds[0] = New(Options{Shard: testShard, Epoch: 2, Generation: 1})
	s.decide(0, func(out *Decisions) { s.scheds[0].SetBackends(s.now, 1, engines(s.opts.engines, s.opts.slots), 1, out) })
	for seq := range s.seq + 1 {
		r := s.live[ref("r", seq, 1)]
		switch {
		case r == nil:
		case r.granted:
			s.scheds[0].Running(s.now, message.Running{
				Shard: testShard, Ref: r.ref, Team: teamName(r.team), Backend: r.backend, Cost: ident.Cost(s.partOf(r)),
			})
		default:
			s.enqueue(r)
		}
	}
}

// decide calls a dispatcher and carries out its decisions.
func (s *sim) decide(i int, call func(*Decisions)) {
	var out Decisions
	call(&out)
	for _, g := range out.Grants {
		r := s.live[g.Ref]
		r.granted, r.started, r.backend = true, s.now, g.Backend
		s.lag[r.team] = g.Lag
		s.charged[r.team] += math.Ceil(r.cost)
		s.after(s.opts.latency, func() { s.start(g) })
	}
	for _, j := range out.Rejects {
		r := s.live[j.Ref]
		delete(s.live, j.Ref)
		if r.closed {
			s.after(simRetry, func() { s.submit(r.team, true) })
		}
	}
}

func (s *sim) start(g message.Grant) {
	r := s.live[g.Ref]
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
	took := time.Duration(r.cost / simUnitsPerSecond * float64(time.Second))
	s.after(took, func() { s.finish(e, r) })
}

func (s *sim) finish(e *simEngine, r *simRequest) {
	e.running = slices.DeleteFunc(e.running, func(o *simRequest) bool { return o == r })
	s.done[r.team] += r.cost
	s.busy += s.now - r.started
	delete(s.live, r.ref)
	m := message.Settle{
		Shard: testShard, Ref: r.ref, Cost: ident.Cost(math.Ceil(r.cost)), Result: message.SettleOK,
		RunMS: uint32((s.now - r.started).Milliseconds()),
	}
	s.after(s.opts.latency, func() {
		s.decide(r.dispatcher, func(out *Decisions) { s.scheds[r.dispatcher].Settle(s.now, m, out) })
	})
	if r.closed {
		s.submit(r.team, true)
	}
	if len(e.waiting) > 0 {
		next := e.waiting[0]
		e.waiting = e.waiting[1:]
		s.execute(e, next)
	}
}

func (s *sim) tick() {
	for i, d := range s.scheds {
		s.decide(i, func(out *Decisions) { d.Tick(s.now, out) })
	}
}

func (s *sim) reports() {
	for i, e := range s.engines {
		r := LoadReport{
			Backend: ident.BackendID(fmt.Sprint("engine-", i)), Running: len(e.running), Waiting: len(e.waiting),
			Slots: e.slots / s.opts.dispatchers,
		}
		r.Slots += s.opts.overcommit
		if s.opts.onReport != nil {
			s.opts.onReport(s.now, &r)
		}
		s.after(simReportLag, func() {
			for d := range s.scheds {
				s.decide(d, func(out *Decisions) { s.scheds[d].Load(s.now, r, out) })
			}
		})
	}
}

func (s *sim) progress() {
	report := func(r *simRequest, cost float64) {
		m := message.Progress{Shard: testShard, Ref: r.ref, Cost: ident.Cost(cost)}
		s.after(s.opts.latency, func() { s.scheds[r.dispatcher].Progress(s.now, m) })
	}
	for _, e := range s.engines {
		for _, r := range e.running {
			report(r, s.partOf(r))
		}
		for _, r := range e.waiting {
			report(r, 0)
		}
	}
}

func (s *sim) partOf(r *simRequest) float64 {
	return min((s.now-r.started).Seconds()*simUnitsPerSecond, r.cost)
}

// delivered returns the work that each team has received.
func (s *sim) delivered() []float64 {
	w := slices.Clone(s.done)
	for _, e := range s.engines {
		for _, r := range e.running {
			w[r.team] += s.partOf(r)
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

// gap returns the largest difference of work delivered to two tracked teams in any interval.
func (s *sim) gap() float64 {
	largest := 0.0
	for pair := range s.low {
		largest = max(largest, s.high[pair]-s.low[pair])
	}
	return largest
}

// wait returns a quantile of the waiting times of some teams.
func (s *sim) wait(q float64, teams ...int) time.Duration {
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

// utilisation is the share of slot time that was used.
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
