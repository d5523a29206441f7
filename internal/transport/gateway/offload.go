package gateway

import (
	"math/rand/v2"
	"net/http"
	"time"
)

// ForModelEngine reports whether a request is for a route that leads to model engines.
func (g *Gateway) ForModelEngine(r *http.Request) bool {
	table := g.opts.Routing.Load()
	if table == nil {
		return false
	}
	route := table.Route(r.Host, routePath(r.URL))
	if route == nil {
		return false
	}
	for _, target := range route.Targets {
		if service := table.Service(target.Service); service != nil && service.Engine != nil {
			return true
		}
	}
	return false
}

// Deadline returns the end of the time for a request that has just been read. It must be for a known route.
func (g *Gateway) Deadline(r *http.Request) time.Time {
	x := g.newExchange(nil, r)
	if x.table = g.opts.Routing.Load(); x.table != nil {
		x.route = x.table.Route(r.Host, routePath(r.URL))
	}
	if x.route == nil {
		return x.arrival
	}
	x.setDeadline(0)
	return x.deadline
}

// RefuseOverloaded refuses a request because this router lacks processor time. Its body need not be read.
func (g *Gateway) RefuseOverloaded(w http.ResponseWriter, r *http.Request) {
	x := g.newExchange(w, r)
	if x.resolve() {
		x.refuseUnsubmitted(refusalOverload, spread(retryAfterOverload))
	}
}

// FailForwarded responds to a request that was forwarded to a router which closed the connection without a response.
// The request may have run.
func (g *Gateway) FailForwarded(w http.ResponseWriter, r *http.Request) {
	g.newExchange(w, r).failWithStatus(http.StatusBadGateway, "no response of the router")
}

// spread returns a random time within 30% of d, so that refused clients do not all return at once.
func spread(d time.Duration) time.Duration {
	return time.Duration((0.7 + 0.6*rand.Float64()) * float64(d))
}
