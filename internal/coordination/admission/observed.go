package admission

import (
	"math"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/coordination/reservation"
	"gooseberrytide.example/gooseberrytide/internal/coordination/serverspeed"
	"gooseberrytide.example/gooseberrytide/internal/state/backends"
	"gooseberrytide.example/gooseberrytide/internal/state/relay"
	"gooseberrytide.example/gooseberrytide/internal/state/routing"
)

const (
	// backlogFraction is the fraction of the shortest objective of a service that the prefill queued at an engine may take.
	backlogFraction = 0.4
	// maxObservedBacklog bounds that prefill for services with long objectives. Requests in an engine's queue are served in
	// order of arrival, so a long one would undo the shares of teams.
	maxObservedBacklog = 500 * time.Millisecond
	// observedSendReserve is the part of the objective that is reserved for the messages to the owner of a server's load,
	// for the transfer to the server, and for what other routers send there meanwhile.
	observedSendReserve = 80 * time.Millisecond
	// observedMemoryFill is the fraction of an engine's memory that the requests on it may fill if each of them has the most
	// output that it may have.
	observedMemoryFill = 0.95
	// fastPrefillRate, in prompt tokens per millisecond, is the rate above which cached parts do not lose value.
	fastPrefillRate = 90.0
	// boundWindow is how long the bound that a request names counts for the other requests of its service.
	boundWindow = 10 * time.Second
)

// serviceBounds are the strictest bounds of the recent requests of a service. 0 means that there is none.
type serviceBounds struct {
	current, previous requestBounds
	since             time.Time
}

// requestBounds are the bounds that the requests of a route name.
type requestBounds struct{ objective, maxPause time.Duration }

// record adds the bounds of a request. Bounds that no request has named for a while are dropped.
func (b *serviceBounds) record(now time.Time, req *Request) {
	if now.Sub(b.since) >= boundWindow {
		b.previous, b.current, b.since = b.current, requestBounds{}, now
	}
	b.current.objective = strictest(b.current.objective, req.Objective)
	b.current.maxPause = strictest(b.current.maxPause, req.MaxPause)
}

// strictest returns the strictest bounds of the current and the previous window.
func (b *serviceBounds) strictest() requestBounds {
	return requestBounds{
		objective: strictest(b.current.objective, b.previous.objective),
		maxPause:  strictest(b.current.maxPause, b.previous.maxPause),
	}
}

// strictest returns the shorter one of two bounds, of which 0 means none.
func strictest(a, b time.Duration) time.Duration {
	if a <= 0 || b > 0 && b < a {
		return b
	}
	return a
}

// speedModel returns the speeds by which the requests of a service are scheduled, or nil if it is scheduled by constants.
// A service of model engines is scheduled by observed speeds only with Options.ObservedLimits, a plain service if its
// servers announce their pace.
func (c *Core) speedModel(service *routing.Service) *serverspeed.Model {
	if service.Engine != nil {
		if !c.opts.ObservedLimits {
			return nil
		}
		return c.modelOf(service.Name)
	}
	if m := c.models[service.Name]; m != nil && m.Paced() {
		return m
	}
	return nil
}

// modelOf returns the model of a service's servers, which it creates if there is none.
func (c *Core) modelOf(service string) *serverspeed.Model {
	m := c.models[service]
	if m == nil {
		m = serverspeed.New()
		c.models[service] = m
	}
	return m
}

// announceLoad records the load and the pace that a server announces. It reports whether the servers of its service count
// as announcing their pace from this announcement on.
func (c *Core) announceLoad(now time.Time, server *backends.Server, a serverspeed.Announcement) bool {
	if a.Slots == 0 || c.servers.Get(server.ID) == nil {
		return false
	}
	m := c.modelOf(server.Service)
	before := m.Paced()
	m.Announce(now, server.ID, a, c.loads.Own()[server.ID].Running)
	return !before && m.Paced()
}

// observeEvent records what an event of a stream shows about the speed of its server.
func (c *Core) observeEvent(now time.Time, t *Ticket) {
	m := c.speedModel(t.Service)
	if m == nil || t.Service.Engine == nil || c.servers.Get(t.server.ID) == nil {
		return
	}
	if !t.firstEventSeen {
		m.ObserveFirstEvent(now, t.server.ID, t.load.PendingTokens+t.tokensAhead, now.Sub(t.sentAt))
	} else if !t.lastEvent.IsZero() {
		m.ObservePause(now, t.server.ID, c.loads.Total(t.server.ID).Running, now.Sub(t.lastEvent))
	}
	t.lastEvent = now
}

