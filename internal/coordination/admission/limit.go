package admission

import (
	"time"

	"gooseberrytide.example/gooseberrytide/internal/coordination/ratelimit"
	"gooseberrytide.example/gooseberrytide/internal/coordination/reservation"
	"gooseberrytide.example/gooseberrytide/internal/coordination/serverlimit"
	"gooseberrytide.example/gooseberrytide/internal/state/backends"
)

const (
	// unansweredHold is how long a server with a limit gets no requests from this router after its owner has not answered.
	unansweredHold = 100 * time.Millisecond
	// permitRequestTime is how long a permit takes to be asked for.
	permitRequestTime = 5 * time.Millisecond
	// requestsAhead is the time for which this router may have permits of one server requested at once, at the server's
	// rate. It is about the time that an answer takes.
	requestsAhead = 50 * time.Millisecond
	// maxReturnTime bounds the time after which a client may retry that was refused because of limits.
	maxReturnTime = 5 * time.Second
)

// permit is the right to send one request to a server with a limit.
type permit struct {
	// owner is the router that granted it. It is empty if this router did.
	owner string
	// until is when the permit lapses, on a clock that includes suspension. 0 means that there is no permit.
	until time.Duration
}

func newPermit(owner string, now time.Duration) permit {
	return permit{owner: owner, until: now + ratelimit.Lifetime}
}

// held reports whether there is a permit, which may have lapsed.
func (p permit) held() bool { return p.until > 0 }

// valid reports whether there is a permit that has not lapsed.
func (p permit) valid(now time.Duration) bool { return p.held() && now < p.until }

// permitState is what this router knows about the permits of one server.
type permitState struct {
	// heldBack is the time until which no permit is asked for. yieldingHeldBack is that time for teams that yield.
	heldBack, yieldingHeldBack time.Time
	// requested is the number of granted requests whose permits are being asked for.
	requested int
}

// PermitCounts counts what became of the permits that this router asked for.
type PermitCounts struct {
	Granted, Denied, Unanswered, Lapsed, Returned int64
}

// heldBackFor returns the time until which no permit is asked for, for a team that yields or one that does not.
func (s *permitState) heldBackFor(yields bool) time.Time {
	if yields {
		return later(s.heldBack, s.yieldingHeldBack)
	}
	return s.heldBack
}

// mayRequestPermit reports whether a server has no limit, or a permit may be asked for now, for a team that yields or one
// that does not. The owner of the server may know of a limit that this router does not know of.
func (c *Core) mayRequestPermit(now time.Time, server string, yields bool) bool {
	s := c.permitStates[server]
	if s == nil {
		return true
	}
	if now.Before(s.heldBackFor(yields)) {
		return false
	}
	rate, limited := c.rate(now, server)
	return !limited || s.requested < 1+int(rate*requestsAhead.Seconds())
}

// expirePermitStates drops the states that hold nothing back.
func (c *Core) expirePermitStates(now time.Time) {
	for server, s := range c.permitStates {
		if s.requested == 0 && !now.Before(s.heldBackFor(true)) {
			delete(c.permitStates, server)
		}
	}
}

// permitStateOf returns what is known about the permits of a server.
func (c *Core) permitStateOf(server string) *permitState {
	s := c.permitStates[server]
	if s == nil {
		s = &permitState{}
		c.permitStates[server] = s
	}
	return s
}

// beginPermitRequest records that a permit for a granted request is to be asked for, if its server has a limit.
func (c *Core) beginPermitRequest(now time.Time, t *Ticket) {
	t.permit = permit{}
	if _, limited := c.rate(now, t.server.ID); !limited {
		return
	}
	t.requestsPermit = true
	t.yields = c.yields(&t.Request)
	c.permitStateOf(t.server.ID).requested++
}

// endPermitRequest records that no permit is asked for any more.
func (c *Core) endPermitRequest(t *Ticket) {
	if !t.requestsPermit {
		return
	}
	t.requestsPermit = false
	if s := c.permitStates[t.server.ID]; s != nil && s.requested > 0 {
		s.requested--
	}
}

// holdBack makes this router ask for no permit of a server for d.
func (c *Core) holdBack(now time.Time, server string, d time.Duration) {
	s := c.permitStateOf(server)
	s.heldBack = later(s.heldBack, now.Add(d))
}

