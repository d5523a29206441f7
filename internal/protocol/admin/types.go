package admin

import (
	"encoding/json"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/state/object"
)

// Paths of the endpoints.
const (
	PathConfig   = "/v1/admin/config"
	PathStatus   = "/v1/admin/status"
	PathTimeline = "/v1/admin/timeline"
)

// Limits of the timeline endpoint.
const (
	DefaultTimelineLimit = 200
	MaxTimelineLimit     = 1000
)

// Config is a configuration with its generation.
type Config struct {
	Generation ident.Generation `json:"generation"`
	// Objects are in the format of configuration files, in canonical order.
	Objects []json.RawMessage `json:"objects"`
	// FromSnapshot reports that this is the configuration in force at the router, because the store was down or was
	// restored from an older copy.
	FromSnapshot bool `json:"from_snapshot,omitempty"`
}

// ApplyRequest asks to publish a whole configuration in place of the base generation.
type ApplyRequest struct {
	Base    ident.Generation  `json:"base"`
	Objects []json.RawMessage `json:"objects"`
}

// ApplyResponse reports an accepted configuration.
type ApplyResponse struct {
	Generation ident.Generation `json:"generation"`
	// Unconfirmed reports that the configuration was published, but too few routers are known to have it in force.
	Unconfirmed bool `json:"unconfirmed,omitempty"`
}

// BlockedRequest names the routers whose links are cut until the next such request. Only fault injection tests use it.
type BlockedRequest struct {
	Routers []ident.RouterID `json:"routers"`
}

// ErrorResponse is the body of a response with a status other than 200.
type ErrorResponse struct {
	Error string `json:"error"`
	// Conflicts are, with status 409, the objects that both sides changed. It is empty if the changes are disjoint.
	Conflicts []string `json:"conflicts,omitempty"`
	// Approximate reports that Conflicts may name too many objects or none.
	Approximate bool `json:"approximate,omitempty"`
	// Generation is the generation in force with status 409, or the one that may be in force if Uncertain is set.
	Generation ident.Generation `json:"generation,omitempty"`
	// Findings are, with status 422, the errors in the configuration.
	Findings object.Findings `json:"findings,omitempty"`
	// Uncertain reports, with status 503, that the configuration may have been published.
	Uncertain bool `json:"uncertain,omitempty"`
}

// Status is the fleet as one router sees it.
type Status struct {
	Self       ident.RouterID   `json:"self"`
	Generation ident.Generation `json:"generation"`
	Serving    bool             `json:"serving"`
	Members    []Member         `json:"members"`
	// Owners maps each shard, as POOL#INDEX, to the router that is its dispatcher.
	Owners map[string]ident.RouterID `json:"owners"`
	Shards []ShardStatus             `json:"pools"`
	// Drained lists the draining objects as KIND/NAME.
	Drained []string `json:"drained"`
	// Problems describes the problems that the router sees.
	Problems []string `json:"problems"`
}

// Member is a row of the router's member table.
type Member struct {
	ID          ident.RouterID    `json:"id"`
	Incarnation ident.Incarnation `json:"incarnation"`
	// State is alive, suspect, dead or left.
	State      string           `json:"state"`
	Draining   bool             `json:"draining"`
	Generation ident.Generation `json:"generation"`
	Address    string           `json:"address"`
	Domain     ident.DomainID   `json:"domain"`
}

// StateAlive is the state of a member that responds to probes.
const StateAlive = "alive"

// ShardStatus is the state of one shard of a pool.
type ShardStatus struct {
	// Shard is POOL#INDEX.
	Shard   string `json:"shard"`
	Queued  int    `json:"queued"`
	Running int    `json:"running"`
	Limit   int    `json:"limit"`
	// Gap is the largest difference in received service between two backlogged teams, in weighted cost units.
	Gap float64 `json:"gap"`
	// Bound is the guaranteed upper bound of Gap, in weighted cost units.
	Bound float64 `json:"bound"`
}

// TimelineQuery selects events.
type TimelineQuery struct {
	// Since is a sequence number. Only events with a higher number are returned.
	Since uint64
	// Limit is the largest number of events per router. The HTTP handler keeps it between 1 and MaxTimelineLimit.
	Limit int
	// Request is a request id, or empty for all events.
	Request string
}

// Timeline is a list of events. With a request id it holds the events of all reachable routers.
type Timeline struct {
	Router ident.RouterID `json:"router"`
	Events []Event        `json:"events"`
	// Last is the sequence number of the router's newest event, or 0 if unknown. It decreases when the router restarts.
	Last uint64 `json:"last,omitempty"`
	// Unreachable lists the routers whose events are missing because they could not be reached.
	Unreachable []ident.RouterID `json:"unreachable"`
}

// Event is one entry of a router's timeline.
type Event struct {
	// Seq is the event's sequence number at its router.
	Seq    uint64         `json:"seq"`
	Time   time.Time      `json:"time"`
	Router ident.RouterID `json:"router"`
	Kind   string         `json:"kind"`
	// Request is a request id, or empty.
	Request string       `json:"request,omitempty"`
	Attempt uint32       `json:"attempt,omitempty"`
	Team    ident.TeamID `json:"team,omitempty"`
	// Pool is the shard, as POOL#INDEX, or empty.
	Pool       ident.PoolID     `json:"pool,omitempty"`
	Backend    ident.BackendID  `json:"backend,omitempty"`
	Peer       ident.RouterID   `json:"peer,omitempty"`
	Generation ident.Generation `json:"generation,omitempty"`
	// Detail is a description of the event in text.
	Detail string `json:"detail,omitempty"`
}
