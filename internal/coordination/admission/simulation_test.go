package admission

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/coordination/engineload"
	"gooseberrytide.example/gooseberrytide/internal/coordination/fairshare"
	"gooseberrytide.example/gooseberrytide/internal/coordination/reservation"
	"gooseberrytide.example/gooseberrytide/internal/state/backends"
	"gooseberrytide.example/gooseberrytide/internal/state/relay"
	"gooseberrytide.example/gooseberrytide/internal/state/routing"
)

// The simulated engine prefills prompts one after another, in chunks between the steps of the running batch. A step
// decodes one token of each running request.
const (
	simPrefillRate        = 55.0 // prompt tokens per millisecond
	simStepTime           = 2900 * time.Microsecond
	simStepTimePerRequest = 100 * time.Microsecond
	simChunkTokens        = 4096
)

// simRequest is a request in a simulated engine.
type simRequest struct {
	core          *Core
	ticket        *Ticket
	pendingTokens int
	output        int
}

// simEngine is a simulated engine with its cache.
type simEngine struct {
	id              string
	queue           []*simRequest
	active          []*simRequest
	cached          map[uint64]bool
	repeatedPrefill int
	busy            bool
}

// event is a function that is due at a point in virtual time.
type event struct {
	at  time.Time
	seq int
	do  func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// simulation runs workloads in virtual time through real cores, one for each router, against simulated engines.
type simulation struct {
	begin     time.Time
	now       time.Time
	events    eventHeap
	seq       int
	cores     []*Core
	engines   map[string]*simEngine
	service   *routing.Service
	rand      *rand.Rand
	prefilled map[uint64]bool
	stats     map[string]*teamStats
	// owners enables owners: each engine is then owned by one of the cores, which confirms grants.
	owners bool
	// denied counts the grants that an owner did not confirm.
	denied int
}

// teamStats are the results of one team.
type teamStats struct {
	submitted, onTime, late, refused int
	// tokens are those of the requests that ran: prompt tokens count once, output tokens twice.
	tokens float64
	// bySecond are the tokens of the requests that began to run in each second since the simulation's start.
	bySecond map[int]float64
	// maxRefusedWait is the longest wait of a refused request, refusedWait the sum of all of them.
	maxRefusedWait, refusedWait time.Duration
}

// tokensBetween returns the tokens of the requests that began to run from one second to before another.
func (s *teamStats) tokensBetween(from, to int) float64 {
	sum := 0.0
	for second := from; second < to; second++ {
		sum += s.bySecond[second]
	}
	return sum
}

const (
	// reportPeriod is the time between reports of the routers; largeFleetReportPeriod is that in a fleet of some 60.
	reportPeriod           = 40 * time.Millisecond
	largeFleetReportPeriod = 300 * time.Millisecond
	// messageDelay is the time that a message between two routers takes.
	messageDelay = 2 * time.Millisecond
)

func newSimulation(routers, engines int, capacity float64) *simulation {
	return newSimulationWithPeriod(routers, engines, capacity, reportPeriod)
}

func newSimulationWithPeriod(routers, engines int, capacity float64, period time.Duration) *simulation {
	begin := time.Unix(1_000_000, 0)
	sim := &simulation{
		begin: begin, now: begin, engines: map[string]*simEngine{}, rand: rand.New(rand.NewPCG(1, 2)),
		service:   &routing.Service{Name: "pool", Engine: &routing.Engine{Slots: 64, CacheTokens: 560_000}},
		prefilled: map[uint64]bool{}, stats: map[string]*teamStats{},
	}
	var servers []*backends.Server
	for i := range engines {
		id := fmt.Sprintf("e%02d", i)
		servers = append(servers, &backends.Server{ID: id, Service: "pool", Slots: 64})
		sim.engines[id] = &simEngine{id: id, cached: map[uint64]bool{}}
	}
	for i := range routers {
		core := New(Options{ShareWindow: 4 * time.Second, Seed: uint64(i + 1)})
		core.SetServers(sim.now, backends.NewSet(servers))
		core.SetCapacity(capacity)
		sim.cores = append(sim.cores, core)
	}
	sim.every(5*time.Millisecond, func() {
		for _, c := range sim.cores {
			c.Advance(sim.now)
		}
	})
	if routers > 1 {
		sim.every(period, sim.report)
		sim.every(10*time.Millisecond, sim.updateOwners)
	}
	return sim
}

// owner returns the core that owns an engine's load, and its index.
func (sim *simulation) owner(engine string) (*Core, int) {
	var n int
	if _, err := fmt.Sscanf(engine, "e%d", &n); err != nil {
		panic(err)
	}
	return sim.cores[n%len(sim.cores)], n % len(sim.cores)
}

// updateOwners sends changed loads to the owners and the owners' capacity notices to the denied routers.
func (sim *simulation) updateOwners() {
	if !sim.owners {
		return
	}
	for i, c := range sim.cores {
		for _, notification := range c.TakeNotifications(sim.now) {
			var n int
			if _, err := fmt.Sscan(notification.Router, &n); err != nil {
				panic(err)
			}
			sim.after(messageDelay, func() { sim.cores[n].HandleCapacityNotice(sim.now, notification.Notice) })
		}
		for _, l := range c.TakeChanged() {
			if core, n := sim.owner(l.Server); n != i {
				sim.after(messageDelay, func() { core.SetPeerLoad(sim.now, fmt.Sprint(i), l) })
			}
		}
	}
}

// confirm asks the owner of a granted engine for confirmation, and calls granted if it confirms.
func (sim *simulation) confirm(core *Core, t *Ticket, granted func()) {
	owner, _ := sim.owner(t.server.ID)
	if !sim.owners || owner == core {
		granted()
		return
	}
	request := core.reservationRequest(t)
	request.Router = fmt.Sprint(slices.Index(sim.cores, core))
	sim.after(messageDelay, func() {
		answer := owner.Reserve(sim.now, request)
		sim.after(messageDelay, func() {
			if core.confirm(sim.now, t, answer) {
				granted()
				return
			}
			sim.denied++
		})
	})
}

func (sim *simulation) at(t time.Time, do func()) {
	sim.seq++
	heap.Push(&sim.events, event{at: t, seq: sim.seq, do: do})
}

func (sim *simulation) after(d time.Duration, do func()) { sim.at(sim.now.Add(d), do) }

func (sim *simulation) every(d time.Duration, do func()) {
	sim.after(d, func() {
		do()
		sim.every(d, do)
	})
}

// report exchanges the reports of all routers.
func (sim *simulation) report() {
	type routerReport struct {
		loads map[string]engineload.Load
		teams map[string]fairshare.Usage
		notes []CachedPart
	}
	reports := make([]routerReport, len(sim.cores))
	for i, c := range sim.cores {
		reports[i] = routerReport{c.OwnLoads(), c.OwnUsage(sim.now), c.TakeCachedParts(100)}
	}
	for i, c := range sim.cores {
		if sim.owners {
			c.SetTotals(sim.now, sim.ownedTotals(i))
		}
		for j, r := range reports {
			if i != j {
				if !sim.owners {
					c.SetPeerLoads(sim.now, fmt.Sprint(j), r.loads)
				}
				c.SetPeerUsage(sim.now, fmt.Sprint(j), r.teams)
				c.AddPeerCachedParts(sim.now, r.notes)
			}
		}
	}
}

// ownedTotals returns the total loads of the engines that the i-th core does not own.
func (sim *simulation) ownedTotals(i int) []reservation.ServerLoad {
	var totals []reservation.ServerLoad
	for id := range sim.engines {
		if core, n := sim.owner(id); n != i {
			totals = append(totals, core.Totals([]string{id})...)
		}
	}
	return totals
}

func (sim *simulation) run(d time.Duration) {
	end := sim.now.Add(d)
	for len(sim.events) > 0 && !sim.events[0].at.After(end) {
		e := heap.Pop(&sim.events).(event)
		sim.now = e.at
		e.do()
	}
	sim.now = end
}

// workload is a stream of requests of one team to one router or, in turn, to all of them.
type workload struct {
	team      string
	kind      string
	router    int // index of the router; -1 means all in turn
	perSecond float64
	sessions  int
	shared    int
	own       int
	output    int
	objective time.Duration
}

// start runs a workload for the given time.
func (sim *simulation) start(w workload, d time.Duration) {
	end := sim.now.Add(d)
	n := 0
	var next func()
	next = func() {
		if sim.now.After(end) {
			return
		}
		router := w.router
		if router < 0 {
			router = n % len(sim.cores)
		}
		n++
		sim.submit(w, router)
		sim.after(time.Duration(sim.rand.ExpFloat64()/w.perSecond*float64(time.Second)), next)
	}
	sim.after(0, next)
}

func (sim *simulation) statsOf(team string) *teamStats {
	s := sim.stats[team]
	if s == nil {
		s = &teamStats{bySecond: make(map[int]float64)}
		sim.stats[team] = s
	}
	return s
}

func (sim *simulation) submit(w workload, router int) {
	s := sim.statsOf(w.team + w.kind)
	s.submitted++
	session := uint64(sim.rand.IntN(w.sessions))<<8 | uint64(len(w.team))
	parts := []relay.PromptPart{{ID: 1<<40 | session, Tokens: w.shared}, {ID: 1<<50 | uint64(sim.seq), Tokens: w.own}}
	core, arrival := sim.cores[router], sim.now
	var t *Ticket
	var decision *Decision
	decide := func(d Decision) {
		decision = &d
		if t != nil {
			sim.handleDecision(core, t, d, s, arrival)
		}
	}
	t = core.Submit(sim.now, Request{
		Team: w.team, Kind: w.kind, Service: sim.service, Parts: parts,
		PromptTokens: w.shared + w.own, OutputTokens: w.output,
		Arrival: sim.now, Objective: w.objective, Deadline: sim.now.Add(12 * time.Second),
	}, decide)
	if decision != nil {
		sim.handleDecision(core, t, *decision, s, arrival)
	}
}

func (sim *simulation) handleDecision(core *Core, t *Ticket, d Decision, s *teamStats, arrival time.Time) {
	if d.Server == nil {
		s.refused++
		s.maxRefusedWait = max(s.maxRefusedWait, sim.now.Sub(arrival))
		s.refusedWait += sim.now.Sub(arrival)
		return
	}
	sim.confirm(core, t, func() { sim.sendToEngine(core, t, s) })
}

// sendToEngine adds a granted request to its engine's queue.
func (sim *simulation) sendToEngine(core *Core, t *Ticket, s *teamStats) {
	e := sim.engines[t.server.ID]
	part := t.Parts[0]
	pendingTokens := t.Parts[1].Tokens
	if !e.cached[part.ID] {
		pendingTokens += part.Tokens
		if sim.prefilled[part.ID] {
			e.repeatedPrefill += part.Tokens
		}
	}
	e.cached[part.ID], sim.prefilled[part.ID] = true, true
	s.tokens += float64(t.PromptTokens + 2*t.OutputTokens)
	r := &simRequest{core: core, ticket: t, pendingTokens: pendingTokens, output: t.OutputTokens}
	e.queue = append(e.queue, r)
	if !e.busy {
		e.busy = true
		sim.step(e)
	}
}

// step prefills a chunk of queued prompts and decodes a token of each running request.
func (sim *simulation) step(e *simEngine) {
	if len(e.queue)+len(e.active) == 0 {
		e.busy = false
		return
	}
	took := simStepTime + time.Duration(len(e.active))*simStepTimePerRequest
	budget := simChunkTokens
	var done []*simRequest
	for len(e.queue) > 0 && budget > 0 {
		r := e.queue[0]
		n := min(r.pendingTokens, budget)
		r.pendingTokens -= n
		budget -= n
		if r.pendingTokens > 0 {
			break
		}
		e.queue = e.queue[1:]
		done = append(done, r)
	}
	took += time.Duration(float64(simChunkTokens-budget) / simPrefillRate * float64(time.Millisecond))
	sim.after(took, func() {
		for _, r := range done {
			sim.recordFirstEvent(r)
		}
		kept := e.active[:0]
		for _, r := range e.active {
			r.output--
			if r.output > 0 {
				kept = append(kept, r)
				continue
			}
			r.core.Finish(sim.now, r.ticket, ResultOK)
		}
		e.active = append(kept, done...)
		sim.step(e)
	})
}

func (sim *simulation) recordFirstEvent(r *simRequest) {
	t := r.ticket
	s := sim.statsOf(t.Team + t.Kind)
	if sim.now.Sub(t.Arrival) <= t.Objective {
		s.onTime++
	} else {
		s.late++
	}
	s.bySecond[int(sim.now.Sub(sim.begin)/time.Second)] += float64(t.PromptTokens + 2*t.OutputTokens)
	r.core.RecordFirstEvent(sim.now, t)
}

// repeatedPrefillTokens returns the number of shared tokens that were prefilled by an engine after another one.
func (sim *simulation) repeatedPrefillTokens() int {
	n := 0
	for _, e := range sim.engines {
		n += e.repeatedPrefill
	}
	return n
}

func (s *teamStats) String() string {
	return fmt.Sprintf("submitted %d, on time %d, late %d, refused %d after %v, %.0f tokens", s.submitted, s.onTime, s.late, s.refused,
		s.refusedWait/time.Duration(max(s.refused, 1)), s.tokens)
}

func logStats(t *testing.T, sim *simulation) {
	t.Helper()
	for team, s := range sim.stats {
		t.Log(team, s)
	}
}
