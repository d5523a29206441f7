package admission

import (
	"context"
	"sync"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/coordination/engineload"
	"gooseberrytide.example/gooseberrytide/internal/coordination/fairshare"
	"gooseberrytide.example/gooseberrytide/internal/state/backends"
)

// Controller makes a Core safe for concurrent use and lets callers wait for decisions.
type Controller struct {
	mu   sync.Mutex
	core *Core
}

// NewController returns a controller of a core.
func NewController(core *Core) *Controller { return &Controller{core: core} }

// Admit waits for the decision on a request. A cancelled context withdraws the request; the error is the context's.
func (c *Controller) Admit(ctx context.Context, w Work) (*Ticket, Verdict, error) {
	decided := make(chan Verdict, 1)
	c.mu.Lock()
	t := c.core.Submit(time.Now(), w, func(v Verdict) { decided <- v })
	c.mu.Unlock()
	select {
	case v := <-decided:
		return t, v, nil
	case <-ctx.Done():
	}
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

// SetPeer takes another router's report.
func (c *Controller) SetPeer(router string, loads map[string]engineload.Load, teams map[string]fairshare.Part) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.core.SetPeer(time.Now(), router, loads, teams)
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

// Own returns this router's loads, what teams asked and got, and the number of waiting requests.
func (c *Controller) Own() (map[string]engineload.Load, map[string]fairshare.Part, int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	loads, teams := c.core.Own(time.Now())
	return loads, teams, c.core.Waiting()
}

// Waiting returns the number of waiting requests.
func (c *Controller) Waiting() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.core.Waiting()
}

// Run advances the core each period until the context ends.
func (c *Controller) Run(ctx context.Context, period time.Duration) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.mu.Lock()
			c.core.Advance(time.Now())
			c.mu.Unlock()
		}
	}
}
