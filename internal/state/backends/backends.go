package backends

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"
)

// Server describes one incarnation of a backend server: the server from one start to the next.
type Server struct {
	// ID identifies the server. A restarted server may keep its ID.
	ID      string
	Service string
	// Address is its IP address and port.
	Address       string
	FailureDomain string
	Slots         int
	// Draining servers take no new requests.
	Draining bool
	// StartedAt is the server's start time in milliseconds since the Unix epoch, or 0 if the server does not report it.
	StartedAt int64
	// ColdNamed is set if the entry says whether the server is cold. ColdLeft is then for how long it was still cold when
	// the entry was written; 0 means that it was warm.
	ColdNamed bool
	ColdLeft  time.Duration
}

// Key returns "ID@ADDRESS", which identifies the server at its address.
func (s *Server) Key() string { return s.ID + "@" + s.Address }

// Incarnation identifies a server from one start to the next, whatever service it belongs to. What is known about an
// incarnation holds whether or not the store lists it at the moment.
type Incarnation struct {
	ID, Address string
	StartedAt   int64
}

// Incarnation returns the identity of the server's incarnation.
func (s *Server) Incarnation() Incarnation {
	return Incarnation{ID: s.ID, Address: s.Address, StartedAt: s.StartedAt}
}

// SameStart reports whether both values describe a server since the same start, whatever service it belongs to.
func (s *Server) SameStart(other *Server) bool {
	return s.Incarnation() == other.Incarnation()
}

// SameIncarnation reports whether both values describe the same incarnation of the same server.
func (s *Server) SameIncarnation(other *Server) bool {
	return s.SameStart(other) && s.Service == other.Service
}

// Set is an immutable set of servers, indexed by ID, by service and by key.
type Set struct {
	byID      map[string]*Server
	byService map[string][]*Server
	byKey     map[string]*Server
}

// NewSet returns a set of the given servers.
func NewSet(servers []*Server) *Set {
	s := &Set{
		byID:      make(map[string]*Server, len(servers)),
		byService: make(map[string][]*Server),
		byKey:     make(map[string]*Server, len(servers)),
	}
	for _, server := range servers {
		s.byID[server.ID] = server
		s.byKey[server.Key()] = server
		s.byService[server.Service] = append(s.byService[server.Service], server)
	}
	for _, list := range s.byService {
		slices.SortFunc(list, func(a, b *Server) int { return cmp.Compare(a.ID, b.ID) })
	}
	return s
}

// Get returns the server with an ID, or nil if the set has none.
func (s *Set) Get(id string) *Server { return s.byID[id] }

// Has reports whether the set has a server of an incarnation.
func (s *Set) Has(i Incarnation) bool {
	server := s.byID[i.ID]
	return server != nil && server.Incarnation() == i
}

// ByKey returns the server whose Key is key, or nil if the set has none.
func (s *Set) ByKey(key string) *Server { return s.byKey[key] }

// ByService returns a service's servers, ordered by ID. The slice must not be modified.
func (s *Set) ByService(service string) []*Server { return s.byService[service] }

// InService returns the server of a service with an ID, or nil if the service has none.
func (s *Set) InService(service, id string) *Server {
	servers := s.byService[service]
	i, found := slices.BinarySearchFunc(servers, id, func(s *Server, id string) int { return cmp.Compare(s.ID, id) })
	if !found {
		return nil
	}
	return servers[i]
}

// Len returns the number of servers.
func (s *Set) Len() int { return len(s.byID) }

// All returns the servers by ID. The map must not be modified.
func (s *Set) All() map[string]*Server { return s.byID }

// Holder holds the current set. It is safe for concurrent use.
type Holder struct {
	set atomic.Pointer[Set]
}

// Load returns the current set, which is empty before the first Store. It is never nil.
func (h *Holder) Load() *Set {
	if s := h.set.Load(); s != nil {
		return s
	}
	return NewSet(nil)
}

// Store replaces the current set.
func (h *Holder) Store(s *Set) { h.set.Store(s) }
