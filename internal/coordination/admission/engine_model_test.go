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

// The model of an engine: prompts are read one after another in chunks between the steps of the running batch; a step
// makes one token of each running request.
const (
	modelRate     = 55.0 // prompt tokens per millisecond
	modelStep     = 2900 * time.Microsecond
	modelStepSlot = 100 * time.Microsecond
	modelChunk    = 4096
)

// modelRun is a request in an engine.
type modelRun struct {
	core   *Core
	ticket *Ticket
	unread int
	output int
}

// modelEngine is one engine with its cache.
type modelEngine struct {
	id     string
	queue  []*modelRun
	active []*modelRun
	cached map[uint64]bool
	reread int
	busy   bool
}

// event is a point in virtual time.
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

// replay plays a load through real cores, one for each router, against model engines in virtual time.
type replay struct {
	now     time.Time
	events  eventHeap
	seq     int
	cores   []*Core
	engines map[string]*modelEngine
	service *routing.Service
	rand    *rand.Rand
	read    map[uint64]bool
	stats   map[string]*teamStats
	// owners says that each engine has an owner among the cores, which confirms grants.
	owners bool
	// denied counts the grants that an owner did not confirm.
	denied int
}

// teamStats are the results of one team.
type teamStats struct {
	asked, onTime, late, refused int
	tokens                       float64
	// heldRefused is the longest wait of a refused request.
	heldRefused time.Duration
}

const (
	// reportDelay is the age of reports between the routers of a replay, largeDelay that in a fleet of some 60.
	reportDelay = 40 * time.Millisecond
	largeDelay  = 300 * time.Millisecond
	// ownerTrip is the way of a message between two routers.
	ownerTrip = 2 * time.Millisecond
)

func newReplay(routers, engines int, capacity float64) *replay {
	return newDelayedReplay(routers, engines, capacity, reportDelay)
}

func newDelayedReplay(routers, engines int, capacity float64, delay time.Duration) *replay {
	r := &replay{
		now: time.Unix(1_000_000, 0), engines: map[string]*modelEngine{}, rand: rand.New(rand.NewPCG(1, 2)),
		service: &routing.Service{Name: "pool", Engine: &routing.Engine{Slots: 64, CacheTokens: 560_000}},
		read:    map[uint64]bool{}, stats: map[string]*teamStats{},
	}
	var servers []*backends.Server
	for i := range engines {
		id := fmt.Sprintf("e%02d", i)
		servers = append(servers, &backends.Server{ID: id, Service: "pool", Slots: 64})
		r.engines[id] = &modelEngine{id: id, cached: map[uint64]bool{}}
	}
	for i := range routers {
		core := New(Options{ShareWindow: 4 * time.Second, Seed: uint64(i + 1)})
		core.SetServers(r.now, backends.NewSet(servers))
		core.SetCapacity(capacity)
		r.cores = append(r.cores, core)
	}
	r.every(5*time.Millisecond, func() {
		for _, c := range r.cores {
			c.Advance(r.now)
		}
	})
	if routers > 1 {
		r.every(delay, r.report)
		r.every(10*time.Millisecond, r.tellOwners)
	}
	return r
}

// owner returns the core that owns an engine's load, and its number.
func (r *replay) owner(engine string) (*Core, int) {
	var n int
	if _, err := fmt.Sscanf(engine, "e%d", &n); err != nil {
		panic(err)
	}
	return r.cores[n%len(r.cores)], n % len(r.cores)
}

// tellOwners brings changed loads to the owners.
func (r *replay) tellOwners() {
	if !r.owners {
		return
	}
	for i, c := range r.cores {
		for _, w := range c.Wakes(r.now) {
			var n int
			if _, err := fmt.Sscan(w.Router, &n); err != nil {
				panic(err)
			}
			r.after(ownerTrip, func() { r.cores[n].TakeRoom(r.now, w.Room) })
		}
		for _, l := range c.TakeChanged() {
			if core, n := r.owner(l.Server); n != i {
				r.after(ownerTrip, func() { core.SetPeerLoad(r.now, fmt.Sprint(i), l) })
			}
		}
	}
}

// confirm asks the owner of a granted engine, and calls back when the grant stands.
func (r *replay) confirm(core *Core, t *Ticket, granted func()) {
	owner, _ := r.owner(t.server.ID)
	if !r.owners || owner == core {
		granted()
		return
	}
	request := core.reservation(t)
	request.Router = fmt.Sprint(slices.Index(r.cores, core))
	r.after(ownerTrip, func() {
		answer := owner.Reserve(r.now, request)
		r.after(ownerTrip, func() {
			if core.confirm(r.now, t, answer) {
				granted()
				return
			}
			r.denied++
		})
	})
}

func (r *replay) at(t time.Time, do func()) {
	r.seq++
	heap.Push(&r.events, event{at: t, seq: r.seq, do: do})
}

func (r *replay) after(d time.Duration, do func()) { r.at(r.now.Add(d), do) }

func (r *replay) every(d time.Duration, do func()) {
	r.after(d, func() {
		do()
		r.every(d, do)
	})
}

// report tells all routers of all others.
func (r *replay) report() {
	type part struct {
		loads map[string]engineload.Load
		teams map[string]fairshare.Part
		notes []PartNote
	}
	parts := make([]part, len(r.cores))
	for i, c := range r.cores {
		parts[i] = part{c.OwnLoads(), c.OwnTeams(r.now), c.PartNotes(100)}
	}
	for i, c := range r.cores {
		if r.owners {
			c.SetTotals(r.now, r.ownedTotals(i))
		}
		for j, p := range parts {
			if i != j {
				if !r.owners {
					c.SetPeerLoads(r.now, fmt.Sprint(j), p.loads)
				}
				c.SetPeerTeams(r.now, fmt.Sprint(j), p.teams)
				c.SetPeerParts(r.now, p.notes)
			}
		}
	}
}

