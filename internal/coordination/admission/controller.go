package admission

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/coordination/engineload"
	"gooseberrytide.example/gooseberrytide/internal/coordination/fairshare"
	"gooseberrytide.example/gooseberrytide/internal/coordination/freshness"
	"gooseberrytide.example/gooseberrytide/internal/coordination/reservation"
	"gooseberrytide.example/gooseberrytide/internal/coordination/serverdrain"
	"gooseberrytide.example/gooseberrytide/internal/coordination/serverlimit"
	"gooseberrytide.example/gooseberrytide/internal/state/backends"
	"gooseberrytide.example/gooseberrytide/internal/state/periodic"
)

// Owners sends reservation requests to the routers that own the loads of servers.
type Owners interface {
	// Reserve asks the owner of a server to reserve capacity for a request, and for a permit if the server has a limit of
	// requests a second. limit is what is known of that limit, or nil.
	Reserve(ctx context.Context, r reservation.Request, limit *serverlimit.Entry) (reservation.Answer, reservation.Outcome)
}

// Controller wraps a Core for concurrent use and lets callers wait for decisions.
type Controller struct {
	mu     sync.Mutex
	core   *Core
	owners Owners
	// queued is signalled when a request starts to wait.
	queued chan struct{}
	// sendsStopped makes MaySend return false.
	sendsStopped atomic.Bool
	// limited is the number of servers with a limit, or with one that has ended recently.
	limited atomic.Int64
	// clock includes suspension. The lifetime of permits counts on it.
	clock freshness.Clock
}

// NewController returns a controller for a core. If owners is nil, grants need no confirmation.
func NewController(core *Core, owners Owners) *Controller {
	return &Controller{core: core, owners: owners, queued: make(chan struct{}, 1), clock: freshness.BootTime}
}

// UseClock replaces the clock on which the lifetime of permits counts. It must be called before the first request.
func (c *Controller) UseClock(clock freshness.Clock) { c.clock = clock }

// Admit waits for the decision on a request. If the context ends, the request is withdrawn and the context's cause is
// returned as the error.
func (c *Controller) Admit(ctx context.Context, req Request) (*Ticket, Decision, error) {
	decided := make(chan Decision, 1)
	c.mu.Lock()
	t := c.core.Submit(time.Now(), req, func(d Decision) { decided <- d })
	c.signalQueued()
	c.mu.Unlock()
	for {
		select {
		case d := <-decided:
			if d.Server == nil || c.confirm(ctx, t) {
				return t, d, nil
			}
			continue
		case <-ctx.Done():
		}
		return c.withdraw(ctx, t, decided)
	}
}

// confirm asks the owner of the granted server to confirm the grant. It returns false if the server is full, or if it has a
// limit and there is no permit; the request then waits for the next decision.
func (c *Controller) confirm(ctx context.Context, t *Ticket) bool {
	if c.owners == nil && !c.AnyLimits() {
		return true
	}
	c.mu.Lock()
	request, limit := c.core.reservationRequest(time.Now(), t)
	c.mu.Unlock()
	answer, outcome := reservation.Answer{}, reservation.Local
	if c.owners != nil {
		answer, outcome = c.owners.Reserve(ctx, request, limit)
	}
	if outcome != reservation.Answered && limit == nil {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	confirmed := c.core.confirm(time.Now(), c.clock(), t, answer, outcome)
	c.signalQueued()
	return confirmed
}

// signalQueued wakes Run if requests wait.
func (c *Controller) signalQueued() {
	if c.core.Waiting() == 0 {
		return
	}
	select {
	case c.queued <- struct{}{}:
	default:
	}
}

// Run applies what is due until ctx ends: every period while requests wait, and otherwise every idlePeriod.
func (c *Controller) Run(ctx context.Context, period, idlePeriod time.Duration) {
	idle := time.NewTicker(idlePeriod)
	defer idle.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-idle.C:
			c.Advance()
		case <-c.queued:
			for c.Waiting() > 0 && periodic.Sleep(ctx, period) {
				c.Advance()
			}
		}
	}
}

// withdraw removes a request whose context has ended.
func (c *Controller) withdraw(ctx context.Context, t *Ticket, decided <-chan Decision) (*Ticket, Decision, error) {
	c.mu.Lock()
	withdrawn := c.core.Withdraw(t)
	c.mu.Unlock()
	if !withdrawn {
		if d := <-decided; d.Server != nil {
			c.Finish(t, ResultCancelled)
		}
	}
	return nil, Decision{}, context.Cause(ctx)
}

// Announce records what a response says about the server that a granted request was sent to.
func (c *Controller) Announce(t *Ticket, a Announcement) News {
	c.mu.Lock()
	defer c.mu.Unlock()
	news := c.core.Announce(time.Now(), t, a)
	c.countLimits()
	return news
}

// StopSends forbids all further sends. It is called before the requests in progress are ended at a stop: the capacity
// that they free would otherwise be granted to waiting requests, which cannot be completed any more.
func (c *Controller) StopSends() { c.sendsStopped.Store(true) }

// MaySend reports whether a granted request may still be sent to its server.
func (c *Controller) MaySend(t *Ticket) bool {
	if c.sendsStopped.Load() {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.core.MaySend(time.Now(), c.clock(), t)
}

// RetryAfterPause returns the time after which a client may retry a request that a server refused while asking for a
// pause. It returns false if the server has not asked for one or the pause is over.
func (c *Controller) RetryAfterPause(server string) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.core.RetryAfterPause(time.Now(), server)
}

