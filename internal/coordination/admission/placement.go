package admission

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"gooseberrytide.example/gooseberrytide/internal/coordination/engineload"
	"gooseberrytide.example/gooseberrytide/internal/coordination/reservation"
	"gooseberrytide.example/gooseberrytide/internal/state/backends"
	"gooseberrytide.example/gooseberrytide/internal/state/relay"
)

const (
	// Weights of the time to prefill shared parts that an engine has not cached, relative to waiting for as long. The
	// prefill delays all requests on the engine and takes memory. Shared parts that no engine has cached are prefilled
	// at the first preferred engine. Requests that do not fit at the engines that have cached their parts go to the
	// preferred engines next, so that all routers send them to the same engines.
	uncachedWeight     = 20.0
	secondChoiceWeight = 10.0
	firstChoiceWeight  = 1.0
	newPrefixWeight    = 1.0
	// batchPenalty is the cost of a full batch relative to an empty one.
	batchPenalty = 60 * time.Millisecond
	// domainPenalty is the cost of a server in another failure domain, since traffic between domains is more expensive.
	domainPenalty = 2 * time.Millisecond
	// domainFraction is the fraction of a request's objective by which a server in another failure domain must be better, if
	// requests are to stay in their domain. A request whose domain is short of capacity goes to another one within its
	// objective.
	domainFraction = 0.1
	// isolationCost is the cost, for an isolated request, of each other request on the server. It exceeds all other costs.
	// A pseudo-random part of it is added for the server itself: routers that sent their trials of one moment to the engine
	// that they all prefer for a prompt would learn nothing from its crash.
	isolationCost = 10 * time.Second
	// maxPermitCost is the cost, for a small request, of using a permit of a server with a limit of requests a second. The
	// places of such a server are scarce in requests and not in tokens, so they are for the large ones.
	maxPermitCost = 400 * time.Millisecond
	// maxTieBreak bounds the pseudo-random cost that is added for a server of a plain service, so that routers with the
	// same outdated loads do not all choose the same server. It is below the cost of one request at a server with six
	// slots.
	maxTieBreak = 8 * time.Millisecond
	// maxExtraCost is how much more than the best server a server with free capacity may cost for a request that has
	// not waited. extraCostPerWait times the wait so far is added, so that a request close to its refusal takes any
	// free server.
	maxExtraCost     = 15 * time.Millisecond
	extraCostPerWait = 1
)

// placement is a candidate server for a request.
type placement struct {
	server       *backends.Server
	load         engineload.Load
	cachedTokens int
	cost         time.Duration
	// permitCost is the part of cost that stands for the use of a permit.
	permitCost time.Duration
	// limits are the load limits of the server for the request.
	limits reservation.Limits
	// firstEvent is the predicted time from the send to the first event.
	firstEvent time.Duration
}

// choose returns the best server with free capacity for a request, or nil if there is none or if waiting for a better
// one costs less. It returns false if no server takes requests at all. fraction is the fraction of each engine's
// capacity that the request's team may fill.
func (c *Core) choose(now time.Time, req *Request, fraction float64) (*placement, bool) {
	servers := c.servers.ByService(req.Service.Name)
	parts := relay.SharedParts(req.Parts)
	var preferred preferredEngines
	if req.Service.Engine != nil {
		preferred = preferredEnginesFor(parts, c.withoutExcluded(servers))
		preferred.cachedAnywhere = c.prefixes.cachedAnywhere(now, parts)
		preferred.sharedTokens = tokensOf(parts)
	}
	e := c.newEvaluation(now, req, preferred, fraction)
	yields := c.yields(req)
	var p, best, bestFree placement
	for _, server := range servers {
		if !c.usable(now, req, server, yields) {
			continue
		}
		e.evaluate(server, &p)
		if best.server == nil || p.cost < best.cost {
			best = p
		}
		if bestFree.server != nil && p.cost >= bestFree.cost {
			continue
		}
		limits := e.limits(&p)
		limits.Running = min(limits.Running, c.health[server.ID].reopenLimit(now))
		if limits.Fit(p.load, e.queue.loadOf(req, p.cachedTokens)) {
			bestFree = p
			bestFree.limits = limits
		}
	}
	if best.server == nil {
		return nil, false
	}
	// A permit that is free is not left unused: its cost only decides between servers with free capacity.
	if bestFree.server == nil || bestFree.cost-bestFree.permitCost > best.cost+maxExtraCost+extraCostPerWait*now.Sub(req.Arrival) {
		return nil, true
	}
	return &bestFree, true
}

