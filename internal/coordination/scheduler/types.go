package scheduler

import (
	"gooseberrytide.example/gooseberrytide/internal/coordination/message"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
)

// Decisions collects the messages that result from one or more events. Callers reuse one value to avoid allocation.
type Decisions struct {
	Grants    []message.Grant
	Rejects   []message.Reject
	Redirects []message.Redirect
	Deltas    []message.ServiceDelta
	FreeSlots []message.FreeSlots
}

// Reset empties all lists and keeps their memory.
func (d *Decisions) Reset() {
	d.Grants = d.Grants[:0]
	d.Rejects = d.Rejects[:0]
	d.Redirects = d.Redirects[:0]
	d.Deltas = d.Deltas[:0]
	d.FreeSlots = d.FreeSlots[:0]
}

// Backend describes a backend server of the shard as configured.
type Backend struct {
	ID     ident.BackendID
	Domain ident.DomainID
	// Slots is the configured number of concurrent requests; 0 means unknown.
	Slots int
	// Draining reports whether the backend server receives no new requests.
	Draining bool
}

// TeamLimits holds a team's weight and limits. A zero field selects the default.
type TeamLimits struct {
	Weight      float64
	MaxQueued   int
	MaxInFlight int
}

// LoadReport is a load report from a backend server. It describes a past state and may be wrong.
type LoadReport struct {
	Backend ident.BackendID
	Slots   int
	Running int
	Waiting int
}

// CacheEvent reports a change of a model engine's prefix cache. Events may be delayed or lost.
type CacheEvent struct {
	Backend ident.BackendID
	// Added and Removed hold hashes of prompt prefixes.
	Added   []uint64
	Removed []uint64
	// Cleared reports whether the whole cache was emptied before the entries in Added were inserted.
	Cleared bool
}
