package admission

import (
	"time"

	"gooseberrytide.example/gooseberrytide/internal/coordination/reservation"
	"gooseberrytide.example/gooseberrytide/internal/coordination/serverlimit"
)

// AnyLimits reports whether a server has a limit of requests a second or is cold, or was so recently. Otherwise responses
// without a limit need not be announced.
func (c *Controller) AnyLimits() bool { return c.limited.Load() > 0 }

// countLimits updates what AnyLimits returns. The controller must be locked.
func (c *Controller) countLimits() {
	c.limited.Store(int64(c.core.limits.Len() + c.core.warmups.Len()))
}

// MergeLimits records what another router knows of limits. It returns the changes.
func (c *Controller) MergeLimits(entries []serverlimit.Entry) []LimitChange {
	c.mu.Lock()
	defer c.mu.Unlock()
	changes := c.core.MergeLimits(time.Now(), entries)
	c.countLimits()
	return changes
}

// LimitEntry returns what is known of a server's limit. It returns false if the server needs no permits.
func (c *Controller) LimitEntry(server string) (serverlimit.Entry, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.core.LimitEntry(time.Now(), server)
}

// LimitEntries returns what is known of the limits of servers, ended ones included.
func (c *Controller) LimitEntries(servers []string) []serverlimit.Entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.core.LimitEntries(time.Now(), servers)
}

// GrantPermit answers another router's request for a permit of a server that this router owns. It returns the change of
// the server's limit that the request has told.
func (c *Controller) GrantPermit(r reservation.PermitRequest) (reservation.PermitAnswer, serverlimit.Change) {
	c.mu.Lock()
	defer c.mu.Unlock()
	answer, change := c.core.GrantPermit(time.Now(), r)
	c.countLimits()
	return answer, change
}

// LimitAnswer returns the answer to a reservation request for a server with a limit.
func (c *Controller) LimitAnswer(server string, a reservation.Answer) reservation.PermitAnswer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.core.LimitAnswer(time.Now(), server, a)
}

// ReceiveReturn takes back the permits that another router has not used.
func (c *Controller) ReceiveReturn(m reservation.PermitReturn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.core.ReceiveReturn(time.Now(), m)
}

// TakeReturns returns the permits to give back to other routers since the last call.
func (c *Controller) TakeReturns() []PermitReturn {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.core.TakeReturns()
}

// SetFleet sets the number of live routers, this one included, and the fraction of the limits that this router may grant
// as an owner.
func (c *Controller) SetFleet(routers int, share float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.core.SetFleet(routers, share)
}

// Limits returns the limits in force.
func (c *Controller) Limits() []LimitStatus {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.core.Limits(time.Now())
}

// PermitCounts returns what became of the permits that this router asked for.
func (c *Controller) PermitCounts() PermitCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.core.permitCounts
}
