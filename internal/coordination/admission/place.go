package admission

import (
	"slices"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/coordination/engineload"
	"gooseberrytide.example/gooseberrytide/internal/state/backends"
)

const (
	// rereadWeight is the weight of reading tokens again against waiting as long: it delays all that runs there.
	rereadWeight = 20.0
	// secondHomeWeight is the weight at a prompt's second home. What does not fit at the first home goes there from all
	// routers, so that the parts are read there once and then kept.
	secondHomeWeight = 10.0
	// batchPenalty is the cost of a full batch against an empty one.
	batchPenalty = 60 * time.Millisecond
	// domainPenalty is the cost of another failure domain, whose traffic is dearer.
	domainPenalty = 2 * time.Millisecond
	// patienceBase is how much worse than the best engine one with room may be at once. The wait so far is added: a
	// request waits for its best engine as long as the other would cost.
	patienceBase = 15 * time.Millisecond
)

// place is a choice of a server.
type place struct {
	server *backends.Server
	load   engineload.Load
	cached int
	cost   time.Duration
	// first is the predicted time to the first event.
	first time.Duration
}

// choose returns the best server with room for a request, or nil. It is false when no server takes requests at all. Part
// is the part of each engine's room that the request's team may fill.
func (c *Core) choose(now time.Time, w *Work, part float64) (*place, bool) {
	servers := c.servers.Of(w.Service.Name)
	parts := shared(w.Parts)
	var h homes
	if w.Service.Engine != nil {
		h = homesOf(parts, settled(servers))
	}
	var best, withRoom place
	for _, server := range servers {
		if !c.usable(now, w, server) {
			continue
		}
		p := c.evaluate(now, w, server, h)
		if best.server == nil || p.cost < best.cost {
			best = p
		}
		if room(w.Service, server, p.load, w, c.backlog(w, server, p.load), part) &&
			(withRoom.server == nil || p.cost < withRoom.cost) {
			withRoom = p
		}
	}
	if best.server == nil {
		return nil, false
	}
	if withRoom.server == nil || withRoom.cost > best.cost+patienceBase+now.Sub(w.Arrival) {
		return nil, true
	}
	return &withRoom, true
}

// settled are the servers among which the home of a prompt is looked up. Servers that are ejected for a moment stay
// in, so that homes do not move; the request then goes where it costs least.
func settled(servers []*backends.Server) []*backends.Server {
	draining := slices.ContainsFunc(servers, func(s *backends.Server) bool { return s.Draining })
	if !draining {
		return servers
	}
	return slices.DeleteFunc(slices.Clone(servers), func(s *backends.Server) bool { return s.Draining })
}

// usable reports whether a server may get the request at all.
func (c *Core) usable(now time.Time, w *Work, server *backends.Server) bool {
	return !server.Draining && !slices.Contains(w.Exclude, server.ID) && c.health[server.ID].open(now)
}

// evaluate returns what it costs to run the request on a server.
func (c *Core) evaluate(now time.Time, w *Work, server *backends.Server, h homes) place {
	p := place{server: server, load: c.loads.Of(server.ID)}
	slots := max(server.Slots, 1)
	p.cost = time.Duration(float64(batchPenalty) * float64(p.load.Running) / float64(slots))
	if server.FailureDomain != c.opts.Domain {
		p.cost += domainPenalty
	}
	if w.Service.Engine == nil {
		return p
	}
	parts := shared(w.Parts)
	p.cached = c.prefixes.cached(now, parts, server.ID)
	if server == h.first {
		p.cached = tokensOf(parts) // other routers send the prompt here, too
	}
	missing := max(w.PromptTokens-p.cached, 0)
	backlog := c.backlog(w, server, p.load)
	p.first = backlog + c.speedsOf(w.Service.Name).reading(server.ID, missing) + firstEvent
	reread := c.speedsOf(w.Service.Name).reading(server.ID, tokensOf(parts)-min(p.cached, tokensOf(parts)))
	weight := rereadWeight
	if server == h.second {
		weight = secondHomeWeight
	}
	p.cost += backlog + time.Duration(weight*float64(reread))
	return p
}

// backlog is the time that a server needs to read the prompts that it already has.
func (c *Core) backlog(w *Work, server *backends.Server, l engineload.Load) time.Duration {
	if w.Service.Engine == nil {
		return 0
	}
	return c.speedsOf(w.Service.Name).reading(server.ID, l.PendingTokens)
}