// holdBackYielding makes this router ask for no permit of a server for d for teams that yield.
func (c *Core) holdBackYielding(now time.Time, server string, d time.Duration) {
	s := c.permitStateOf(server)
	s.yieldingHeldBack = later(s.yieldingHeldBack, now.Add(d))
}

// acquirePermit applies an owner's answer to a granted request whose server has a limit. It reports whether the request
// has a permit. clock is the time on a clock that includes suspension.
func (c *Core) acquirePermit(now time.Time, clock time.Duration, t *Ticket, a reservation.Answer, o reservation.Outcome) bool {
	server := t.server.ID
	switch {
	case o == reservation.Local:
		granted, retryIn := c.takePermit(now, server, t.yields)
		a = reservation.Answer{Granted: granted, RetryIn: retryIn}
	case o == reservation.Unanswered:
		c.permitCounts.Unanswered++
		c.holdBack(now, server, unansweredHold)
		return false
	case !a.Limited && a.Granted:
		// The owner does not know of the limit. It is told of it now.
		a = reservation.Answer{RetryIn: unansweredHold}
	}
	if a.Granted {
		c.permitCounts.Granted++
		c.queue(t.Service.Name).permits.add(now, 1)
		t.permit = newPermit(a.Owner, clock)
		return true
	}
	c.permitCounts.Denied++
	if t.yields {
		c.holdBackYielding(now, server, a.RetryIn)
	} else {
		c.holdBack(now, server, a.RetryIn)
	}
	return false
}

// takePermit grants a permit as the owner of a server, to a team that yields or one that does not. If it denies one, it
// returns the time after which the router may ask again.
func (c *Core) takePermit(now time.Time, server string, yields bool) (granted bool, retryIn time.Duration) {
	if s := c.servers.Get(server); s != nil && c.evacuated(s) {
		return false, unansweredHold // the asking router has not heard of the evacuation yet
	}
	rate, limited := c.rate(now, server)
	if !limited {
		return true, 0
	}
	return c.allocator.Take(now, server, rate, yields)
}

// returnPermit gives back the permit of a request that has not been sent.
func (c *Core) returnPermit(now time.Time, t *Ticket) {
	if !t.permit.held() || t.sent {
		return
	}
	c.permitCounts.Returned++
	if t.permit.owner == "" {
		c.takeBackPermits(now, t.server.ID, 1)
	} else {
		c.returns = append(c.returns, PermitReturn{Owner: t.permit.owner, Message: reservation.PermitReturn{
			Server: t.server.ID, StartedAt: t.server.StartedAt, Count: 1,
		}})
	}
	t.permit = permit{}
}

// PermitReturn is an unused permit that is to be given back to the router that granted it.
type PermitReturn struct {
	Owner   string
	Message reservation.PermitReturn
}

// TakeReturns returns the permits to give back since the last call.
func (c *Core) TakeReturns() []PermitReturn {
	returns := c.returns
	c.returns = nil
	return returns
}

// takeBackPermits takes back unused permits that this router granted.
func (c *Core) takeBackPermits(now time.Time, server string, count int) {
	rate, limited := c.rate(now, server)
	for range count {
		if limited {
			c.allocator.Return(now, server, rate)
		}
	}
}

// maxReturned bounds the permits that one message gives back.
const maxReturned = 16

// ReceiveReturn takes back the permits that another router has not used.
func (c *Core) ReceiveReturn(now time.Time, m reservation.PermitReturn) {
	if server := c.servers.Get(m.Server); server != nil && server.StartedAt == m.StartedAt {
		c.takeBackPermits(now, m.Server, min(m.Count, maxReturned))
	}
}

// GrantPermit answers another router's request for a permit of a server that this router owns.
func (c *Core) GrantPermit(now time.Time, r reservation.PermitRequest) (reservation.PermitAnswer, serverlimit.Change) {
	change := c.limits.Merge(now, r.Limit)
	answer := reservation.PermitAnswer{ID: r.ID}
	server := c.servers.Get(r.Limit.Server)
	if server == nil || server.StartedAt != r.Limit.StartedAt {
		answer.RetryMS = unansweredHold.Milliseconds()
		return answer, change
	}
	if _, limited := c.rate(now, server.ID); !limited && r.Limit.NamesNone() {
		// The asking router knows that the server is cold and this one does not yet. The router tells it.
		answer.RetryMS, answer.Limit = unansweredHold.Milliseconds(), c.limitEntry(now, server)
		return answer, change
	}
	granted, retryIn := c.takePermit(now, server.ID, r.Yields)
	answer.Granted, answer.RetryMS = granted, ceilMilliseconds(retryIn)
	answer.Limit = c.limitEntry(now, server)
	return answer, change
}