// ownedTotals are the loads of the engines that other cores than the i-th own.
func (r *replay) ownedTotals(i int) []reservation.ServerLoad {
	var totals []reservation.ServerLoad
	for id := range r.engines {
		if core, n := r.owner(id); n != i {
			totals = append(totals, core.Totals([]string{id})...)
		}
	}
	return totals
}

func (r *replay) run(d time.Duration) {
	end := r.now.Add(d)
	for len(r.events) > 0 && !r.events[0].at.After(end) {
		e := heap.Pop(&r.events).(event)
		r.now = e.at
		e.do()
	}
	r.now = end
}

// load is a stream of requests of one team at one router, or at all in turn.
type load struct {
	team      string
	kind      string
	router    int // -1: all in turn
	perSecond float64
	sessions  int
	shared    int
	own       int
	output    int
	objective time.Duration
}

// start begins a load and ends it after a time.
func (r *replay) start(l load, d time.Duration) {
	end := r.now.Add(d)
	n := 0
	var next func()
	next = func() {
		if r.now.After(end) {
			return
		}
		router := l.router
		if router < 0 {
			router = n % len(r.cores)
		}
		n++
		r.submit(l, router)
		r.after(time.Duration(r.rand.ExpFloat64()/l.perSecond*float64(time.Second)), next)
	}
	r.after(0, next)
}

func (r *replay) statsOf(team string) *teamStats {
	s := r.stats[team]
	if s == nil {
		s = &teamStats{}
		r.stats[team] = s
	}
	return s
}

func (r *replay) submit(l load, router int) {
	s := r.statsOf(l.team + l.kind)
	s.asked++
	session := uint64(r.rand.IntN(l.sessions))<<8 | uint64(len(l.team))
	parts := []relay.PromptPart{{ID: 1<<40 | session, Tokens: l.shared}, {ID: 1<<50 | uint64(r.seq), Tokens: l.own}}
	core, arrival := r.cores[router], r.now
	var t *Ticket
	var decided *Verdict
	decide := func(v Verdict) {
		decided = &v
		if t != nil {
			r.decided(core, t, v, s, arrival)
		}
	}
	t = core.Submit(r.now, Work{
		Team: l.team, Kind: l.kind, Service: r.service, Parts: parts, PromptTokens: l.shared + l.own, OutputTokens: l.output,
		Arrival: r.now, Objective: l.objective, Deadline: r.now.Add(12 * time.Second),
	}, decide)
	if decided != nil {
		r.decided(core, t, *decided, s, arrival)
	}
}

func (r *replay) decided(core *Core, t *Ticket, v Verdict, s *teamStats, arrival time.Time) {
	if v.Server == nil {
		s.refused++
		s.heldRefused = max(s.heldRefused, r.now.Sub(arrival))
		return
	}
	r.confirm(core, t, func() { r.sent(core, t, s) })
}

// sent brings a granted request to its engine.
func (r *replay) sent(core *Core, t *Ticket, s *teamStats) {
	e := r.engines[t.server.ID]
	part := t.Parts[0]
	unread := t.Parts[1].Tokens
	if !e.cached[part.ID] {
		unread += part.Tokens
		if r.read[part.ID] {
			e.reread += part.Tokens
		}
	}
	e.cached[part.ID], r.read[part.ID] = true, true
	s.tokens += t.cost
	run := &modelRun{core: core, ticket: t, unread: unread, output: t.OutputTokens}
	e.queue = append(e.queue, run)
	if !e.busy {
		e.busy = true
		r.step(e)
	}
}

// step reads a chunk of the first prompt and makes a token of each running request.
func (r *replay) step(e *modelEngine) {
	if len(e.queue)+len(e.active) == 0 {
		e.busy = false
		return
	}
	took := modelStep + time.Duration(len(e.active))*modelStepSlot
	budget := modelChunk
	var begun []*modelRun
	for len(e.queue) > 0 && budget > 0 {
		run := e.queue[0]
		n := min(run.unread, budget)
		run.unread -= n
		budget -= n
		if run.unread > 0 {
			break
		}
		e.queue = e.queue[1:]
		begun = append(begun, run)
	}
	took += time.Duration(float64(modelChunk-budget) / modelRate * float64(time.Millisecond))
	r.after(took, func() {
		for _, run := range begun {
			r.begin(run)
		}
		kept := e.active[:0]
		for _, run := range e.active {
			run.output--
			if run.output > 0 {
				kept = append(kept, run)
				continue
			}
			run.core.Finish(r.now, run.ticket, ResultOK)
		}
		e.active = append(kept, begun...)
		r.step(e)
	})
}

func (r *replay) begin(run *modelRun) {
	t := run.ticket
	s := r.statsOf(t.Team + t.Kind)
	if r.now.Sub(t.Arrival) <= t.Objective {
		s.onTime++
	} else {
		s.late++
	}
	run.core.Begun(r.now, t)
}

// rereadTokens sums the shared tokens that were read again.
func (r *replay) rereadTokens() int {
	n := 0
	for _, e := range r.engines {
		n += e.reread
	}
	return n
}

func (s *teamStats) String() string {
	return fmt.Sprintf("asked %d, on time %d, late %d, refused %d", s.asked, s.onTime, s.late, s.refused)
}

func logStats(t *testing.T, r *replay) {
	t.Helper()
	for team, s := range r.stats {
		t.Log(team, s)
	}
}