// observeFinish records what the end of a request to a plain service shows about the speed of its server.
func (c *Core) observeFinish(now time.Time, t *Ticket, result Result) {
	m := c.speedModel(t.Service)
	if m == nil || t.Service.Engine != nil || result != ResultOK || c.servers.Get(t.server.ID) == nil {
		return
	}
	m.ObserveWork(now, t.server.ID, t.runningAhead+1, t.server.Slots, now.Sub(t.sentAt))
}

// evaluation compares the servers of a service for one request.
type evaluation struct {
	core      *Core
	now       time.Time
	req       *Request
	queue     *queue
	preferred preferredEngines
	// fraction is the fraction of an engine's capacity that the request's team may fill.
	fraction float64
	speeds   *prefillSpeeds
	// observed is set if the service is scheduled by observed speeds. view then shows those of its servers, and speed is that
	// of the server that was evaluated last.
	observed bool
	view     serverspeed.View
	speed    serverspeed.Speed
	bounds   requestBounds
}

func (c *Core) newEvaluation(now time.Time, req *Request, preferred preferredEngines, fraction float64) *evaluation {
	e := &evaluation{
		core: c, now: now, req: req, queue: c.queue(req.Service.Name), preferred: preferred, fraction: fraction,
		speeds: c.speedsOf(req.Service.Name),
	}
	if m := c.speedModel(req.Service); m != nil {
		e.observed, e.view, e.bounds = true, m.At(now), e.queue.bounds.strictest()
	}
	return e
}

// evaluate sets the placement of the request on a server with its cost, without limits.
func (e *evaluation) evaluate(server *backends.Server, p *placement) {
	if !e.observed {
		e.core.evaluate(e.now, e.req, server, &e.preferred, e.speeds, p)
		return
	}
	e.view.SetServer(server.ID, &e.speed)
	e.core.evaluateObserved(e.now, e.req, server, &e.preferred, &e.speed, p)
}

// uncachedCost returns the cost of prefilling shared parts that an engine has not cached. Engines that prefill fast count as
// engines of fastPrefillRate, since parts also take memory from others.
func uncachedCost(tokens int, weight float64, speed *serverspeed.Speed) time.Duration {
	atLeast := time.Duration(float64(tokens) / fastPrefillRate * float64(time.Millisecond))
	return time.Duration(weight * float64(max(speed.PrefillTime(tokens), atLeast)))
}

// limits returns the limits of the server that was evaluated last.
func (e *evaluation) limits(p *placement) reservation.Limits {
	if !e.observed {
		return limitsOf(e.req.Service, p.server, e.speeds.slowdownOf(p.server.ID), e.fraction)
	}
	limits := observedLimits(e.req.Service, p.server, &e.speed, e.bounds, e.fraction)
	e.limitBacklog(p, &limits)
	return limits
}

// evaluateObserved sets the placement of a request on a server by its observed speed, with its cost and without limits.
// The cost is the expected time to the first event or the response, so that a server in a slow moment is avoided. It
// answers the load pattern of servers that share their machines: their speed changes many times a second.
func (c *Core) evaluateObserved(
	now time.Time, req *Request, server *backends.Server, preferred *preferredEngines, speed *serverspeed.Speed, p *placement,
) {
	*p = placement{server: server, load: c.loads.Total(server.ID)}
	slots := max(server.Slots, 1)
	requests := p.load.Running
	if speed.LoadKnown() {
		requests = max(requests, speed.Requests(c.loads.Own()[server.ID].Running))
	}
	p.cost = c.locationCost(req, server, p.load)
	if req.Service.Engine == nil {
		p.firstEvent = speed.ResponseTime(requests, slots)
		p.cost += p.firstEvent + speed.Work()*time.Duration(requests)/time.Duration(slots)
		p.cost += time.Duration(float64(maxTieBreak) * tieBreak(req.ID, server.ID))
		return
	}
	p.cachedTokens = c.prefixes.cachedTokens(now, relay.SharedParts(req.Parts), server.ID)
	backlog := speed.PrefillTime(p.load.PendingTokens)
	p.firstEvent = backlog + speed.PrefillTime(max(req.PromptTokens-p.cachedTokens, 0)) + speed.Delay()
	p.cost += time.Duration(float64(batchPenalty) * float64(requests) / float64(slots))
	p.cost += backlog + speed.Delay() + speed.PrefillTime(max(req.PromptTokens-preferred.sharedTokens, 0))
	if uncached := preferred.sharedTokens - p.cachedTokens; uncached > 0 {
		p.cost += uncachedCost(uncached, preferred.weight(server), speed)
	}
	p.permitCost = c.permitCost(now, req, server)
	p.cost += p.permitCost
}

