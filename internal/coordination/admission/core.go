package admission

import (
	"maps"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/coordination/engineload"
	"gooseberrytide.example/gooseberrytide/internal/coordination/evacuation"
	"gooseberrytide.example/gooseberrytide/internal/coordination/fairshare"
	"gooseberrytide.example/gooseberrytide/internal/coordination/ratelimit"
	"gooseberrytide.example/gooseberrytide/internal/coordination/reservation"
	"gooseberrytide.example/gooseberrytide/internal/coordination/serverdrain"
	"gooseberrytide.example/gooseberrytide/internal/coordination/serverlimit"
	"gooseberrytide.example/gooseberrytide/internal/coordination/serverspeed"
	"gooseberrytide.example/gooseberrytide/internal/coordination/warmup"
	"gooseberrytide.example/gooseberrytide/internal/state/backends"
	"gooseberrytide.example/gooseberrytide/internal/state/relay"
)

// Options configures a Core.
type Options struct {
	// Domain is the router's failure domain.
	Domain string
	// DomainAware makes requests stay in the router's failure domain as long as that costs their callers little.
	DomainAware bool
	// ObservedLimits makes the limits of model engines, the order of a team's kinds, and refusal times follow from the
	// observed speeds of the engines instead of constants.
	ObservedLimits bool
	// ShareWindow is the time window over which each team is to receive its share.
	ShareWindow time.Duration
	// Seed seeds the jitter of the retry times of refused clients.
	Seed uint64
}

// meanAgesPerWindow is the ratio of a time window to the mean age of the service in it. Service that decays with that
// mean age as its time constant is counted for as long as in the window. With a longer one, a team that starts to send
// gets credit for the time in which it was idle, and the others get little for seconds.
const meanAgesPerWindow = 2

// Core holds the waiting and running requests of one router. It is not safe for concurrent use.
type Core struct {
	opts    Options
	servers *backends.Set
	drains  *serverdrain.Registry
	limits  *serverlimit.Registry
	warmups *warmup.Registry
	// evacuations are the failure domains whose servers get no requests.
	evacuations *evacuation.Registry
	// allocator grants the permits of the servers that this router owns, permitStates is what it knows about those of all
	// servers with a limit.
	allocator    *ratelimit.Allocator
	permitStates map[string]*permitState
	permitCounts PermitCounts
	// returns are the unused permits of other routers.
	returns []PermitReturn
	// routers is the number of live routers, this one included.
	routers  int
	loads    *engineload.Table
	accounts *fairshare.Accounts
	prefixes *prefixIndex
	health   map[string]*health
	// pauses holds until when incarnations that the store does not list want no requests.
	pauses         map[backends.Incarnation]time.Time
	meanErrorRates map[string]meanErrorRate
	speeds         map[string]*prefillSpeeds
	// models are the observed speeds of the servers by service, for services whose servers announce their load and for
	// those of model engines with Options.ObservedLimits.
	models map[string]*serverspeed.Model
	queues map[string]*queue
	// waiters are the routers whose reservations on servers owned by this router were denied.
	waiters *reservation.Waiters
	jitter  jitter
	// capacity is the total rate of all model engines, in tokens per second.
	capacity float64
	shares   shares
	// decisions counts the decisions by team since the last share report.
	decisions map[string]decisionCount
}

// New returns a core without servers.
func New(opts Options) *Core {
	return &Core{
		opts:           opts,
		servers:        backends.NewSet(nil),
		drains:         serverdrain.New(),
		limits:         serverlimit.New(),
		warmups:        warmup.New(),
		evacuations:    evacuation.New(),
		allocator:      ratelimit.NewAllocator(),
		permitStates:   make(map[string]*permitState),
		routers:        1,
		loads:          engineload.New(),
		accounts:       fairshare.New(opts.ShareWindow / meanAgesPerWindow),
		prefixes:       newPrefixIndex(),
		health:         make(map[string]*health),
		pauses:         make(map[backends.Incarnation]time.Time),
		meanErrorRates: make(map[string]meanErrorRate),
		speeds:         make(map[string]*prefillSpeeds),
		models:         make(map[string]*serverspeed.Model),
		queues:         make(map[string]*queue),
		waiters:        reservation.NewWaiters(),
		jitter:         jitter{state: opts.Seed | 1},
		decisions:      make(map[string]decisionCount),
	}
}