// LimitAnswer returns the answer to a reservation request for a server with a limit.
func (c *Core) LimitAnswer(now time.Time, server string, a reservation.Answer) reservation.PermitAnswer {
	answer := reservation.PermitAnswer{ID: a.ID, Granted: a.Granted, RetryMS: ceilMilliseconds(a.RetryIn), Total: a.Total}
	if s := c.servers.Get(server); s != nil {
		answer.Limit = c.limitEntry(now, s)
	}
	return answer
}

func ceilMilliseconds(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}

// LimitChange is a change of a server's limit that another router has told.
type LimitChange struct {
	Server *backends.Server
	Change serverlimit.Change
	Rate   float64
}

// MergeLimits records what another router knows of limits. It returns the changes.
func (c *Core) MergeLimits(now time.Time, entries []serverlimit.Entry) []LimitChange {
	var changes []LimitChange
	for _, e := range entries {
		if change := c.limits.Merge(now, e); change != serverlimit.Unchanged {
			changes = append(changes, LimitChange{Server: c.servers.Get(e.Server), Change: change, Rate: e.Rate})
		}
	}
	return changes
}

// LimitEntries returns what is known of the limits of servers.
func (c *Core) LimitEntries(now time.Time, servers []string) []serverlimit.Entry {
	return c.limits.Entries(now, servers)
}

// LimitEntry returns what is known of a server's limit. It returns false if the server has neither a limit nor a warm-up.
func (c *Core) LimitEntry(now time.Time, server string) (serverlimit.Entry, bool) {
	known := c.servers.Get(server)
	if known == nil {
		return serverlimit.Entry{}, false
	}
	if _, limited := c.limits.Rate(now, server); limited {
		return c.limits.Entry(now, server)
	}
	_, cold := c.warmups.Rate(now, server)
	return serverlimit.NoLimit(known), cold
}

// limitEntry returns what is known of the limit of a server that may have none.
func (c *Core) limitEntry(now time.Time, server *backends.Server) serverlimit.Entry {
	if entry, named := c.limits.Entry(now, server.ID); named {
		return entry
	}
	return serverlimit.NoLimit(server)
}

// SetFleet sets the number of live routers, this one included, and the fraction of the limits that this router may grant
// as an owner.
func (c *Core) SetFleet(routers int, share float64) {
	c.routers = max(routers, 1)
	c.allocator.SetShare(share)
}

// LimitStatus describes the limit of a server and its use.
type LimitStatus struct {
	serverlimit.Status
	// Rate is the rate in force, in requests per second. It differs from the limit named if that is near 0.
	Rate float64
	// Used is the recent rate of permits, in requests per second, if this router has granted them.
	Used float64
}

// Limits returns the limits in force.
func (c *Core) Limits(now time.Time) []LimitStatus {
	list := c.limits.List(now)
	statuses := make([]LimitStatus, len(list))
	for i, s := range list {
		rate, _ := c.rate(now, s.Server)
		statuses[i] = LimitStatus{Status: s, Rate: rate, Used: c.allocator.Used(now, s.Server)}
	}
	return statuses
}

// returnAfter returns the time after which a client may retry whose request was refused because the servers of its
// service have limits. The clients of all routers return at the rate that the servers take: each refusal takes the next
// place in this router's part of that rate.
func (c *Core) returnAfter(now time.Time, q *queue, service string, opensIn time.Duration) time.Duration {
	rate := 0.0
	for _, server := range c.servers.ByService(service) {
		if r, limited := c.rate(now, server.ID); limited {
			rate += r
		}
	}
	own := max(rate/float64(c.routers), q.permits.current(now), serverlimit.TrialRate)
	interval := time.Duration(float64(time.Second) / own)
	at := later(q.lastReturn, now.Add(max(opensIn, 0))).Add(interval)
	if latest := now.Add(maxReturnTime); at.After(latest) {
		return c.jitter.above(maxReturnTime)
	}
	q.lastReturn = at
	return max(at.Sub(now), minRetryAfter)
}
