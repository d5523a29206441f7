package admission

import (
	"cmp"
	"slices"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/coordination/engineload"
	"gooseberrytide.example/gooseberrytide/internal/state/backends"
	"gooseberrytide.example/gooseberrytide/internal/state/routing"
)

const (
	// pumpPause is the shortest time between two looks at all waiting requests. It grows with the number of servers, as
	// the work of a look does, from pauseServers on.
	pumpPause    = 4 * time.Millisecond
	pauseServers = 32
	// maxPumpPause bounds it.
	maxPumpPause = 20 * time.Millisecond
	// maxBlocked is the number of teams whose next request has no place after which a look ends.
	maxBlocked = 8
)

// pause returns the time between two looks at the waiting requests.
func (c *Core) pause() time.Duration {
	return min(pumpPause*time.Duration(max(c.servers.Len(), pauseServers))/pauseServers, maxPumpPause)
}

// pump grants waiting requests, teams with the least service first, and refuses those whose time has passed. A look that
// comes too soon after the last one is left to the next call.
func (c *Core) pump(now time.Time, q *queue) {
	if q.size == 0 || now.Sub(q.pumped) < c.pause() {
		return
	}
	q.pumped = now
	c.refuseLate(now, q)
	c.refreshShares(now)
	for q.size > 0 && c.anyRoom(q.service) && c.grantOne(now, q) {
	}
}

// anyRoom reports whether some server might take some request of a service. When all are full, which is usual under
// overload, it saves the choice for each team and kind. Without any server the requests are to be refused.
func (c *Core) anyRoom(service *routing.Service) bool {
	servers := c.servers.ByService(service.Name)
	factors := c.speedsOf(service.Name)
	return len(servers) == 0 || slices.ContainsFunc(servers, func(s *backends.Server) bool {
		load := c.loads.Of(s.ID)
		return limitsOf(service, s, factors.factor(s.ID), 1).Fit(load, engineload.Load{Running: 1})
	})
}

// grantOne grants the first request in fair order that has a place: by team, and within a team by kind. It reports
// whether it did.
func (c *Core) grantOne(now time.Time, q *queue) bool {
	for i, team := range c.order(q) {
		if i == maxBlocked {
			return false
		}
		for _, t := range team.heads(now, q.grantedTo) {
			p, any := c.choose(now, &t.Work, c.shares.part(team.served))
			if !any {
				c.refuseUnserved(q, t)
				return true
			}
			if p != nil {
				c.grant(now, q, t, p)
				return true
			}
		}
	}
	return false
}

// order returns the teams with waiting requests, least service first.
func (c *Core) order(q *queue) []*teamQueue {
	list := q.list[:0]
	for _, team := range q.teams {
		team.served = c.shares.served[team.name]
		list = append(list, team)
	}
	slices.SortFunc(list, func(a, b *teamQueue) int {
		return cmp.Or(cmp.Compare(a.served, b.served), cmp.Compare(a.name, b.name))
	})
	q.list = list
	return list
}

func (c *Core) grant(now time.Time, q *queue, t *Ticket, p *place) {
	q.remove(t)
	q.grant(now, t)
	t.state = ticketGranted
	t.server = p.server
	t.sentAt = now
	h := c.healthOf(p.server.ID)
	if h.suspect {
		t.probe, h.probing = true, true
	}
	t.load = loadOf(&t.Work, p.cached)
	t.limits = p.limits
	if t.Service.Engine != nil {
		c.prefixes.note(now, shared(t.Parts), p.server.ID)
	}
	t.ahead = p.load.PendingTokens
	c.loads.Add(p.server.ID, t.load)
	c.charge(now, t.Team, t.cost)
	t.decide(Verdict{Server: p.server, Load: p.load, CachedTokens: p.cached, First: p.first})
}

func (c *Core) refuse(t *Ticket, reason Reason, retryAfter time.Duration) {
	t.state = ticketDone
	t.decide(Verdict{Reason: reason, RetryAfter: retryAfter})
}