// SetServers replaces the backend servers. The health and the cached parts of a server that is gone or has restarted
// are dropped. What the server has said about itself is kept in case the same incarnation comes back.
func (c *Core) SetServers(now time.Time, set *backends.Set) {
	for id, before := range c.servers.All() {
		if after := set.Get(id); after == nil || !after.SameIncarnation(before) {
			c.keepPause(now, before)
			delete(c.health, id)
			delete(c.permitStates, id)
			c.allocator.Reset(id)
			c.prefixes.removeServer(id)
			c.forgetSpeed(before)
		}
	}
	c.servers = set
	c.restorePauses()
	c.drains.SetServers(now, set)
	c.limits.SetServers(set)
	c.warmups.SetServers(now, set)
	for _, s := range c.speeds {
		s.retain(func(id string) bool { return set.Get(id) != nil })
	}
	c.Advance(now)
}

// SetCapacity sets the total rate of all model engines, in tokens per second. 0 means unknown.
func (c *Core) SetCapacity(rate float64) { c.capacity = rate }

// SetPeerLoads replaces the loads that another router puts on all servers.
func (c *Core) SetPeerLoads(now time.Time, router string, loads map[string]engineload.Load) {
	c.loads.SetPeerLoads(now, router, loads)
}

// SetPeerUsage replaces the demand and the service of teams at another router.
func (c *Core) SetPeerUsage(now time.Time, router string, usage map[string]fairshare.Usage) {
	c.accounts.SetPeer(now, router, usage)
}

// AddPeerCachedParts records prompt parts that servers have cached because of another router's requests.
func (c *Core) AddPeerCachedParts(now time.Time, parts []CachedPart) {
	for _, part := range parts {
		c.prefixes.record(now, part)
	}
}

// TakeCachedParts returns up to n prompt parts that servers have cached because of this router's requests, each of them
// once.
func (c *Core) TakeCachedParts(n int) []CachedPart { return c.prefixes.takeUnsent(n) }

// ForgetPeer drops the state of a router that is gone.
func (c *Core) ForgetPeer(router string) {
	c.loads.ForgetPeer(router)
	c.accounts.ForgetPeer(router)
}

// OwnLoads returns the loads that this router puts on servers.
func (c *Core) OwnLoads() map[string]engineload.Load { return maps.Clone(c.loads.Own()) }

// OwnUsage returns the demand and the service of teams at this router. Waiting is set for the teams with queued
// requests to model engines.
func (c *Core) OwnUsage(now time.Time) map[string]fairshare.Usage {
	usage := c.accounts.Own(now)
	for team := range c.queuedByTeam() {
		u := usage[team]
		u.Waiting = true
		usage[team] = u
	}
	return usage
}

// Submit queues a request or refuses it. It may call decide before it returns.
func (c *Core) Submit(now time.Time, req Request, decide func(Decision)) *Ticket {
	t := &Ticket{Request: req, decide: decide, state: ticketWaiting, cost: tokenCost(&req)}
	if !t.Repeat {
		c.accounts.AddDemand(now, req.Team, t.cost)
	}
	t.refuseAt = c.refusalTime(&t.Request)
	q := c.queue(req.Service.Name)
	if !t.Repeat {
		q.recordArrival(t.cost)
	}
	observed := c.prepareObserved(now, q, t)
	if observed && exceedsMemory(&t.Request) {
		c.refuse(t, ReasonTooLarge, maxRetryAfter)
		return t
	}
	c.refreshShares(now)
	if c.allEvacuated(t.Service.Name) {
		c.refuse(t, ReasonEvacuated, c.jitter.around(evacuatedRetryAfter))
		return t
	}
	if wait, ok := c.waitsTooLong(now, q, t); ok {
		c.refuse(t, ReasonBacklog, c.jitter.around(wait))
		return t
	}
	q.add(t)
	if q.size == 1 {
		q.lastScan = time.Time{}
	}
	c.dispatch(now, q)
	return t
}

// RecordRefused counts a request that the router refused without submitting it, so that the team's demand is known in
// the fleet.
func (c *Core) RecordRefused(now time.Time, req *Request) {
	c.accounts.AddDemand(now, req.Team, tokenCost(req))
	c.countDecision(req, decisionCount{refused: 1})
}

