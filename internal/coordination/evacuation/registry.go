package evacuation

import (
	"cmp"
	"slices"
	"time"
)

// Change is the start or the end of the evacuation of a failure domain.
type Change struct {
	Domain string
	// Started is set for a start.
	Started bool
}

// Status describes an evacuated failure domain.
type Status struct {
	Domain string
	// Age is the time since this router learned of the evacuation.
	Age time.Duration
}

// Registry holds the evacuated failure domains. It is not safe for concurrent use.
type Registry struct {
	// since maps each evacuated domain to the time at which this router learned of the evacuation.
	since map[string]time.Time
}

// New returns an empty registry.
func New() *Registry { return &Registry{since: make(map[string]time.Time)} }

// Set replaces the evacuated domains. It returns the changes, ordered by domain.
func (r *Registry) Set(now time.Time, domains []string) []Change {
	var changes []Change
	for domain := range r.since {
		if !slices.Contains(domains, domain) {
			delete(r.since, domain)
			changes = append(changes, Change{Domain: domain})
		}
	}
	for _, domain := range domains {
		if !r.Evacuated(domain) {
			r.since[domain] = now
			changes = append(changes, Change{Domain: domain, Started: true})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Domain, b.Domain) })
	return changes
}

// Evacuated reports whether a domain is evacuated.
func (r *Registry) Evacuated(domain string) bool {
	_, evacuated := r.since[domain]
	return evacuated
}

// List returns the evacuated domains in order.
func (r *Registry) List(now time.Time) []Status {
	list := make([]Status, 0, len(r.since))
	for domain, since := range r.since {
		list = append(list, Status{Domain: domain, Age: now.Sub(since)})
	}
	slices.SortFunc(list, func(a, b Status) int { return cmp.Compare(a.Domain, b.Domain) })
	return list
}
