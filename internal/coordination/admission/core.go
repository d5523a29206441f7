package admission

import (
	"maps"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/coordination/engineload"
	"gooseberrytide.example/gooseberrytide/internal/coordination/fairshare"
	"gooseberrytide.example/gooseberrytide/internal/coordination/reservation"
	"gooseberrytide.example/gooseberrytide/internal/state/backends"
	"gooseberrytide.example/gooseberrytide/internal/state/relay"
)

// Options configure a Core.
type Options struct {
	// Domain is the router's failure domain.
	Domain string
	// ShareWindow is the span over which teams are owed their shares.
	ShareWindow time.Duration
	// Seed spreads the times at which refused clients return.
	Seed uint64
}

// Core holds the waiting and running requests of one router. It is not safe for concurrent use.
type Core struct {
	opts     Options
	servers  *backends.Set
	loads    *engineload.Table
	accounts *fairshare.Accounts
	prefixes *prefixIndex
	health   map[string]*health
	usual    map[string]usualErrors
	speeds   map[string]*speeds
	queues   map[string]*queue
	// waiters are the routers that were refused a place on the servers that this router owns.
	waiters *reservation.Waiters
	spread  spread
	// capacity is the rate of all model engines together, in tokens per second.
	capacity float64
	shares   shares
}

// New returns a core without servers.
func New(opts Options) *Core {
	return &Core{
		opts:     opts,
		servers:  backends.NewSet(nil),
		loads:    engineload.New(),
		accounts: fairshare.New(opts.ShareWindow),
		prefixes: newPrefixIndex(),
		health:   make(map[string]*health),
		usual:    make(map[string]usualErrors),
		speeds:   make(map[string]*speeds),
		queues:   make(map[string]*queue),
		waiters:  reservation.NewWaiters(),
		spread:   spread{state: opts.Seed | 1},
	}
}

// SetServers replaces the backend servers. What is known of a server that started anew is dropped.
func (c *Core) SetServers(now time.Time, set *backends.Set) {
	for id, before := range c.servers.All() {
		if after := set.Get(id); after == nil || !after.SameIncarnation(before) {
			delete(c.health, id)
			c.prefixes.forget(id)
		}
	}
	c.servers = set
	for _, s := range c.speeds {
		s.retain(func(id string) bool { return set.Get(id) != nil })
	}
	c.Advance(now)
}

// SetCapacity sets the rate of all model engines together, in tokens per second. 0 means that it is not known.
func (c *Core) SetCapacity(rate float64) { c.capacity = rate }

// SetPeerLoads takes another router's part of the loads on all servers.
func (c *Core) SetPeerLoads(now time.Time, router string, loads map[string]engineload.Load) {
	c.loads.SetPeer(now, router, loads)
}

// SetPeerTeams takes what teams asked of another router and got.
func (c *Core) SetPeerTeams(now time.Time, router string, teams map[string]fairshare.Part) {
	c.accounts.SetPeer(now, router, teams)
}

// SetPeerParts takes what servers keep because of another router's requests.
func (c *Core) SetPeerParts(now time.Time, notes []PartNote) {
	for _, n := range notes {
		c.prefixes.learn(now, n)
	}
}

// PartNotes returns up to n notes of what servers keep because of this router's requests. Each is returned once.
func (c *Core) PartNotes(n int) []PartNote { return c.prefixes.takeUnsent(n) }

// ForgetPeer drops a router that is gone.
func (c *Core) ForgetPeer(router string) {
	c.loads.ForgetPeer(router)
	c.accounts.ForgetPeer(router)
}

// OwnLoads returns this router's part of the loads.
func (c *Core) OwnLoads() map[string]engineload.Load { return maps.Clone(c.loads.Own()) }

// OwnTeams returns what teams asked of this router and got.
func (c *Core) OwnTeams(now time.Time) map[string]fairshare.Part {
	teams := c.accounts.Own(now)
	for _, q := range c.queues {
		if !q.engine() {
			continue
		}
		for name := range q.teams {
			p := teams[name]
			p.Waiting = true
			teams[name] = p
		}
	}
	return teams
}

// Submit takes a request. The decision may come before Submit returns.
func (c *Core) Submit(now time.Time, w Work, decide func(Verdict)) *Ticket {
	t := &Ticket{Work: w, decide: decide, state: ticketWaiting, cost: tokenCost(&w)}
	if !t.Repeat {
		c.accounts.Ask(now, w.Team, t.cost)
	}
	t.refuseAt = c.refuseAt(&t.Work)
	q := c.queue(w.Service.Name)
	c.refreshShares(now)
	if !t.Repeat && c.shares.beyond(c.shares.served[t.Team]) {
		if wait, ok := q.hopeless(now, t); ok {
			c.refuse(t, ReasonBacklog, c.spread.around(wait))
			return t
		}
	}
	q.add(t)
	if q.size == 1 {
		q.pumped = time.Time{}
	}
	c.pump(now, q)
	return t
}

// Withdraw takes back a request that has no decision yet. It reports whether it did.
func (c *Core) Withdraw(t *Ticket) bool {
	if t.state != ticketWaiting {
		return false
	}
	c.queue(t.Service.Name).remove(t)
	t.state = ticketDone
	return true
}

// Begun records the first event of a granted request: its prompt has been read.
func (c *Core) Begun(now time.Time, t *Ticket) {
	if t.state != ticketGranted || t.begun {
		return
	}
	t.begun = true
	c.loads.Remove(t.server.ID, engineload.Load{PendingTokens: t.load.PendingTokens})
	if t.Service.Engine != nil {
		c.speedsOf(t.Service.Name).observe(t.server.ID, t.load.PendingTokens+t.ahead, now.Sub(t.sentAt))
	}
	t.load.PendingTokens = 0
	c.pump(now, c.queue(t.Service.Name))
}

// Finish records the end of a granted request.
func (c *Core) Finish(now time.Time, t *Ticket, result Result) {
	if t.state != ticketGranted {
		return
	}
	t.state = ticketDone
	c.loads.Remove(t.server.ID, t.load)
	h := c.healthOf(t.server.ID)
	if t.probe {
		h.probing = false
	}
	h.note(now, result, c.usualErrors(now, t.Service.Name))
	if !t.begun && result != ResultOK {
		c.charge(now, t.Team, -t.cost)
	}
	c.pump(now, c.queue(t.Service.Name))
}

// Advance does what time alone brings: refusals, and grants after pauses.
func (c *Core) Advance(now time.Time) {
	c.loads.Expire(now)
	for _, q := range c.queues {
		c.pump(now, q)
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

func (c *Core) speedsOf(service string) *speeds {
	s := c.speeds[service]
	if s == nil {
		s = newSpeeds()
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
