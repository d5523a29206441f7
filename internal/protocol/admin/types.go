package admin

import (
	"encoding/json"

	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/state/timeline"
)

// PublishRequest asks for a publish over the base generation.
type PublishRequest struct {
	Base    ident.Generation  `json:"base"`
	Objects []json.RawMessage `json:"objects"`
}

// PublishResponse is the answer to an accepted publish.
type PublishResponse struct {
	Generation ident.Generation `json:"generation"`
}

// BlockedRequest names the routers whose links are cut until the next request. It is for tests of faults.
type BlockedRequest struct {
	Routers []ident.RouterID `json:"routers"`
}

// Status is the state of the fleet as one router sees it.
type Status struct {
	Self       ident.RouterID            `json:"self"`
	Generation ident.Generation          `json:"generation"`
	Serving    bool                      `json:"serving"`
	Members    []Member                  `json:"members"`
	Owners     map[string]ident.RouterID `json:"owners"`
	Pools      []Pool                    `json:"pools"`
	Drained    []string                  `json:"drained"`
	Problems   []string                  `json:"problems"`
}

// Member is a router of the fleet.
type Member struct {
	ID          ident.RouterID    `json:"id"`
	Incarnation ident.Incarnation `json:"incarnation"`
	State       string            `json:"state"`
	Draining    bool              `json:"draining"`
	Generation  ident.Generation  `json:"generation"`
	Address     string            `json:"address"`
	Domain      ident.DomainID    `json:"domain"`
}

// Pool is a shard that the answering router dispatches for.
type Pool struct {
	Shard   string  `json:"shard"`
	Queued  int     `json:"queued"`
	Running int     `json:"running"`
	Limit   int     `json:"limit"`
	Gap     float64 `json:"gap"`
	Bound   float64 `json:"bound"`
}

// Timeline is a part of the time line.
type Timeline struct {
	Router      ident.RouterID   `json:"router"`
	Events      []timeline.Event `json:"events"`
	Unreachable []ident.RouterID `json:"unreachable"`
}
