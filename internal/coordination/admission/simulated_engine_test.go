package admission

import "time"

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
