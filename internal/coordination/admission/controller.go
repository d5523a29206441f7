package admission

import (
	"context"
	"sync"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/coordination/engineload"
	"gooseberrytide.example/gooseberrytide/internal/coordination/fairshare"
	"gooseberrytide.example/gooseberrytide/internal/coordination/reservation"
	"gooseberrytide.example/gooseberrytide/internal/state/backends"
)

// Owners asks the routers that own the loads of servers.
type Owners interface {
	// Reserve asks for a place. It is false when this router owns the server's load itself, when the server has no owner,
	// or when no answer came.
	Reserve(ctx context.Context, r reservation.Request) (reservation.Answer, bool)
}

// Controller makes a Core safe for concurrent use and lets callers wait for decisions.
type Controller struct {
	mu     sync.Mutex
	core   *Core
	owners Owners
}

// NewController returns a controller of a core. Without owners, grants are final at once.
func NewController(core *Core, owners Owners) *Controller {
	return &Controller{core: core, owners: owners}
}

// Admit waits for the decision on a request. A cancelled context withdraws the request; the error is the context's.
func (c *Controller) Admit(ctx context.Context, w Work) (*Ticket, Verdict, error) {
	decided := make(chan Verdict, 1)
	c.mu.Lock()
	t := c.core.Submit(time.Now(), w, func(v Verdict) { decided <- v })
	c.mu.Unlock()
	for {
		select {
		case v := <-decided:
			if v.Server == nil || c.confirm(ctx, t) {
				return t, v, nil
			}
			continue
		case <-ctx.Done():
		}
		return c.withdraw(ctx, t, decided)
	}
}

// confirm has the owner of the granted server confirm the grant. It is false when the server is full: the request then
// waits for the next decision.
func (c *Controller) confirm(ctx context.Context, t *Ticket) bool {
	if c.owners == nil {
		return true
	}
	c.mu.Lock()
	request := c.core.reservation(t)
	c.mu.Unlock()
	answer, ok := c.owners.Reserve(ctx, request)
	if !ok {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.core.confirm(time.Now(), t, answer)
}

// withdraw takes back a request whose context has ended.
func (c *Controller) withdraw(ctx context.Context, t *Ticket, decided <-chan Verdict) (*Ticket, Verdict, error) {
	c.mu.Lock()
	withdrawn := c.core.Withdraw(t)
	c.mu.Unlock()
	if !withdrawn {
		if v := <-decided; v.Server != nil {
			c.Finish(t, ResultCancelled)
		}
	}
	return nil, Verdict{}, context.Cause(ctx)
}

// Begun records the first event of a granted request.
func (c *Controller) Begun(t *Ticket) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.core.Begun(time.Now(), t)
}

// Finish records the end of a granted request.
func (c *Controller) Finish(t *Ticket, r Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.core.Finish(time.Now(), t, r)
}

// SetServers replaces the backend servers.
func (c *Controller) SetServers(set *backends.Set) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.core.SetServers(time.Now(), set)
}

// SetPeerLoads takes another router's part of the loads on all servers.
func (c *Controller) SetPeerLoads(router string, loads map[string]engineload.Load) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.core.SetPeerLoads(time.Now(), router, loads)
}

// SetPeerTeams takes what teams asked of another router and got.
func (c *Controller) SetPeerTeams(router string, teams map[string]fairshare.Part) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.core.SetPeerTeams(time.Now(), router, teams)
}

// SetPeerParts takes what servers keep because of another router's requests.
func (c *Controller) SetPeerParts(notes []PartNote) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.core.SetPeerParts(time.Now(), notes)
}

// PartNotes returns up to n notes of what servers keep because of this router's requests. Each is returned once.
func (c *Controller) PartNotes(n int) []PartNote {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.core.PartNotes(n)
}

// ForgetPeer drops a router that is gone.
func (c *Controller) ForgetPeer(router string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.core.ForgetPeer(router)
}

// SetCapacity sets the rate of all model engines together, in tokens per second.
func (c *Controller) SetCapacity(rate float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.core.SetCapacity(rate)
}

// OwnLoads returns this router's part of the loads.
func (c *Controller) OwnLoads() map[string]engineload.Load {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.core.OwnLoads()
}

// OwnTeams returns what teams asked of this router and got.
func (c *Controller) OwnTeams() map[string]fairshare.Part {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.core.OwnTeams(time.Now())
}

// Waiting returns the number of waiting requests.
func (c *Controller) Waiting() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.core.Waiting()
}

// Advance does what time alone brings: refusals, and grants after pauses.
func (c *Controller) Advance() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.core.Advance(time.Now())
}

// Reserve answers another router that asks for a place on a server whose load this router owns.
func (c *Controller) Reserve(r reservation.Request) reservation.Answer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.core.Reserve(time.Now(), r)
}

// SetOwnedLoads takes another router's parts of the loads of servers that this router owns.
func (c *Controller) SetOwnedLoads(router string, parts []reservation.ServerLoad) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for _, p := range parts {
		c.core.SetPeerLoad(now, router, p)
	}
}

// SetTotals takes the loads that the owners of servers tell.
func (c *Controller) SetTotals(totals []reservation.ServerLoad) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.core.SetTotals(time.Now(), totals)
}

// Adopt makes this router the owner of servers.
func (c *Controller) Adopt(servers []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.core.Adopt(time.Now(), servers)
}

// Totals returns the loads of servers from all routers.
func (c *Controller) Totals(servers []string) []reservation.ServerLoad {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.core.Totals(servers)
}

// TakeChanged returns this router's parts of the loads that have changed since the last call.
func (c *Controller) TakeChanged() []reservation.ServerLoad {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.core.TakeChanged()
}

// Wakes returns news for the routers that were refused a place on a server which has room again.
func (c *Controller) Wakes() []reservation.Wake {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.core.Wakes(time.Now())
}

// TakeRoom takes the news that a server has room again.
func (c *Controller) TakeRoom(r reservation.Room) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.core.TakeRoom(time.Now(), r)
}
