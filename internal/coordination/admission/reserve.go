package admission

import (
	"time"

	"gooseberrytide.example/gooseberrytide/internal/coordination/engineload"
	"gooseberrytide.example/gooseberrytide/internal/coordination/reservation"
)

// reservation returns the question to the owner of the server of a granted request.
func (c *Core) reservation(t *Ticket) reservation.Request {
	return reservation.Request{
		Server: t.server.ID,
		Load:   t.load,
		Own:    c.loads.Own()[t.server.ID],
		Limits: t.limits,
		Served: c.shares.served[t.Team],
	}
}

// confirm takes the owner's answer to a grant. It is false when the server is full: the request then waits again, at
// the place of its arrival, and the answer shows the load by which another server is chosen.
func (c *Core) confirm(now time.Time, t *Ticket, a reservation.Answer) bool {
	if t.state != ticketGranted {
		return true
	}
	if a.Granted {
		c.loads.SetTotal(now, t.server.ID, a.Total)
		t.ahead = max(a.Total.PendingTokens-t.load.PendingTokens, 0)
		t.sentAt = now
		return true
	}
	c.loads.Remove(t.server.ID, t.load)
	c.loads.SetTotal(now, t.server.ID, a.Total)
	c.charge(now, t.Team, -t.cost)
	if t.probe {
		c.healthOf(t.server.ID).probing = false
		t.probe = false
	}
	t.server, t.load, t.state = nil, engineload.Load{}, ticketWaiting
	q := c.queue(t.Service.Name)
	q.add(t)
	c.grantAgain(now, q, t)
	return false
}

// grantAgain looks for another server for a request that the first one had no room for. A look at all waiting requests
// after each refusal would take most of a small router's processor when all servers are full.
func (c *Core) grantAgain(now time.Time, q *queue, t *Ticket) {
	if !now.Before(t.refuseAt) {
		c.refuseLate(now, q)
		return
	}
	if p, _ := c.choose(now, &t.Work, c.shares.part(c.shares.served[t.Team])); p != nil {
		c.grant(now, q, t, p)
	}
}

// Reserve answers another router that asks for a place on a server whose load this router owns.
func (c *Core) Reserve(now time.Time, r reservation.Request) reservation.Answer {
	c.loads.SetPart(now, r.Router, r.Server, r.Own.Minus(r.Load))
	total := c.loads.Of(r.Server)
	answer := reservation.Answer{ID: r.ID, Total: total}
	if r.Limits.Fit(total, r.Load) {
		c.loads.Reserve(now, r.Router, r.Server, r.Load, r.Own)
		answer.Granted, answer.Total = true, c.loads.Of(r.Server)
	} else {
		c.waiters.Add(now, r)
	}
	return answer
}

// Wakes returns news for the routers that were refused a place on a server which has room again.
func (c *Core) Wakes(now time.Time) []reservation.Wake { return c.waiters.Wake(now, c.loads.Of) }

// TakeRoom takes the news that a server has room again.
func (c *Core) TakeRoom(now time.Time, r reservation.Room) {
	c.loads.SetTotal(now, r.Server, r.Total)
	c.Advance(now)
}

// SetPeerLoad takes another router's part of the load of a server that this router owns.
func (c *Core) SetPeerLoad(now time.Time, router string, l reservation.ServerLoad) {
	c.loads.SetPart(now, router, l.Server, l.Load)
}

// SetTotals takes the loads that the owners of servers tell.
func (c *Core) SetTotals(now time.Time, totals []reservation.ServerLoad) {
	for _, l := range totals {
		c.loads.SetTotal(now, l.Server, l.Load)
	}
}

// Adopt makes this router the owner of servers.
func (c *Core) Adopt(now time.Time, servers []string) {
	for _, id := range servers {
		c.loads.Adopt(now, id)
	}
}

// Totals returns the loads of servers from all routers.
func (c *Core) Totals(servers []string) []reservation.ServerLoad {
	totals := make([]reservation.ServerLoad, len(servers))
	for i, id := range servers {
		totals[i] = reservation.ServerLoad{Server: id, Load: c.loads.Of(id)}
	}
	return totals
}

// TakeChanged returns this router's parts of the loads that have changed since the last call.
func (c *Core) TakeChanged() []reservation.ServerLoad {
	servers := c.loads.TakeTouched()
	changed := make([]reservation.ServerLoad, len(servers))
	for i, id := range servers {
		changed[i] = reservation.ServerLoad{Server: id, Load: c.loads.Own()[id]}
	}
	return changed
}
