package admission

import (
	"cmp"
	"slices"
	"time"
)

// maxReportedTeams is the number of teams in a ShareReport.
const maxReportedTeams = 6

// ShareReport is what a router knows of the teams' shares, for logs.
type ShareReport struct {
	// CapacityLevel and FairLevel are the max-min fair levels of service, in decayed tokens.
	CapacityLevel, FairLevel float64
	// Starved is set if a team with less than its fair share waits at any router.
	Starved bool
	// Teams are the teams that wait at this router or were refused here since the last report, those with the most
	// refusals first.
	Teams []TeamShare
}

// TeamShare is the share of one team.
type TeamShare struct {
	Team string
	// Served and Asked are the team's service and demand in the whole fleet, in decayed tokens.
	Served, Asked float64
	// Queued is the number of requests that wait at this router. Granted and Refused count the decisions of this router
	// since the last report.
	Queued, Granted, Refused int
}

// decisionCount counts the decisions on a team's requests.
type decisionCount struct{ granted, refused int }

// TakeShareReport returns the shares as this router knows them, and restarts the counts of decisions.
func (c *Core) TakeShareReport(now time.Time) ShareReport {
	c.refreshShares(now)
	totals := c.accounts.Totals(now)
	r := ShareReport{CapacityLevel: c.shares.capacityLevel, FairLevel: c.shares.fairLevel, Starved: c.shares.starved}
	queued := c.queuedByTeam()
	for team, usage := range totals {
		n := c.decisions[team]
		if n.refused == 0 && queued[team] == 0 {
			continue
		}
		r.Teams = append(r.Teams, TeamShare{
			Team: team, Served: usage.Served, Asked: usage.Asked,
			Queued: queued[team], Granted: n.granted, Refused: n.refused,
		})
	}
	clear(c.decisions)
	slices.SortFunc(r.Teams, func(a, b TeamShare) int {
		return cmp.Or(cmp.Compare(b.Refused, a.Refused), cmp.Compare(a.Team, b.Team))
	})
	r.Teams = r.Teams[:min(len(r.Teams), maxReportedTeams)]
	return r
}

// queuedByTeam returns the number of waiting requests to model engines by team.
func (c *Core) queuedByTeam() map[string]int {
	queued := make(map[string]int)
	for _, q := range c.queues {
		if !q.forEngines() {
			continue
		}
		for name, team := range q.teams {
			queued[name] += team.size
		}
	}
	return queued
}

// countDecision counts a decision on a request to a model engine.
func (c *Core) countDecision(req *Request, d decisionCount) {
	if req.Service.Engine != nil {
		c.decisions[req.Team] = c.decisions[req.Team].plus(d)
	}
}

func (n decisionCount) plus(o decisionCount) decisionCount {
	return decisionCount{granted: n.granted + o.granted, refused: n.refused + o.refused}
}
