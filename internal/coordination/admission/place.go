package admission

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"gooseberrytide.example/gooseberrytide/internal/coordination/engineload"
	"gooseberrytide.example/gooseberrytide/internal/coordination/reservation"
	"gooseberrytide.example/gooseberrytide/internal/state/backends"
)

const (
	// Weights of reading shared parts that an engine does not keep against waiting as long: reading them delays all that
	// runs there and takes memory. What no engine keeps is read at the home; what does not fit at the engines that keep it
	// goes to the homes first, so that all routers send it to the same engines.
	rereadWeight     = 20.0
	secondHomeWeight = 10.0
	firstHomeWeight  = 1.0
	newPartWeight    = 1.0
	// batchPenalty is the cost of a full batch against an empty one.
	batchPenalty = 60 * time.Millisecond
	// domainPenalty is the cost of another failure domain, whose traffic is dearer.
	domainPenalty = 2 * time.Millisecond
	// tieSpread is the largest cost by chance of a plain service's server. Routers that know the same old loads would
	// choose the same server; it is below the cost of one request at a server of six slots.
	tieSpread = 8 * time.Millisecond
	// patienceBase is how much worse than the best engine one with room may be at once. A multiple of the wait so far is
	// added, so that a request that would be refused soon takes what there is.
	patienceBase   = 15 * time.Millisecond
	patienceFactor = 1
)

// place is a choice of a server.
type place struct {
	server *backends.Server
	load   engineload.Load
	cached int
	cost   time.Duration
	// limits bound the load beside which the server may get the request.
	limits reservation.Limits
	// first is the predicted time to the first event.
	first time.Duration
}

// choose returns the best server with room for a request, or nil. It is false when no server takes requests at all. Part
// is the part of each engine's room that the request's team may fill.
func (c *Core) choose(now time.Time, w *Work, part float64) (*place, bool) {
	servers := c.servers.ByService(w.Service.Name)
	parts := shared(w.Parts)
	var h homes
	if w.Service.Engine != nil {
		h = homesOf(parts, settled(servers))
		h.known = c.prefixes.known(now, parts)
		h.sharedTokens = tokensOf(parts)
	}
	speeds := c.speedsOf(w.Service.Name)
	var best, withRoom place
	for _, server := range servers {
		if !c.usable(now, w, server) {
			continue
		}
		p := c.evaluate(now, w, server, h, speeds)
		if best.server == nil || p.cost < best.cost {
			best = p
		}
		if withRoom.server != nil && p.cost >= withRoom.cost {
			continue
		}
		limits := limitsOf(w.Service, server, speeds.factor(server.ID), part)
		if limits.Fit(p.load, loadOf(w, p.cached)) {
			withRoom = p
			withRoom.limits = limits
		}
	}
	if best.server == nil {
		return nil, false
	}
	if withRoom.server == nil || withRoom.cost > best.cost+patienceBase+patienceFactor*now.Sub(w.Arrival) {
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
func (c *Core) evaluate(now time.Time, w *Work, server *backends.Server, h homes, speeds *speeds) place {
	p := place{server: server, load: c.loads.Of(server.ID)}
	slots := max(server.Slots, 1)
	p.cost = time.Duration(float64(batchPenalty) * float64(p.load.Running) / float64(slots))
	if server.FailureDomain != c.opts.Domain {
		p.cost += domainPenalty
	}
	if w.Service.Engine == nil {
		p.cost += time.Duration(float64(tieSpread) * spreadOf(w.ID, server.ID))
		return p
	}
	parts := shared(w.Parts)
	p.cached = c.prefixes.cached(now, parts, server.ID)
	factor := speeds.factor(server.ID)
	backlog := reading(p.load.PendingTokens, factor)
	p.first = backlog + reading(max(w.PromptTokens-p.cached, 0), factor) + firstEvent
	p.cost += backlog
	if reread := h.sharedTokens - p.cached; reread > 0 {
		p.cost += time.Duration(h.weight(server) * float64(reading(reread, factor)))
	}
	return p
}

// spreadOf returns a number from 0 to 1 that differs by request and server.
func spreadOf(request, server string) float64 {
	return float64(rendezvous(xxhash.Sum64String(request), server)>>11) / (1 << 53)
}
