package reservation

import (
	"cmp"
	"slices"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/coordination/engineload"
)

// waiterLifetime is how long a denied router counts as waiting. It is about the longest report period; the next report
// then shows the new load.
const waiterLifetime = 400 * time.Millisecond

// Waiters holds the routers whose reservations an owner has denied. Without a notification they would learn of free
// capacity only from the next report, and the capacity would be unused meanwhile. Waiters is not safe for concurrent
// use.
type Waiters struct {
	// servers holds the waiters by server and router.
	servers map[string]map[string]waiter
}

// waiter is the last denied request of a router for a server.
type waiter struct {
	Request
	at time.Time
}

// Notification is a capacity notice for one router.
type Notification struct {
	Router string
	// Notice is sent to the router.
	Notice CapacityNotice
}

// NewWaiters returns an empty set.
func NewWaiters() *Waiters { return &Waiters{servers: make(map[string]map[string]waiter)} }

// Add records a denied request.
func (w *Waiters) Add(now time.Time, r Request) {
	routers := w.servers[r.Server]
	if routers == nil {
		routers = make(map[string]waiter)
		w.servers[r.Server] = routers
	}
	routers[r.Router] = waiter{Request: r, at: now}
}

// TakeNotifications returns notifications for the routers whose requests fit now. For each server, the routers are
// notified in ascending order of the service of the requests' teams, and only as many as fit together. Each router is
// notified once for a request.
func (w *Waiters) TakeNotifications(now time.Time, loadOf func(server string) engineload.Load) []Notification {
	var notifications []Notification
	for server, routers := range w.servers {
		total := loadOf(server)
		notice := CapacityNotice{Server: server, Total: total}
		for _, candidate := range leastServedFirst(routers) {
			switch {
			case now.Sub(candidate.at) > waiterLifetime:
				delete(routers, candidate.Router)
			case candidate.Limits.Fit(total, candidate.Load):
				total = total.Plus(candidate.Load)
				notifications = append(notifications, Notification{Router: candidate.Router, Notice: notice})
				delete(routers, candidate.Router)
			}
		}
		if len(routers) == 0 {
			delete(w.servers, server)
		}
	}
	return notifications
}

// leastServedFirst returns the waiters in ascending order of the service of their teams.
func leastServedFirst(routers map[string]waiter) []waiter {
	list := make([]waiter, 0, len(routers))
	for _, candidate := range routers {
		list = append(list, candidate)
	}
	slices.SortFunc(list, func(a, b waiter) int {
		return cmp.Or(cmp.Compare(a.Served, b.Served), cmp.Compare(a.Router, b.Router))
	})
	return list
}
