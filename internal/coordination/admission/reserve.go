package admission

import (
	"slices"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/coordination/engineload"
	"gooseberrytide.example/gooseberrytide/internal/coordination/reservation"
	"gooseberrytide.example/gooseberrytide/internal/coordination/serverlimit"
)

// reservationRequest returns the reservation request to the owner of a granted request's server, and what is known of the
// server's limit. That is nil if the request needs no permit.
func (c *Core) reservationRequest(now time.Time, t *Ticket) (reservation.Request, *serverlimit.Entry) {
	request := reservation.Request{
		Server: t.server.ID,
		Load:   t.load,
		Own:    c.loads.Own()[t.server.ID],
		Limits: t.limits,
		Served: c.shares.served[t.Team],
		Yields: t.yields,
	}
	if entry, limited := c.LimitEntry(now, t.server.ID); limited {
		return request, &entry
	}
	return request, nil
}

// confirm applies the owner's answer to a grant. It returns false if the server is full, or if it has a limit and there is
// no permit: the request then returns to its position in the queue by arrival, and the total load in the answer is used to
// choose another server. clock is the time on a clock that includes suspension.
func (c *Core) confirm(now time.Time, clock time.Duration, t *Ticket, answer reservation.Answer, o reservation.Outcome) bool {
	if t.state != ticketGranted {
		return true
	}
	c.endPermitRequest(t)
	if _, limited := c.rate(now, t.server.ID); limited || answer.Limited {
		// An answer that denies the request for another reason holds no news about permits.
		denied := o == reservation.Answered && !answer.Granted && answer.RetryIn == 0
		if !denied && !c.acquirePermit(now, clock, t, answer, o) {
			t.permitsDenied++
			c.revokeGrant(now, t)
			c.retryGrant(now, c.queue(t.Service.Name), t)
			return false
		}
	}
	if o != reservation.Answered || answer.Granted {
		if o == reservation.Answered && !answer.PermitOnly {
			c.loads.SetTotal(now, t.server.ID, answer.Total)
			t.tokensAhead = max(answer.Total.PendingTokens-t.load.PendingTokens, 0)
		}
		t.sentAt = now
		return true
	}
	if answer.Draining {
		t.Exclude = append(slices.Clone(t.Exclude), t.server.ID)
	}
	server := t.server.ID
	c.revokeGrant(now, t)
	c.loads.SetTotal(now, server, answer.Total)
	c.retryGrant(now, c.queue(t.Service.Name), t)
	return false
}

// revokeGrant puts a granted request back into the queue.
func (c *Core) revokeGrant(now time.Time, t *Ticket) {
	c.loads.Remove(t.server.ID, t.load)
	c.charge(now, t.Team, -t.cost)
	if t.probe {
		c.healthOf(t.server.ID).probing = false
		t.probe = false
	}
	t.server, t.load, t.state = nil, engineload.Load{}, ticketWaiting
	c.queue(t.Service.Name).add(t)
}

// retryGrant looks for another server for a request that the owner of the first one denied. Scanning all waiting
// requests after each denial would take most of a small router's CPU when all servers are full.
func (c *Core) retryGrant(now time.Time, q *queue, t *Ticket) {
	if !now.Before(t.refuseAt) {
		c.refuseLate(now, q)
		return
	}
	if p, _ := c.choose(now, &t.Request, c.shares.fraction(c.shares.served[t.Team])); p != nil {
		c.grant(now, q, t, p)
	}
}

// Reserve answers another router's reservation request for a server whose load this router owns.
func (c *Core) Reserve(now time.Time, r reservation.Request) reservation.Answer {
	c.loads.SetPeerLoad(now, r.Router, r.Server, r.Own.Minus(r.Load))
	if server := c.servers.Get(r.Server); server != nil && c.drains.Draining(server) {
		return reservation.Answer{ID: r.ID, Total: c.loads.Total(r.Server), Draining: true}
	}
	total := c.loads.Total(r.Server)
	answer := reservation.Answer{ID: r.ID, Total: total}
	// A router that has not heard of the end of a limit learns it from the answer.
	_, limited := c.rate(now, r.Server)
	answer.Limited = limited || c.limits.Known(r.Server)
	if !r.Limits.Fit(total, r.Load) {
		c.waiters.Add(now, r)
		return answer
	}
	if answer.Limited {
		var permitted bool
		if permitted, answer.RetryIn = c.takePermit(now, r.Server, c.yieldsReservation(now, &r)); !permitted {
			return answer
		}
	}
	c.loads.Reserve(now, r.Router, r.Server, r.Load, r.Own)
	answer.Granted, answer.Total = true, c.loads.Total(r.Server)
	return answer
}

// yieldsReservation reports whether the team of another router's reservation request leaves permits to a starved team. Only
// requests for model engines count.
func (c *Core) yieldsReservation(now time.Time, r *reservation.Request) bool {
	if r.Load.ContextTokens == 0 {
		return false
	}
	c.refreshShares(now)
	return c.shares.yields(r.Served)
}

// TakeNotifications returns notifications for the routers whose reservations were denied and whose servers have free
// capacity again.
func (c *Core) TakeNotifications(now time.Time) []reservation.Notification {
	return c.waiters.TakeNotifications(now, c.loads.Total)
}

// HandleCapacityNotice records a server's total load with its free capacity and schedules waiting requests.
func (c *Core) HandleCapacityNotice(now time.Time, notice reservation.CapacityNotice) {
	c.loads.SetTotal(now, notice.Server, notice.Total)
	c.Advance(now)
}

// SetPeerLoad sets the load that another router puts on a server that this router owns.
func (c *Core) SetPeerLoad(now time.Time, router string, l reservation.ServerLoad) {
	c.loads.SetPeerLoad(now, router, l.Server, l.Load)
}

// SetTotals records the total loads of servers as reported by their owners.
func (c *Core) SetTotals(now time.Time, totals []reservation.ServerLoad) {
	for _, l := range totals {
		c.loads.SetTotal(now, l.Server, l.Load)
	}
}

// Adopt makes this router the owner of servers.
func (c *Core) Adopt(now time.Time, servers []string) {
	for _, id := range servers {
		c.loads.Adopt(now, id)
		c.allocator.Reset(id)
	}
}

// Totals returns the total loads of servers from all routers.
func (c *Core) Totals(servers []string) []reservation.ServerLoad {
	totals := make([]reservation.ServerLoad, len(servers))
	for i, id := range servers {
		totals[i] = reservation.ServerLoad{Server: id, Load: c.loads.Total(id)}
	}
	return totals
}

// TakeChanged returns those of this router's loads on servers that have changed since the last call.
func (c *Core) TakeChanged() []reservation.ServerLoad {
	servers := c.loads.TakeChanged()
	changed := make([]reservation.ServerLoad, len(servers))
	for i, id := range servers {
		changed[i] = reservation.ServerLoad{Server: id, Load: c.loads.Own()[id]}
	}
	return changed
}

// LoadsSettled reports whether this router puts no load on any server and has no changed loads to send.
func (c *Core) LoadsSettled() bool { return c.loads.Settled() }
