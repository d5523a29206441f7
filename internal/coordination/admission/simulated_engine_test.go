package admission

import (
	"time"

	"gooseberrytide.example/gooseberrytide/internal/coordination/serverspeed"
)

// The simulated engine prefills prompts one after another, in chunks between the steps of the running batch. A step
// decodes one token of each running request.
const (
	simPrefillRate        = 55.0 // prompt tokens per millisecond
	simStepTime           = 2900 * time.Microsecond
	simStepTimePerRequest = 100 * time.Microsecond
	simChunkTokens        = 4096
)

// engineProfile describes the simulated engines of a service.
type engineProfile struct {
	slots              int
	cacheTokens        int
	prefillRate        float64 // prompt tokens per millisecond
	stepTime           time.Duration
	stepTimePerRequest time.Duration
	// eventTokens is the number of output tokens in an event. 0 means that no events after the first one are recorded.
	eventTokens int
	// pace returns the time that work takes on an engine, in percent of the usual time. It is announced in responses. A
	// nil function means that the engines announce nothing.
	pace func(e *simEngine, now time.Time) int
}

// usualProfile describes engines that announce nothing.
func usualProfile() engineProfile {
	return engineProfile{slots: 64, cacheTokens: 560_000, prefillRate: simPrefillRate, stepTime: simStepTime,
		stepTimePerRequest: simStepTimePerRequest}
}

// paceOf returns the pace of an engine in percent.
func (sim *simulation) paceOf(e *simEngine) int {
	if sim.profile.pace == nil {
		return 100
	}
	return sim.profile.pace(e, sim.now)
}

// announce passes the load and the pace of an engine to the core that gets a response from it.
func (sim *simulation) announce(e *simEngine, r *simRequest) {
	if sim.profile.pace == nil {
		return
	}
	load := serverspeed.Announcement{
		Running: len(e.active), Waiting: len(e.queue), Slots: sim.profile.slots, Pace: sim.paceOf(e),
	}
	r.core.Announce(sim.now, r.ticket, Announcement{Load: load})
}

// simRequest is a request in a simulated engine.
type simRequest struct {
	core          *Core
	ticket        *Ticket
	pendingTokens int
	output        int
	// sinceEvent is the number of tokens since the last event.
	sinceEvent int
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
	s.tokens += platformTokens(t)
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
	took := sim.profile.stepTime + time.Duration(len(e.active))*sim.profile.stepTimePerRequest
	budget := simChunkTokens
	var done []*simRequest
	for len(e.queue) > 0 && budget > 0 && len(e.active)+len(done) < sim.profile.slots {
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
	took += time.Duration(float64(simChunkTokens-budget) / sim.profile.prefillRate * float64(time.Millisecond))
	took = took * time.Duration(sim.paceOf(e)) / 100
	sim.after(took, func() {
		for _, r := range done {
			sim.announce(e, r)
			sim.recordFirstEvent(r)
		}
		kept := e.active[:0]
		for _, r := range e.active {
			r.output--
			sim.recordToken(r)
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

// recordToken records an event if enough tokens have come since the last one.
func (sim *simulation) recordToken(r *simRequest) {
	r.sinceEvent++
	if n := sim.profile.eventTokens; n > 0 && r.sinceEvent >= n {
		r.sinceEvent = 0
		r.core.RecordEvent(sim.now, r.ticket)
	}
}

func (sim *simulation) recordFirstEvent(r *simRequest) {
	t := r.ticket
	s := sim.statsOf(t.Team + t.Kind)
	if sim.now.Sub(t.Arrival) <= t.Objective {
		s.onTime++
	} else {
		s.late++
	}
	s.bySecond[int(sim.now.Sub(sim.begin)/time.Second)] += platformTokens(t)
	r.core.RecordEvent(sim.now, t)
}

// repeatedPrefillTokens returns the number of shared tokens that were prefilled by an engine after another one.
func (sim *simulation) repeatedPrefillTokens() int {
	n := 0
	for _, e := range sim.engines {
		n += e.repeatedPrefill
	}
	return n
}

// platformTokens returns the tokens that the platform counts for a request: prompt tokens once, output tokens twice.
// It does not use the admission's charge, so that an error in the charge shows.
func platformTokens(t *Ticket) float64 { return float64(t.PromptTokens + 2*t.OutputTokens) }
