package admission

import (
	"time"

	"gooseberrytide.example/gooseberrytide/internal/coordination/engineload"
	"gooseberrytide.example/gooseberrytide/internal/coordination/reservation"
	"gooseberrytide.example/gooseberrytide/internal/state/backends"
	"gooseberrytide.example/gooseberrytide/internal/state/routing"
)

// recordAsked adds a new request to the observed demand of its flow.
func (q *queue) recordAsked(now time.Time, t *Ticket) { addToFlow(now, q.askedByFlow, t) }

// heads returns the first request of each kind of a team in the order in which they are to be granted. If the service is
// scheduled by observed speeds, the kinds share the team's service in proportion to what each of them asked for. It
// answers the load pattern of a team with long and short prompts: with equal tokens for each kind, long prompts were
// served 0.43 to 0.7 times as often as they asked, short ones 0.9 to 1 times.
func (q *queue) heads(now time.Time, team *teamQueue) []*Ticket {
	if !q.observed {
		return team.heads(now, q.grantedByFlow)
	}
	for _, kind := range team.kinds {
		kind.granted = q.grantedFraction(now, flow{team.name, kind.name})
	}
	return team.sortedHeads()
}

// grantedFraction returns the recent service of a flow as a fraction of what it asked for.
func (q *queue) grantedFraction(now time.Time, f flow) float64 {
	granted, asked := q.grantedByFlow[f], q.askedRate(now, f)
	if granted == nil || asked <= 0 {
		return 0
	}
	return granted.current(now) / asked
}

func (q *queue) askedRate(now time.Time, f flow) float64 {
	if rate := q.askedByFlow[f]; rate != nil {
		return rate.current(now)
	}
	return 0
}

// shareRatio returns how many tokens one kind of a team gets for each token of another kind.
func (q *queue) shareRatio(now time.Time, team, kind, of string) float64 {
	if !q.observed {
		return 1
	}
	asked := q.askedRate(now, flow{team, of})
	if asked <= 0 {
		return 1
	}
	return q.askedRate(now, flow{team, kind}) / asked
}

// loadOf returns the load of a request on a server that has cached the given number of its prompt tokens. If the service
// is scheduled by observed speeds, the request counts in an engine's memory with the most tokens that it may have,
// because an engine crashes if its requests exceed its memory.
func (q *queue) loadOf(req *Request, cachedTokens int) engineload.Load {
	l := loadOf(req, cachedTokens)
	if q.observed && req.Service.Engine != nil {
		l.ContextTokens = contextTokens(req)
	}
	return l
}

// limitsAt returns a function that returns the limits of each server of a service at a time.
func (c *Core) limitsAt(now time.Time, service *routing.Service) func(*backends.Server) reservation.Limits {
	if m := c.speedModel(service); m != nil {
		view, bounds := m.At(now), c.queue(service.Name).bounds.strictest()
		return func(s *backends.Server) reservation.Limits {
			speed := view.Server(s.ID)
			return observedLimits(service, s, &speed, bounds, 1)
		}
	}
	speeds := c.speedsOf(service.Name)
	return func(s *backends.Server) reservation.Limits { return limitsOf(service, s, speeds.slowdownOf(s.ID), 1) }
}
