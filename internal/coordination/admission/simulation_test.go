package admission

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/coordination/engineload"
	"gooseberrytide.example/gooseberrytide/internal/coordination/fairshare"
	"gooseberrytide.example/gooseberrytide/internal/coordination/reservation"
	"gooseberrytide.example/gooseberrytide/internal/state/backends"
	"gooseberrytide.example/gooseberrytide/internal/state/relay"
	"gooseberrytide.example/gooseberrytide/internal/state/routing"
)

// simulation runs workloads in virtual time through real cores, one for each router, against simulated engines.
type simulation struct {
	begin     time.Time
	now       time.Time
	events    eventHeap
	seq       int
	cores     []*Core
	engines   map[string]*simEngine
	service   *routing.Service
	profile   engineProfile
	rand      *rand.Rand
	prefilled map[uint64]bool
	stats     map[string]*teamStats
	// owners enables owners: each engine is then owned by one of the cores, which confirms grants.
	owners bool
	// denied counts the grants that an owner did not confirm.
	denied int
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
	return newSimulationOf(usualProfile(), routers, engines, capacity, period)
}

func newSimulationOf(profile engineProfile, routers, engines int, capacity float64, period time.Duration) *simulation {
	begin := time.Unix(1_000_000, 0)
	sim := &simulation{
		begin: begin, now: begin, engines: map[string]*simEngine{}, rand: rand.New(rand.NewPCG(1, 2)),
		service:   &routing.Service{Name: "pool", Engine: &routing.Engine{Slots: profile.slots, CacheTokens: profile.cacheTokens}},
		profile:   profile,
		prefilled: map[uint64]bool{}, stats: map[string]*teamStats{},
	}
	var servers []*backends.Server
	for i := range engines {
		id := fmt.Sprintf("e%02d", i)
		servers = append(servers, &backends.Server{ID: id, Service: "pool", Slots: profile.slots})
		sim.engines[id] = &simEngine{id: id, cached: map[uint64]bool{}}
	}
	for i := range routers {
		core := New(Options{ObservedLimits: profile.pace != nil, ShareWindow: 4 * time.Second, Seed: uint64(i + 1)})
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
	request, _ := core.reservationRequest(sim.now, t)
	request.Router = fmt.Sprint(slices.Index(sim.cores, core))
	sim.after(messageDelay, func() {
		answer := owner.Reserve(sim.now, request)
		sim.after(messageDelay, func() {
			if core.confirm(sim.now, 0, t, answer, reservation.Answered) {
				granted()
				return
			}
			sim.denied++
		})
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
	maxPause  time.Duration
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
		Arrival: sim.now, Objective: w.objective, MaxPause: w.maxPause, Deadline: sim.now.Add(12 * time.Second),
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