// SkipSuspended shortens the pauses of servers by a time for which the VM was suspended.
func (c *Controller) SkipSuspended(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.core.SkipSuspended(d)
}

// ReportDraining records the servers that another router knows to leave. It returns those that are out of use because of
// this report.
func (c *Controller) ReportDraining(router string, list []serverdrain.Incarnation) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.core.ReportDraining(router, list)
}

// ReceivedDraining returns the servers whose announcement this router received itself.
func (c *Controller) ReceivedDraining() []serverdrain.Incarnation {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.core.ReceivedDraining()
}

// Draining reports whether a server has announced that it leaves.
func (c *Controller) Draining(server string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.core.Draining(server)
}

// EndPlanned reports whether the end of an incarnation of a server was to be expected.
func (c *Controller) EndPlanned(server *backends.Server) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.core.EndPlanned(server)
}

// RecordRefused counts a request that the router refused without submitting it.
func (c *Controller) RecordRefused(req Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.core.RecordRefused(time.Now(), &req)
}

// RecordEvent records an event of a granted request.
func (c *Controller) RecordEvent(t *Ticket) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.core.RecordEvent(time.Now(), t)
}

// RecordQuiet records that the server of a granted request has sent nothing for too long.
func (c *Controller) RecordQuiet(t *Ticket) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.core.RecordQuiet(time.Now(), t)
}

// Finish records the result of a granted request.
func (c *Controller) Finish(t *Ticket, r Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.core.Finish(time.Now(), t, r)
}

// ForgetCache records that a server has ended and has lost its cached parts.
func (c *Controller) ForgetCache(server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.core.ForgetCache(server)
}

// SetServers replaces the backend servers.
func (c *Controller) SetServers(set *backends.Set) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.core.SetServers(time.Now(), set)
	c.countLimits()
}

// SetPeerLoads replaces the loads that another router puts on all servers.
func (c *Controller) SetPeerLoads(router string, loads map[string]engineload.Load) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.core.SetPeerLoads(time.Now(), router, loads)
}

// SetPeerUsage replaces the demand and the service of teams at another router.
func (c *Controller) SetPeerUsage(router string, usage map[string]fairshare.Usage) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.core.SetPeerUsage(time.Now(), router, usage)
}

// AddPeerCachedParts records prompt parts that servers have cached because of another router's requests.
func (c *Controller) AddPeerCachedParts(parts []CachedPart) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.core.AddPeerCachedParts(time.Now(), parts)
}

// TakeCachedParts returns up to n prompt parts that servers have cached because of this router's requests, each of them
// once.
func (c *Controller) TakeCachedParts(n int) []CachedPart {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.core.TakeCachedParts(n)
}

// ForgetPeer drops the state of a router that is gone.
func (c *Controller) ForgetPeer(router string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.core.ForgetPeer(router)
}

// SetCapacity sets the total rate of all model engines, in tokens per second.
func (c *Controller) SetCapacity(rate float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.core.SetCapacity(rate)
}

// OwnLoads returns the loads that this router puts on servers.
func (c *Controller) OwnLoads() map[string]engineload.Load {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.core.OwnLoads()
}

// OwnUsage returns the demand and the service of teams at this router.
func (c *Controller) OwnUsage() map[string]fairshare.Usage {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.core.OwnUsage(time.Now())
}

// TakeShareReport returns the shares as this router knows them, and restarts the counts of decisions.
func (c *Controller) TakeShareReport() ShareReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.core.TakeShareReport(time.Now())
}

// Waiting returns the number of waiting requests.
func (c *Controller) Waiting() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.core.Waiting()
}

// Advance applies what is due by the current time: refusals, and grants to servers whose pause is over.
func (c *Controller) Advance() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.core.Advance(time.Now())
	c.countLimits()
}

// Reserve answers another router's reservation request for a server whose load this router owns.
func (c *Controller) Reserve(r reservation.Request) reservation.Answer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.core.Reserve(time.Now(), r)
}

// SetOwnedLoads sets the loads that another router puts on servers that this router owns.
func (c *Controller) SetOwnedLoads(router string, parts []reservation.ServerLoad) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for _, p := range parts {
		c.core.SetPeerLoad(now, router, p)
	}
}

// SetTotals records the total loads of servers as reported by their owners.
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

// Totals returns the total loads of servers from all routers.
func (c *Controller) Totals(servers []string) []reservation.ServerLoad {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.core.Totals(servers)
}

// TakeChanged returns those of this router's loads on servers that have changed since the last call.
func (c *Controller) TakeChanged() []reservation.ServerLoad {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.core.TakeChanged()
}

// LoadsSettled reports whether this router puts no load on any server and has no changed loads to send.
func (c *Controller) LoadsSettled() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.core.LoadsSettled()
}

// TakeNotifications returns notifications for the routers whose reservations were denied and whose servers have free
// capacity again.
func (c *Controller) TakeNotifications() []reservation.Notification {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.core.TakeNotifications(time.Now())
}

// HandleCapacityNotice records a server's free capacity and schedules waiting requests.
func (c *Controller) HandleCapacityNotice(notice reservation.CapacityNotice) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.core.HandleCapacityNotice(time.Now(), notice)
}
