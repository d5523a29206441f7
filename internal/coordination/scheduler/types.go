package scheduler

import (
	"gooseberrytide.example/gooseberrytide/internal/coordination/message"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
)

// Decisions collects what a scheduler decided. Callers reuse one value; Reset keeps the memory.
type Decisions struct {
	Grants    []message.Grant
	Rejects   []message.Reject
	Redirects []message.Redirect
	Deltas    []message.ServiceDelta
	Free      []message.FreeSlots
}

// Reset empties the collection and keeps its memory.
func (d *Decisions) Reset() {
	d.Grants = d.Grants[:0]
	d.Rejects = d.Rejects[:0]
	d.Redirects = d.Redirects[:0]
	d.Deltas = d.Deltas[:0]
	d.Free = d.Free[:0]
}

// Backend is a backend server of the shard, as the configuration has it.
type Backend struct {
	ID     ident.BackendID
	Domain ident.DomainID
	// Slots is the configured number of concurrent requests; 0 means unknown.
	Slots int
	// Draining says that no new work may be granted.
	Draining bool
}

// TeamLimits are a team's weight and limits. A zero field means its default.
type TeamLimits struct {
	Weight      float64
	MaxQueued   int
	MaxInFlight int
}

// LoadReport is a load report of a backend server. Reports lag, and may be wrong.
type LoadReport struct {
	Backend ident.BackendID
	Slots   int
	Running int
	Waiting int
}

// CacheEvent reports a change of a model engine's prefix cache. Events come late and with gaps.
type CacheEvent struct {
	Backend ident.BackendID
	// Added and Removed hold hashes of prompt prefixes.
	Added   []uint64
	Removed []uint64
	// Cleared says that the whole cache was emptied before Added.
	Cleared bool
}