// withoutExcluded returns the servers from which the preferred engines of a prompt are chosen. Ejected servers stay in,
// so that the preferred engines do not change during an ejection; meanwhile the request goes to the cheapest server.
func (c *Core) withoutExcluded(servers []*backends.Server) []*backends.Server {
	if !slices.ContainsFunc(servers, c.excluded) {
		return servers
	}
	return slices.DeleteFunc(slices.Clone(servers), c.excluded)
}

// usable reports whether a server may get the request, regardless of its load. yields is set if the request's team yields.
func (c *Core) usable(now time.Time, req *Request, server *backends.Server, yields bool) bool {
	return !req.excludes(server.ID) && c.takesRequests(now, server, yields)
}

// evaluate sets the placement of a request on a server with its cost, without limits. It writes to p, because copies of
// placements took a fifth of the time to choose a server.
func (c *Core) evaluate(
	now time.Time, req *Request, server *backends.Server, preferred *preferredEngines, speeds *prefillSpeeds, p *placement,
) {
	*p = placement{server: server, load: c.loads.Total(server.ID)}
	slots := max(server.Slots, 1)
	p.cost = time.Duration(float64(batchPenalty) * float64(p.load.Running) / float64(slots))
	p.cost += c.locationCost(req, server, p.load)
	if req.Service.Engine == nil {
		p.cost += time.Duration(float64(maxTieBreak) * tieBreak(req.ID, server.ID))
		return
	}
	parts := relay.SharedParts(req.Parts)
	p.cachedTokens = c.prefixes.cachedTokens(now, parts, server.ID)
	slowdown := speeds.slowdownOf(server.ID)
	backlog := prefillTime(p.load.PendingTokens, slowdown)
	p.firstEvent = backlog + prefillTime(max(req.PromptTokens-p.cachedTokens, 0), slowdown) + firstEventDelay
	p.cost += backlog
	if uncached := preferred.sharedTokens - p.cachedTokens; uncached > 0 {
		p.cost += time.Duration(preferred.weight(server) * float64(prefillTime(uncached, slowdown)))
	}
	p.permitCost = c.permitCost(now, req, server)
	p.cost += p.permitCost
}

// locationCost returns the cost of a server's failure domain and, for an isolated request, of the other requests there and
// of the server itself.
func (c *Core) locationCost(req *Request, server *backends.Server, load engineload.Load) time.Duration {
	var cost time.Duration
	if server.FailureDomain != c.opts.Domain {
		cost += c.crossDomainCost(req)
	}
	if req.Isolated {
		cost += time.Duration((float64(load.Running) + tieBreak(req.ID, server.ID)) * float64(isolationCost))
	}
	return cost
}

// crossDomainCost returns the cost of a server in another failure domain. It answers load that is uneven between domains:
// traffic between them stays low while a domain has capacity, and spills over once its own servers are slower by that cost.
func (c *Core) crossDomainCost(req *Request) time.Duration {
	if !c.opts.DomainAware {
		return domainPenalty
	}
	return max(time.Duration(domainFraction*float64(req.Objective)), domainPenalty)
}

// permitCost returns the cost of using a permit of a server for a request. It is 0 for a server without a rate, and for a
// request of twice the mean size or more.
func (c *Core) permitCost(now time.Time, req *Request, server *backends.Server) time.Duration {
	if _, limited := c.rate(now, server.ID); !limited {
		return 0
	}
	mean := c.queue(req.Service.Name).meanCost
	if mean == 0 {
		return 0
	}
	return time.Duration(max(0, 1-tokenCost(req)/(2*mean)) * float64(maxPermitCost))
}

// tieBreak returns a number from 0 to 1, derived from the request and the server by hashing.
func tieBreak(request, server string) float64 {
	return float64(rendezvousRank(xxhash.Sum64String(request), server)>>11) / (1 << 53)
}