// observedLimits returns the limits of a server by its observed speed, before any request's own. fraction is the fraction of
// an engine's capacity that may be filled. An engine may run as many requests as pauses permit, and may have as much
// prefill queued as first events can wait for.
func observedLimits(
	service *routing.Service, server *backends.Server, speed *serverspeed.Speed, bounds requestBounds, fraction float64,
) reservation.Limits {
	slots := server.Slots
	if slots == 0 {
		slots = defaultSlots
	}
	if service.Engine == nil {
		return reservation.Limits{Running: speed.MaxRequests(slots, bounds.objective), PendingTokens: -1}
	}
	running, known := speed.MaxRunning(slots, bounds.maxPause)
	if !known {
		running = int(maxBatchFill * float64(slots))
	}
	backlog := maxPrefillBacklog
	if bounds.objective > 0 {
		backlog = min(time.Duration(backlogFraction*float64(bounds.objective)), maxObservedBacklog)
	}
	return reservation.Limits{
		Running:       max(int(fraction*float64(running)), 1),
		PendingTokens: max(speed.PrefillTokens(time.Duration(fraction*float64(backlog))), 1),
		ContextTokens: int(observedMemoryFill * float64(service.Engine.CacheTokens)),
	}
}

// limitBacklog lowers the bound of the queued prefill to what leaves a request its objective. A request whose objective
// cannot be met by an idle engine keeps the bound.
func (e *evaluation) limitBacklog(p *placement, limits *reservation.Limits) {
	own := p.firstEvent - e.speed.PrefillTime(p.load.PendingTokens)
	if e.req.Service.Engine == nil || e.req.Objective <= own {
		return
	}
	left := e.req.Objective - e.now.Sub(e.req.Arrival) - own
	limits.PendingTokens = min(limits.PendingTokens, max(e.speed.PrefillTokens(left), 1))
}

// observedReserve returns the part of a request's objective that it needs after its grant: for an idle server of the mean
// speed.
func observedReserve(req *Request, m *serverspeed.Model) time.Duration {
	speed := m.Mean()
	if req.Service.Engine == nil {
		return observedSendReserve + speed.ResponseTime(0, 1)
	}
	return observedSendReserve + speed.PrefillTime(ownTokens(req)) + speed.Delay()
}

// prepareObserved records the bounds and the demand of a new request. It reports whether its service is scheduled by observed
// speeds.
func (c *Core) prepareObserved(now time.Time, q *queue, t *Ticket) bool {
	q.observed = c.speedModel(t.Service) != nil
	if !q.observed {
		return false
	}
	q.bounds.record(now, &t.Request)
	if !t.Repeat {
		q.recordAsked(now, t)
	}
	return true
}

// forgetSpeed drops the observed speed of a server that is gone or has restarted.
func (c *Core) forgetSpeed(server *backends.Server) {
	if m := c.models[server.Service]; m != nil {
		m.Forget(server.ID)
	}
}

// maxTokens bounds the sizes that clients declare, so that sums do not overflow.
const maxTokens = math.MaxInt / 4

// exceedsMemory reports whether a request is larger than the memory of an engine, which would crash.
func exceedsMemory(req *Request) bool {
	if req.Service.Engine == nil || req.Service.Engine.CacheTokens <= 0 {
		return false
	}
	return min(req.PromptTokens, maxTokens)+min(req.OutputTokens, maxTokens) > req.Service.Engine.CacheTokens
}

// contextTokens returns the most tokens that a request may hold in an engine's memory. An estimate that is too low would
// let an engine run out of memory.
func contextTokens(req *Request) int {
	tokens := min(req.PromptTokens, maxTokens) + min(max(req.OutputTokens, req.MaxOutputTokens), maxTokens)
	if memory := req.Service.Engine.CacheTokens; memory > 0 {
		return min(tokens, memory)
	}
	return tokens
}

// SpeedStatus describes the observed speed of the servers of one service that is scheduled by it.
type SpeedStatus struct {
	Service string
	// Pace is the mean pace, relative to the usual one.
	Pace float64
	// PrefillRate is the number of prompt tokens per millisecond at the usual pace.
	PrefillRate float64
	// Pause is the mean pause between two events with all slots in use. It is 0 if it is not known.
	Pause time.Duration
	// MaxRunning is the number of requests that a server may run.
	MaxRunning int
}

// Speeds returns the speeds of the services that are scheduled by them.
func (c *Core) Speeds() []SpeedStatus {
	var list []SpeedStatus
	for name := range c.models {
		servers, q := c.servers.ByService(name), c.queues[name]
		if len(servers) == 0 || q == nil || q.service == nil {
			continue
		}
		m := c.speedModel(q.service)
		if m == nil {
			continue
		}
		speed := m.Mean()
		status := SpeedStatus{Service: name, Pace: speed.Pace, PrefillRate: speed.PrefillRate() * speed.Pace}
		status.Pause, _ = speed.Pause(servers[0].Slots)
		status.MaxRunning = observedLimits(q.service, servers[0], &speed, q.bounds.strictest(), 1).Running
		list = append(list, status)
	}
	return list
}
