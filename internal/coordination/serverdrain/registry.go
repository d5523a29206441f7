// Package serverdrain keeps which backend servers have announced in their responses that they leave.
//
// The announcement holds whatever the store says: the store may be unreachable, or may have come back from an older copy
// in which the server is ready. It ends with the incarnation of the server, and is kept while the store does not list it.
//
// Routers tell each other what they received. A server that only one other router names is taken out of use as long as
// it is one of few: the word of one router takes out at most a quarter of a service, so that a router in error cannot
// empty it. The word of a second router, or a response that this router receives itself, counts without that bound.
package serverdrain

import (
	"slices"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/state/backends"
)

const (
	// maxFractionByOneRouter is the fraction of a service's servers that the word of one other router takes out of use.
	maxFractionByOneRouter = 0.25
	// absenceRetention is how long an announcement is kept after the server has disappeared from the store. An older copy
	// of the store may list it again, and its entry may lapse, or be overwritten, while it runs.
	absenceRetention = time.Minute
	// maxReported is the number of announcements in a report; the latest ones are reported.
	maxReported = 16
)

// Incarnation identifies one incarnation of a server in messages between routers.
type Incarnation struct {
	_      struct{} `cbor:",toarray"`
	Server string
	// StartedAt is the server's start time in milliseconds since the Unix epoch.
	StartedAt int64
}

// IncarnationOf returns the identity of a server's incarnation.
func IncarnationOf(s *backends.Server) Incarnation {
	return Incarnation{Server: s.ID, StartedAt: s.StartedAt}
}

// announcement is what is known about a leaving server.
type announcement struct {
	server *backends.Server
	// received is set if this router received the announcement itself; at is when.
	received bool
	at       time.Time
	// reporters are the other routers that reported it.
	reporters map[string]bool
	// inForce is set if the server gets no requests because of it.
	inForce bool
	// absentSince is when the server disappeared from the store, or zero.
	absentSince time.Time
}

// Registry holds the announcements by incarnation. It is not safe for concurrent use.
type Registry struct {
	servers       *backends.Set
	announcements map[backends.Incarnation]*announcement
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{servers: backends.NewSet(nil), announcements: make(map[backends.Incarnation]*announcement)}
}

// SetServers replaces the known servers. The announcements of incarnations that have long been absent are dropped.
func (r *Registry) SetServers(now time.Time, set *backends.Set) {
	r.servers = set
	for incarnation, a := range r.announcements {
		switch {
		case set.Has(incarnation):
			a.absentSince = time.Time{}
		case a.absentSince.IsZero():
			a.absentSince = now
		case now.Sub(a.absentSince) > absenceRetention:
			delete(r.announcements, incarnation)
		}
	}
}

// Receive records that this router received the announcement of a server. It reports whether this is new, and not that of
// an incarnation whose place another one has.
func (r *Registry) Receive(now time.Time, server *backends.Server) bool {
	a := r.announcementOf(server)
	if a.received {
		return false
	}
	a.received, a.inForce, a.at = true, true, now
	if r.servers.Has(server.Incarnation()) {
		return true
	}
	a.absentSince = now
	return r.servers.Get(server.ID) == nil
}

// Report records the announcements that another router has received. Unknown incarnations are ignored. It returns the
// servers that are out of use because of this report.
func (r *Registry) Report(router string, list []Incarnation) []string {
	var added []string
	for _, i := range list {
		server := r.servers.Get(i.Server)
		if server == nil || server.StartedAt != i.StartedAt {
			continue
		}
		a := r.announcementOf(server)
		a.reporters[router] = true
		if !a.inForce && (len(a.reporters) > 1 || r.mayTakeOut(router, server.Service)) {
			a.inForce = true
			added = append(added, server.ID)
		}
	}
	return added
}

func (r *Registry) announcementOf(server *backends.Server) *announcement {
	a := r.announcements[server.Incarnation()]
	if a == nil {
		a = &announcement{server: server, reporters: make(map[string]bool)}
		r.announcements[server.Incarnation()] = a
	}
	return a
}

// mayTakeOut reports whether the word of one router may take one more server of a service out of use.
func (r *Registry) mayTakeOut(router, service string) bool {
	taken := 0
	for incarnation, a := range r.announcements {
		replaced := r.servers.Get(incarnation.ID) != nil && !r.servers.Has(incarnation)
		if replaced || !a.inForce || a.received || a.server.Service != service {
			continue
		}
		if len(a.reporters) == 1 && a.reporters[router] {
			taken++
		}
	}
	limit := max(1, int(maxFractionByOneRouter*float64(len(r.servers.ByService(service)))))
	return taken < limit
}

// Draining reports whether a server gets no new requests: because the store says so, or because it has announced it.
func (r *Registry) Draining(server *backends.Server) bool {
	return server.Draining || r.AnnouncedBy(server)
}

// Announced reports whether the present incarnation of a server has announced that it leaves.
func (r *Registry) Announced(id string) bool {
	current := r.servers.Get(id)
	return current != nil && r.AnnouncedBy(current)
}

// AnnouncedBy reports whether an incarnation of a server, which the store may no longer list, has announced that it leaves.
func (r *Registry) AnnouncedBy(server *backends.Server) bool {
	a := r.announcements[server.Incarnation()]
	return a != nil && a.inForce
}

// Len returns the number of servers that the store lists and that have announced that they leave.
func (r *Registry) Len() int {
	n := 0
	for incarnation, a := range r.announcements {
		if a.inForce && r.servers.Has(incarnation) {
			n++
		}
	}
	return n
}

// Received returns the announcements that this router received itself and that the store does not show, the latest first.
func (r *Registry) Received() []Incarnation {
	var received []*announcement
	for incarnation, a := range r.announcements {
		if a.received && r.servers.Has(incarnation) && !r.servers.Get(incarnation.ID).Draining {
			received = append(received, a)
		}
	}
	slices.SortFunc(received, func(a, b *announcement) int { return b.at.Compare(a.at) })
	received = received[:min(len(received), maxReported)]
	list := make([]Incarnation, len(received))
	for i, a := range received {
		list[i] = IncarnationOf(a.server)
	}
	return list
}
