package admission

import (
	"slices"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/coordination/evacuation"
	"gooseberrytide.example/gooseberrytide/internal/state/backends"
)

// evacuatedRetryAfter is the mean retry time of a client whose service has servers in evacuated failure domains only.
const evacuatedRetryAfter = time.Second

// EvacuationChange is the start or the end of an evacuation.
type EvacuationChange struct {
	evacuation.Change
	// Servers is the number of known servers in the domain.
	Servers int
}

// SetEvacuated replaces the evacuated failure domains, whose servers get no requests: operators take a domain out of use
// under load. Requests that wait are placed elsewhere or refused. It returns the changes.
func (c *Core) SetEvacuated(now time.Time, domains []string) []EvacuationChange {
	var changes []EvacuationChange
	for _, change := range c.evacuations.Set(now, domains) {
		if !change.Started {
			c.warmups.RecordEvacuationEnd(now, change.Domain)
		}
		changes = append(changes, EvacuationChange{Change: change, Servers: c.serversIn(change.Domain)})
	}
	if len(changes) > 0 {
		for _, q := range c.queues {
			q.lastScan = time.Time{}
		}
		c.Advance(now)
	}
	return changes
}

// EvacuationStatus describes an evacuated failure domain.
type EvacuationStatus struct {
	evacuation.Status
	// Servers is the number of known servers in the domain.
	Servers int
}

// Evacuations returns the evacuated failure domains.
func (c *Core) Evacuations(now time.Time) []EvacuationStatus {
	list := c.evacuations.List(now)
	statuses := make([]EvacuationStatus, len(list))
	for i, s := range list {
		statuses[i] = EvacuationStatus{Status: s, Servers: c.serversIn(s.Domain)}
	}
	return statuses
}

// evacuated reports whether a server is in an evacuated failure domain.
func (c *Core) evacuated(server *backends.Server) bool {
	return c.evacuations.Evacuated(server.FailureDomain)
}

// excluded reports whether a server gets no requests, not even trials, whatever its health is: it drains, or its failure
// domain is evacuated.
func (c *Core) excluded(server *backends.Server) bool {
	return c.drains.Draining(server) || c.evacuated(server)
}

// allEvacuated reports whether a service has servers in evacuated failure domains only.
func (c *Core) allEvacuated(service string) bool {
	servers := c.servers.ByService(service)
	return len(servers) > 0 && !slices.ContainsFunc(servers, func(s *backends.Server) bool { return !c.evacuated(s) })
}

// serversIn returns the number of known servers in a failure domain.
func (c *Core) serversIn(domain string) int {
	count := 0
	for _, server := range c.servers.All() {
		if server.FailureDomain == domain {
			count++
		}
	}
	return count
}