// Withdraw removes a request that still waits for a decision. It returns false if the request does not wait.
func (c *Core) Withdraw(t *Ticket) bool {
	if t.state != ticketWaiting {
		return false
	}
	c.queue(t.Service.Name).remove(t)
	t.state = ticketDone
	return true
}

// RecordEvent records an event of a granted request. The first one shows that its prefill is done. Any event shows that
// a server which was quiet has resumed.
func (c *Core) RecordEvent(now time.Time, t *Ticket) {
	if t.state != ticketGranted {
		return
	}
	c.recordResumed(now, t)
	c.observeEvent(now, t)
	c.warmups.RecordResponse(now, t.server)
	if t.firstEventSeen {
		return
	}
	t.firstEventSeen = true
	c.loads.Remove(t.server.ID, engineload.Load{PendingTokens: t.load.PendingTokens})
	if t.Service.Engine != nil {
		c.speedsOf(t.Service.Name).observe(t.server.ID, t.load.PendingTokens+t.tokensAhead, now.Sub(t.sentAt))
	}
	t.load.PendingTokens = 0
	c.dispatch(now, c.queue(t.Service.Name))
}

// RecordQuiet records that the server of a granted request has sent nothing for too long. The request goes on, but the
// server's health counts it as a failure, so that a lost server gets no further requests.
func (c *Core) RecordQuiet(now time.Time, t *Ticket) {
	if t.state != ticketGranted || t.quiet {
		return
	}
	t.quiet = true
	h := c.healthOf(t.server.ID)
	c.endProbe(h, t)
	h.recordQuiet(now)
}

// recordResumed records that a quiet server of a request has resumed.
func (c *Core) recordResumed(now time.Time, t *Ticket) {
	if t.quiet {
		t.quiet = false
		c.healthOf(t.server.ID).recordResumed(now)
	}
}

// endProbe lets another request probe the server if this one is its probe.
func (c *Core) endProbe(h *health, t *Ticket) {
	if t.probe {
		h.probing, t.probe = false, false
	}
}

// Finish records the result of a granted request. If it failed before its first event, the team is not charged for it.
func (c *Core) Finish(now time.Time, t *Ticket, result Result) {
	if t.state != ticketGranted {
		return
	}
	t.state = ticketDone
	c.endPermitRequest(t)
	c.returnPermit(now, t)
	c.loads.Remove(t.server.ID, t.load)
	c.observeFinish(now, t, result)
	h := c.healthOf(t.server.ID)
	c.endProbe(h, t)
	if result == ResultOK {
		c.recordResumed(now, t)
		c.warmups.RecordResponse(now, t.server)
	}
	if !t.quiet || result != ResultBroken {
		h.record(now, result, c.meanErrorRate(now, t.Service.Name))
	}
	if !t.firstEventSeen && result != ResultOK {
		c.charge(now, t.Team, -t.cost)
	}
	c.dispatch(now, c.queue(t.Service.Name))
}

// ForgetCache records that a server has ended and has lost its cached parts.
func (c *Core) ForgetCache(server string) { c.prefixes.removeServer(server) }

// Advance applies what is due by the given time: refusals, and grants to servers whose pause is over.
func (c *Core) Advance(now time.Time) {
	c.loads.Expire(now)
	c.limits.Expire(now)
	c.expirePauses(now)
	c.warmups.Expire(now)
	c.expirePermitStates(now)
	for _, q := range c.queues {
		c.dispatch(now, q)
	}
}

// Waiting returns the number of waiting requests.
func (c *Core) Waiting() int {
	n := 0
	for _, q := range c.queues {
		n += q.size
	}
	return n
}

func (c *Core) queue(service string) *queue {
	q := c.queues[service]
	if q == nil {
		q = newQueue()
		c.queues[service] = q
	}
	return q
}

func (c *Core) speedsOf(service string) *prefillSpeeds {
	s := c.speeds[service]
	if s == nil {
		s = newPrefillSpeeds()
		c.speeds[service] = s
	}
	return s
}

func (c *Core) healthOf(server string) *health {
	h := c.health[server]
	if h == nil {
		h = &health{}
		c.health[server] = h
	}
	return h
}

func tokensOf(parts []relay.PromptPart) int {
	n := 0
	for _, part := range parts {
		n += part.Tokens
	}
	return n
}
