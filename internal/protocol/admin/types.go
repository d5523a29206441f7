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
	// Objects are in the file form, in canonical order.
	Objects []json.RawMessage `json:"objects"`
	// FromSnapshot says that the store was down, and that this is the configuration in force at the router.
	FromSnapshot bool `json:"from_snapshot,omitempty"`
}

// ApplyRequest publishes a whole configuration in place of the base generation.
type ApplyRequest struct {
	Base    ident.Generation  `json:"base"`
	Objects []json.RawMessage `json:"objects"`
}

// ApplyResponse reports an accepted configuration.
type ApplyResponse struct {
	Generation ident.Generation `json:"generation"`
	// Unconfirmed says that the configuration was published, and that too few routers are known to have it in force.
	Unconfirmed bool `json:"unconfirmed,omitempty"`
}

// BlockedRequest names the routers whose links are cut until the next request. It is for tests of faults.
type BlockedRequest struct {
	Routers []ident.RouterID `json:"routers"`
}

// ErrorResponse is the body of an answer with another status than 200.
type ErrorResponse struct {
	Error string `json:"error"`
	// Conflicts are the objects that both sides changed, with status 409. Empty: the changes are disjoint.
	Conflicts []string `json:"conflicts,omitempty"`
	// Approximate says that Conflicts may name too many objects or none.
	Approximate bool `json:"approximate,omitempty"`
	// Generation is the generation in force, with status 409, or the one that may be in force, with Uncertain.
	Generation ident.Generation `json:"generation,omitempty"`
	// Findings are the faults of the configuration, with status 422.
	Findings object.Findings `json:"findings,omitempty"`
	// Uncertain says, with status 503, that the configuration may have been published.
	Uncertain bool `json:"uncertain,omitempty"`
}

// Status is the fleet as one router sees it.
type Status struct {
	Self       ident.RouterID   `json:"self"`
	Generation ident.Generation `json:"generation"`
	Serving    bool             `json:"serving"`
	Members    []Member         `json:"members"`
	// Owners map shards, as POOL#INDEX, to the routers that dispatch them.
	Owners map[string]ident.RouterID `json:"owners"`
	Pools  []Pool                    `json:"pools"`
	// Drained are draining objects as KIND/NAME.
	Drained []string `json:"drained"`
	// Problems say in words what is wrong, the gravest first.
	Problems []string `json:"problems"`
}

// Member is a router in the member table.
type Member struct {
	ID          ident.RouterID    `json:"id"`
	Incarnation ident.Incarnation `json:"incarnation"`
	// State is alive, suspect or dead.
	State      string           `json:"state"`
	Draining   bool             `json:"draining"`
	Generation ident.Generation `json:"generation"`
	Address    string           `json:"address"`
	Domain     ident.DomainID   `json:"domain"`
}

// StateAlive is the state of a member that answers.
const StateAlive = "alive"

// Pool is the state of a shard.
type Pool struct {
	// Shard is POOL#INDEX.
	Shard   string `json:"shard"`
	Queued  int    `json:"queued"`
	Running int    `json:"running"`
	Limit   int    `json:"limit"`
	// Gap is the largest service difference between two backlogged teams, in weighted cost units.
	Gap float64 `json:"gap"`
	// Bound is the promised bound of Gap.
	Bound float64 `json:"bound"`
}

// TimelineQuery selects events.
type TimelineQuery struct {
	// Since is the sequence number after which events are returned.
	Since uint64
	// Limit bounds the number of events per router. The HTTP handler sets it to 1 to MaxTimelineLimit.
	Limit int
	// Request is a request id, or empty for all events.
	Request string
}

// Timeline is a list of events. With a request id it holds the events of all reachable routers.
type Timeline struct {
	Router ident.RouterID `json:"router"`
	Events []Event        `json:"events"`
	// Last is the number of the router's newest event, or 0 when unknown. It falls when the router restarts.
	Last uint64 `json:"last,omitempty"`
	// Unreachable are routers whose events are missing.
	Unreachable []ident.RouterID `json:"unreachable"`
}

// Event is something that happened at a router.
type Event struct {
	// Seq numbers the router's events.
	Seq    uint64         `json:"seq"`
	Time   time.Time      `json:"time"`
	Router ident.RouterID `json:"router"`
	Kind   string         `json:"kind"`
	// Request is a request id, or empty.
	Request string           `json:"request,omitempty"`
	Attempt uint32           `json:"attempt,omitempty"`
	Team    ident.TeamID     `json:"team,omitempty"`
	Pool    ident.PoolID     `json:"pool,omitempty"`
	Backend ident.BackendID  `json:"backend,omitempty"`
	Peer    ident.RouterID   `json:"peer,omitempty"`
	Gen     ident.Generation `json:"generation,omitempty"`
	// Detail says more in words.
	Detail string `json:"detail,omitempty"`
}
