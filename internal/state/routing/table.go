package routing

import (
	"cmp"
	"slices"
	"strings"
	"sync/atomic"
)

// Table indexes one configuration for lookups. It is immutable.
type Table struct {
	Version  int64
	Revision int64
	Limits   Limits

	services map[string]*Service
	// routesByHost holds the routes of each host, longest path prefix first.
	routesByHost   map[string][]*Route
	teamsByKey     map[string]*Team
	requiresAPIKey bool
}

// NewTable returns the table of a configuration, which must not be modified afterwards.
func NewTable(c *Config) *Table {
	t := &Table{
		Version:        c.Version,
		Revision:       c.Revision,
		Limits:         c.Limits,
		services:       make(map[string]*Service, len(c.Services)),
		routesByHost:   make(map[string][]*Route),
		teamsByKey:     make(map[string]*Team),
		requiresAPIKey: len(c.Teams) > 0,
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := normalizeHost(r.Host)
		t.routesByHost[host] = append(t.routesByHost[host], r)
	}
	for _, routes := range t.routesByHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)) })
	}
	for i := range c.Teams {
		for _, key := range c.Teams[i].Keys {
			t.teamsByKey[key] = &c.Teams[i]
		}
	}
	return t
}

// Route returns the host's route with the longest matching path prefix, or nil.
func (t *Table) Route(host, path string) *Route {
	for _, r := range t.routesByHost[normalizeHost(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// Service returns the service with a name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Services returns the services, in no particular order.
func (t *Table) Services() []Service {
	list := make([]Service, 0, len(t.services))
	for _, s := range t.services {
		list = append(list, *s)
	}
	return list
}

// RequiresAPIKey reports whether requests on routes that are not anonymous need an API key.
func (t *Table) RequiresAPIKey() bool { return t.requiresAPIKey }

// Team returns the team that holds an API key, or nil.
func (t *Table) Team(key string) *Team { return t.teamsByKey[key] }

// normalizeHost removes the port of a host name and converts the name to lower case.
func normalizeHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// Holder holds the current table. It is safe for concurrent use.
type Holder struct {
	table atomic.Pointer[Table]
}

// Load returns the current table, or nil before the first Store.
func (h *Holder) Load() *Table { return h.table.Load() }

// Store replaces the current table if the given one is newer, by version and then by revision. It reports whether it
// did.
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

func (t *Table) newerThan(other *Table) bool {
	if t.Version != other.Version {
		return t.Version > other.Version
	}
	return t.Revision > other.Revision
}
