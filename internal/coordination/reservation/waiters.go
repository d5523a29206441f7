package reservation

import (
	"cmp"
	"slices"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/coordination/engineload"
)

// waiterLifetime is how long a refused router counts as waiting. It is about the longest period of reports, which show
// the load anew.
const waiterLifetime = 400 * time.Millisecond

// Waiters are the routers that were refused a place on the servers that an owner owns. Without news they would learn of
// a free place from the next report only, and the place would stay empty meanwhile. They are not safe for concurrent
// use.
type Waiters struct {
	servers map[string]map[string]waiter
}

// waiter is the last refused request of a router.
type waiter struct {
	Request
	at time.Time
}

// Wake is news for one router.
type Wake struct {
	Router string
	Room   Room
}

// NewWaiters returns an empty set.
func NewWaiters() *Waiters { return &Waiters{servers: make(map[string]map[string]waiter)} }

// Add records a refused request.
func (w *Waiters) Add(now time.Time, r Request) {
	routers := w.servers[r.Server]
	if routers == nil {
		routers = make(map[string]waiter)
		w.servers[r.Server] = routers
	}
	routers[r.Router] = waiter{Request: r, at: now}
}

// Wake returns news for the routers for whose requests there is room now, those of the teams with the least service
// first. Each freed place is told to one router, and each router is told once.
func (w *Waiters) Wake(now time.Time, loadOf func(server string) engineload.Load) []Wake {
	var wakes []Wake
	for server, routers := range w.servers {
		total := loadOf(server)
		room := Room{Server: server, Total: total}
		for _, next := range inOrder(routers) {
			switch {
			case now.Sub(next.at) > waiterLifetime:
				delete(routers, next.Router)
			case next.Limits.Fit(total, next.Load):
				total = total.Plus(next.Load)
				wakes = append(wakes, Wake{Router: next.Router, Room: room})
				delete(routers, next.Router)
			}
		}
		if len(routers) == 0 {
			delete(w.servers, server)
		}
	}
	return wakes
}

// inOrder returns waiters by the service of their teams.
func inOrder(routers map[string]waiter) []waiter {
	list := make([]waiter, 0, len(routers))
	for _, next := range routers {
		list = append(list, next)
	}
	slices.SortFunc(list, func(a, b waiter) int {
		return cmp.Or(cmp.Compare(a.Served, b.Served), cmp.Compare(a.Router, b.Router))
	})
	return list
}
