package admission

import (
	"math"
	"time"
)

const (
	// sharesAge is how long the computed shares are used. Reports of other routers come about as often.
	sharesAge = 20 * time.Millisecond
	// yieldingPart is the part of an engine's room for a team beyond its share while a team below its share waits
	// anywhere in the fleet. The rest stays free for that team, whichever router it waits at.
	yieldingPart = 0.2
	// beyondPart is the part for a team beyond its share while no other waits.
	beyondPart = 0.8
	// shareSlack is how far a team may pass the least served waiting team, in tokens, before it yields: about the size
	// of some large requests.
	shareSlack = 30_000
	// shareFactor is how far a team may pass the least served waiting team, as a factor.
	shareFactor = 1.25
)

// shares are the limits of fair service at a time.
type shares struct {
	at time.Time
	// served is the service of each team in the whole fleet, kept up to date with this router's grants.
	served map[string]float64
	// level is the max-min fair share in faded tokens.
	level float64
	// lowest is the least service of a team that waits anywhere.
	lowest float64
}

// refreshShares computes the shares anew when they are old.
func (c *Core) refreshShares(now time.Time) {
	if now.Sub(c.shares.at) < sharesAge {
		return
	}
	totals := c.accounts.Totals(now)
	lowest := math.Inf(1)
	served := make(map[string]float64, len(totals))
	for team, p := range totals {
		served[team] = p.Served
		if p.Waiting || c.waitsHere(team) {
			lowest = min(lowest, p.Served)
		}
	}
	c.shares = shares{at: now, served: served, level: c.accounts.Level(totals, c.capacity), lowest: lowest}
}

// waitsHere reports whether requests of the team for model engines wait at this router.
func (c *Core) waitsHere(team string) bool {
	for _, q := range c.queues {
		if t := q.teams[team]; t != nil && t.engine() {
			return true
		}
	}
	return false
}

// part returns the part of an engine's room that a team with the given service may fill.
func (s *shares) part(served float64) float64 {
	switch {
	case served > shareFactor*s.lowest+shareSlack:
		return yieldingPart
	case served > s.level:
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
