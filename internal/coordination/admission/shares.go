package admission

import (
	"time"

	"gooseberrytide.example/gooseberrytide/internal/coordination/fairshare"
)

const (
	// sharesTTL is how long computed shares are reused. Reports from other routers come about as often.
	sharesTTL = 20 * time.Millisecond
	// yieldFraction is the fraction of an engine's capacity for a team above the fair level while a starved team waits
	// anywhere in the fleet. The rest stays free for the starved team, whichever router it waits at.
	yieldFraction = 0.2
	// overCapacityFraction is the fraction for a team above the capacity level that does not have to yield.
	overCapacityFraction = 0.8
	// fairLevelSlack, in tokens, and fairLevelFactor are how far a team may exceed the fair level before it yields.
	// They cover some large requests and the error of reports that are some tens of milliseconds old.
	fairLevelSlack  = 15_000
	fairLevelFactor = 1.1
	// starvedFactor is the fraction of its fair share below which a waiting team counts as starved.
	starvedFactor = 0.95
)

// shares are the max-min fair levels of service at a time.
type shares struct {
	at time.Time
	// served is the service of each team in the whole fleet, in decayed tokens. It includes this router's latest
	// grants.
	served map[string]float64
	// capacityLevel is the max-min level, in decayed tokens, of the service that the engines can give; fairLevel is
	// that of the service that they have given recently.
	capacityLevel, fairLevel float64
	// starved is set if a team with less than its fair share waits at any router.
	starved bool
}

// refreshShares recomputes the shares if they are outdated.
func (c *Core) refreshShares(now time.Time) {
	if now.Sub(c.shares.at) < sharesTTL {
		return
	}
	totals := c.accounts.Totals(now)
	fairLevel := fairshare.FairLevel(totals)
	s := shares{
		at:     now,
		served: make(map[string]float64, len(totals)),
		// Engines exceed the configured rate while many prompts are cached.
		capacityLevel: max(c.accounts.Level(totals, c.capacity), fairLevel),
		fairLevel:     fairLevel,
	}
	for team, usage := range totals {
		s.served[team] = usage.Served
		waiting := usage.Waiting || c.hasWaiting(team)
		s.starved = s.starved || waiting && usage.Served < starvedFactor*min(usage.Asked, s.fairLevel)
	}
	c.shares = s
}

// hasWaiting reports whether requests of the team for model engines wait at this router.
func (c *Core) hasWaiting(team string) bool {
	for _, q := range c.queues {
		if q.teams[team] != nil && q.forEngines() {
			return true
		}
	}
	return false
}

// aboveFairLevel reports whether a team has received more than its fair share.
func (s *shares) aboveFairLevel(served float64) bool {
	return served > fairLevelFactor*s.fairLevel+fairLevelSlack
}

// overShare reports whether a team has received more than its share. Its further requests are then refused early if
// they would wait too long.
func (s *shares) overShare(served float64) bool {
	return served > s.capacityLevel || s.yields(served)
}

// yields reports whether a team that has received the given service leaves capacity to a starved team.
func (s *shares) yields(served float64) bool { return s.starved && s.aboveFairLevel(served) }

// yields reports whether the team of a request for a model engine leaves permits to a starved team.
func (c *Core) yields(req *Request) bool {
	return req.Service.Engine != nil && c.shares.yields(c.shares.served[req.Team])
}

// fraction returns the fraction of an engine's capacity that a team that has received the given service may fill.
func (s *shares) fraction(served float64) float64 {
	switch {
	case s.yields(served):
		return yieldFraction
	case served > s.capacityLevel:
		return overCapacityFraction
	default:
		return 1
	}
}

// charge adds service that this router gave to a team. A negative amount refunds service.
func (c *Core) charge(now time.Time, team string, tokens float64) {
	c.accounts.Charge(now, team, tokens)
	if c.shares.served != nil {
		c.shares.served[team] = max(c.shares.served[team]+tokens, 0)
	}
}

// tokenCost returns the service that a request counts for, in tokens: prompt tokens count once, output tokens twice.
// Parts that an engine has cached count as well: shares are measured in what a team gets, not in the work that it
// causes. Otherwise a team with long shared prompts gets several times the tokens of others.
func tokenCost(req *Request) float64 {
	if req.Service.Engine == nil {
		return 0
	}
	return float64(req.PromptTokens + 2*req.OutputTokens)
}
