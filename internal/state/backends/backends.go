package backends

import (
	"cmp"
	"slices"
	"sync/atomic"
)

// Server is one start of a backend server.
type Server struct {
	// ID names the server. A server that starts again may keep it.
	ID      string
	Service string
	// Address is its IP address and port.
	Address       string
	FailureDomain string
	Slots         int
	// Draining servers take no new requests.
	Draining bool
	// StartedAt is the server's start in milliseconds of Unix time; 0 when it does not tell.
	StartedAt int64
}

// Key names the server at its address.
func (s *Server) Key() string { return s.ID + "@" + s.Address }

// SameStart reports whether both describe the same start of the same server.
func (s *Server) SameStart(o *Server) bool {
	return s.ID == o.ID && s.Address == o.Address && s.StartedAt == o.StartedAt && s.Service == o.Service
}

// Set is a set of servers. It is immutable.
type Set struct {
	byID      map[string]*Server
	byService map[string][]*Server
	keys      map[string]bool
}

// NewSet indexes servers.
func NewSet(servers []*Server) *Set {
	s := &Set{byID: make(map[string]*Server, len(servers)), byService: make(map[string][]*Server), keys: make(map[string]bool)}
	for _, server := range servers {
		s.byID[server.ID] = server
		s.keys[server.Key()] = true
		s.byService[server.Service] = append(s.byService[server.Service], server)
	}
	for _, list := range s.byService {
		slices.SortFunc(list, func(a, b *Server) int { return cmp.Compare(a.ID, b.ID) })
	}
	return s
}

// Get returns a server, or nil.
func (s *Set) Get(id string) *Server { return s.byID[id] }

// Has reports whether the set holds the server that Key named.
func (s *Set) Has(key string) bool { return s.keys[key] }

// Of returns a service's servers in order of their IDs.
func (s *Set) Of(service string) []*Server { return s.byService[service] }

// Len returns the number of servers.
func (s *Set) Len() int { return len(s.byID) }

// All returns the servers by ID. The map must not be modified.
func (s *Set) All() map[string]*Server { return s.byID }

// Holder holds the set in force. It is safe for concurrent use.
type Holder struct {
	set atomic.Pointer[Set]
}

// Load returns the set in force. It is never nil.
func (h *Holder) Load() *Set {
	if s := h.set.Load(); s != nil {
		return s
	}
	return NewSet(nil)
}

// Store puts a set in force.
func (h *Holder) Store(s *Set) { h.set.Store(s) }
