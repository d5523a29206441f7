package admission

import (
	"cmp"
	"slices"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/coordination/engineload"
	"gooseberrytide.example/gooseberrytide/internal/state/backends"
	"gooseberrytide.example/gooseberrytide/internal/state/relay"
	"gooseberrytide.example/gooseberrytide/internal/state/routing"
)

const (
	// minScanInterval is the shortest time between two scans of all waiting requests. Above scanBaseServers servers it
	// grows with their number, as the time that a scan takes does, up to maxScanInterval.
	minScanInterval = 4 * time.Millisecond
	scanBaseServers = 32
	maxScanInterval = 20 * time.Millisecond
	// maxBlockedTeams is the number of teams without a placeable request after which a scan ends.
	maxBlockedTeams = 8
)

// scanInterval returns the shortest time between two scans of a queue's waiting requests.
func (c *Core) scanInterval() time.Duration {
	return min(minScanInterval*time.Duration(max(c.servers.Len(), scanBaseServers))/scanBaseServers, maxScanInterval)
}

// dispatch scans a queue: it grants waiting requests, teams with the least service first, and refuses those that have
// waited too long. It does nothing if the last scan is too recent; a later call then does the work.
func (c *Core) dispatch(now time.Time, q *queue) {
	if q.size == 0 || now.Sub(q.lastScan) < c.scanInterval() {
		return
	}
	q.lastScan = now
	c.refuseLate(now, q)
	c.refreshShares(now)
	for q.size > 0 && c.hasCapacity(now, q.service) && c.grantOne(now, q) {
	}
}

// hasCapacity reports whether some server might accept some request of a service. If all servers are full, which is
// usual under overload, the check saves choosing a server for each team and kind. It is also true if no server takes
// requests, so that the requests are then refused.
func (c *Core) hasCapacity(now time.Time, service *routing.Service) bool {
	servers := c.servers.ByService(service.Name)
	limitsOf := c.limitsAt(now, service)
	fits := func(s *backends.Server) bool {
		limits := limitsOf(s)
		return limits.Fit(c.loads.Total(s.ID), engineload.Load{Running: 1}) && c.takesRequests(now, s, false)
	}
	takesRequests := func(s *backends.Server) bool { return c.takesRequests(now, s, false) }
	return slices.ContainsFunc(servers, fits) || !slices.ContainsFunc(servers, takesRequests)
}

// takesRequests reports whether a server takes requests at present, regardless of its load, of a team that yields or one
// that does not.
func (c *Core) takesRequests(now time.Time, server *backends.Server, yields bool) bool {
	return !c.excluded(server) && c.health[server.ID].available(now) && c.mayRequestPermit(now, server.ID, yields)
}

// grantOne grants the first placeable request in fair order: by team, and within a team by kind. If no server takes the
// request, it refuses it. It reports whether it granted or refused one.
func (c *Core) grantOne(now time.Time, q *queue) bool {
	for i, team := range c.teamsByService(q) {
		if i == maxBlockedTeams {
			return false
		}
		for _, t := range q.heads(now, team) {
			p, available := c.choose(now, &t.Request, c.shares.fraction(team.served))
			if !available {
				if c.refuseWithoutServer(now, q, t) {
					return true
				}
				continue
			}
			if p != nil {
				c.grant(now, q, t, p)
				return true
			}
		}
	}
	return false
}

// teamsByService returns the teams with waiting requests, those with the least service first.
func (c *Core) teamsByService(q *queue) []*teamQueue {
	teams := q.scratch[:0]
	for _, team := range q.teams {
		team.served = c.shares.served[team.name]
		teams = append(teams, team)
	}
	slices.SortFunc(teams, func(a, b *teamQueue) int {
		return cmp.Or(cmp.Compare(a.served, b.served), cmp.Compare(a.name, b.name))
	})
	q.scratch = teams
	return teams
}

func (c *Core) grant(now time.Time, q *queue, t *Ticket, p *placement) {
	q.remove(t)
	q.recordGrant(now, t)
	t.state = ticketGranted
	t.server = p.server
	t.sentAt = now
	h := c.healthOf(p.server.ID)
	if h.suspect {
		t.probe, h.probing = true, true
	}
	c.beginPermitRequest(now, t)
	t.load = q.loadOf(&t.Request, p.cachedTokens)
	t.limits = p.limits
	if t.Service.Engine != nil {
		c.prefixes.recordAndAnnounce(now, relay.SharedParts(t.Parts), p.server.ID)
	}
	t.tokensAhead, t.runningAhead = p.load.PendingTokens, p.load.Running
	c.loads.Add(p.server.ID, t.load)
	c.charge(now, t.Team, t.cost)
	c.countDecision(&t.Request, decisionCount{granted: 1})
	t.decide(Decision{Server: p.server, Load: p.load, CachedTokens: p.cachedTokens, FirstEvent: p.firstEvent,
		PermitsDenied: t.permitsDenied})
}

func (c *Core) refuse(t *Ticket, reason Reason, retryAfter time.Duration) {
	t.state = ticketDone
	c.countDecision(&t.Request, decisionCount{refused: 1})
	t.decide(Decision{Reason: reason, RetryAfter: retryAfter, PermitsDenied: t.permitsDenied})
}
