package admission

import "time"

const (
	// sendReserve is kept of the objective for the way to the engine and the backlog that may wait there.
	sendReserve = 150 * time.Millisecond
	// Bounds of the wait as parts of the objective. A request that cannot be on time anyway still waits for the lower.
	minWaitShare = 0.25
	maxWaitShare = 0.7
	// Bounds of the time after which a refused client returns.
	minReturn = 150 * time.Millisecond
	maxReturn = 2 * time.Second
	// lateReturn is the wait after a refusal for lateness: the time constant in which shares move between teams.
	lateReturn = 400 * time.Millisecond
)

// refuseAt returns when a waiting request is refused: when its first event could not come in time any more.
func (c *Core) refuseAt(w *Work) time.Time {
	objective := w.Objective
	reserve := sendReserve
	if w.Service.Engine != nil {
		own := max(w.PromptTokens-tokensOf(shared(w.Parts)), 0)
		reserve += time.Duration(float64(own) / startRate * float64(time.Millisecond))
	}
	low := time.Duration(minWaitShare * float64(objective))
	high := time.Duration(maxWaitShare * float64(objective))
	return w.Arrival.Add(min(max(objective-reserve, low), high))
}

// refuseLate refuses the requests that have waited too long.
func (c *Core) refuseLate(now time.Time, q *queue) {
	for _, team := range q.teams {
		for _, t := range team.all() {
			switch {
			case !now.Before(t.Deadline):
				q.remove(t)
				c.refuse(t, ReasonDeadline, 0)
			case !now.Before(t.refuseAt):
				q.remove(t)
				c.refuse(t, ReasonLate, c.spread.around(lateReturn))
			}
		}
	}
}

// refuseUnserved refuses a request for which no server takes requests.
func (c *Core) refuseUnserved(q *queue, t *Ticket) {
	q.remove(t)
	c.refuse(t, ReasonNoServer, c.spread.around(lateReturn))
}

// spread draws the times at which refused clients return, so that they do not return together.
type spread struct {
	state uint64
}

// around returns a time within 30% of d, inside the bounds.
func (s *spread) around(d time.Duration) time.Duration {
	s.state ^= s.state << 13
	s.state ^= s.state >> 7
	s.state ^= s.state << 17
	factor := 0.7 + 0.6*float64(s.state%1024)/1024
	return min(max(time.Duration(factor*float64(d)), minReturn), maxReturn)
}
