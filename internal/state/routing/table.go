package routing

import (
	"cmp"
	"slices"
	"strings"
	"sync/atomic"
)

// Table answers lookups in one configuration. It is immutable.
type Table struct {
	Version  int64
	Revision int64
	Limits   Limits

	services map[string]*Service
	// hosts holds each host's routes, longest prefix first.
	hosts map[string][]*Route
	teams map[string]*Team
	keyed bool
}

// NewTable indexes a configuration.
func NewTable(c *Config) *Table {
	t := &Table{
		Version:  c.Version,
		Revision: c.Revision,
		Limits:   c.Limits,
		services: make(map[string]*Service, len(c.Services)),
		hosts:    make(map[string][]*Route),
		teams:    make(map[string]*Team),
		keyed:    len(c.Teams) > 0,
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := normalHost(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)) })
	}
	for i := range c.Teams {
		for _, key := range c.Teams[i].Keys {
			t.teams[key] = &c.Teams[i]
		}
	}
	return t
}

// Route returns the route with the longest prefix of the path, or nil.
func (t *Table) Route(host, path string) *Route {
	for _, r := range t.hosts[normalHost(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// Service returns a service, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Keyed reports whether requests need an API key on routes that are not anonymous.
func (t *Table) Keyed() bool { return t.keyed }

// Team returns the team that holds an API key, or nil.
func (t *Table) Team(key string) *Team { return t.teams[key] }

// normalHost drops the port and the letter case of a host name.
func normalHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// Holder holds the table in force. It is safe for concurrent use.
type Holder struct {
	table atomic.Pointer[Table]
}

// Load returns the table in force, or nil before the first.
func (h *Holder) Load() *Table { return h.table.Load() }

// Store puts a table in force unless one of the same or a later version is. It reports whether it did.
func (h *Holder) Store(t *Table) bool {
	for {
		current := h.table.Load()
		if current != nil && !t.newerThan(current) {
			return false
		}
		if h.table.CompareAndSwap(current, t) {
			return true
		}
	}
}

func (t *Table) newerThan(o *Table) bool {
	if t.Version != o.Version {
		return t.Version > o.Version
	}
	return t.Revision > o.Revision
}
