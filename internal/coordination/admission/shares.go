package admission

import (
	"time"

	"gooseberrytide.example/gooseberrytide/internal/coordination/fairshare"
)

const (
	// sharesAge is how long the computed shares are used. Reports of other routers come about as often.
	sharesAge = 20 * time.Millisecond
	// yieldingPart is the part of an engine's room for a team above the fair level while a deprived team waits anywhere in
	// the fleet. The rest stays free for that team, whichever router it waits at.
	yieldingPart = 0.2
	// beyondPart is the part for a team above what the engines can give all, while no other waits.
	beyondPart = 0.8
	// levelSlack and levelFactor are how far a team may pass the fair level before it yields: about the size of some large
	// requests, in tokens, and the error of reports that are some tens of milliseconds old.
	levelSlack  = 15_000
	levelFactor = 1.1
	// deprivedFactor is the part of its fair share below which a waiting team counts as deprived.
	deprivedFactor = 0.85
)

// shares are the limits of fair service at a time.
type shares struct {
	at time.Time
	// served is the service of each team in the whole fleet, kept up to date with this router's grants.
	served map[string]float64
	// capacity is the max-min level, in faded tokens, of what the engines can do, fair that of what they have done lately.
	capacity, fair float64
	// deprived says that a team waits somewhere that has less than its fair share.
	deprived bool
}

// refreshShares computes the shares anew when they are old.
func (c *Core) refreshShares(now time.Time) {
	if now.Sub(c.shares.at) < sharesAge {
		return
	}
	totals := c.accounts.Totals(now)
	s := shares{
		at:       now,
		served:   make(map[string]float64, len(totals)),
		capacity: c.accounts.Level(totals, c.capacity),
		fair:     fairshare.FairLevel(totals),
	}
	for team, p := range totals {
		s.served[team] = p.Served
		waits := p.Waiting || c.waitsHere(team)
		s.deprived = s.deprived || waits && p.Served < deprivedFactor*min(p.Asked, s.fair)
	}
	c.shares = s
}

// waitsHere reports whether requests of the team for model engines wait at this router.
func (c *Core) waitsHere(team string) bool {
	for _, q := range c.queues {
		if q.teams[team] != nil && q.engine() {
			return true
		}
	}
	return false
}

// above reports whether a team has had more than its fair share.
func (s *shares) above(served float64) bool { return served > levelFactor*s.fair+levelSlack }

// beyond reports whether a team asks for more than it can have: its excess is refused early.
func (s *shares) beyond(served float64) bool {
	return served > s.capacity || s.deprived && s.above(served)
}

// part returns the part of an engine's room that a team with the given service may fill.
func (s *shares) part(served float64) float64 {
	switch {
	case s.deprived && s.above(served):
		return yieldingPart
	case served > s.capacity:
		return beyondPart
	default:
		return 1
	}
}

// charge adds service that this router gave to a team. A negative amount takes service back.
func (c *Core) charge(now time.Time, team string, tokens float64) {
	c.accounts.Charge(now, team, tokens)
	if c.shares.served != nil {
		c.shares.served[team] = max(c.shares.served[team]+tokens, 0)
	}
}

// tokenCost is the service that a request stands for: tokens that are read count once, generated ones twice. Shared
// parts of the prompt are mostly kept and not read.
func tokenCost(w *Work) float64 {
	if w.Service.Engine == nil {
		return 0
	}
	own := max(w.PromptTokens-tokensOf(shared(w.Parts)), 0)
	return float64(own + 2*w.OutputTokens)
}
