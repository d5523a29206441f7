package reservation

import (
	"time"

	"gooseberrytide.example/gooseberrytide/internal/coordination/engineload"
	"gooseberrytide.example/gooseberrytide/internal/coordination/serverdrain"
)

// Request asks the owner of a server to reserve capacity for a request.
type Request struct {
	_      struct{} `cbor:",toarray"`
	ID     uint64
	Router string
	Server string
	// Load is the load of the request. Own is the whole load that the requesting router puts on the server, the request
	// included.
	Load engineload.Load
	Own  engineload.Load
	// Limits bound the server's load for the request to be granted.
	Limits Limits
	// Served is the service that the request's team has recently received from the whole fleet, in decayed tokens.
	Served float64
	// Yields is set if the team leaves permits to a starved team. The owner derives it from Served.
	Yields bool `cbor:"-"`
}

// Answer is an owner's answer to a Request.
type Answer struct {
	_       struct{} `cbor:",toarray"`
	ID      uint64
	Granted bool
	// Total is the load of the server from all routers, including the request if it was granted.
	Total engineload.Load
	// Draining is set if the server leaves. The owner then sends a Denial.
	Draining bool `cbor:"-"`
	// Limited is set if the server has a limit of requests a second, so that a granted answer holds a permit of Owner. If
	// the permit was denied, RetryIn is the time after which the router may ask again. The owner then sends a
	// PermitAnswer.
	Limited bool          `cbor:"-"`
	Owner   string        `cbor:"-"`
	RetryIn time.Duration `cbor:"-"`
	// PermitOnly is set if only a permit was asked for and no capacity. Total is then not known.
	PermitOnly bool `cbor:"-"`
}

// Denial answers a Request for a server that leaves.
type Denial struct {
	_      struct{} `cbor:",toarray"`
	ID     uint64
	Router string
	Server serverdrain.Incarnation
}

// DrainNotice tells the owner of a server that the server has announced that it leaves.
type DrainNotice struct {
	_      struct{} `cbor:",toarray"`
	Router string
	Server serverdrain.Incarnation
}

// Loads reports to an owner the loads that a router puts on the owner's servers.
type Loads struct {
	_      struct{} `cbor:",toarray"`
	Router string
	Parts  []ServerLoad
}

// ServerLoad is the load on one server.
type ServerLoad struct {
	_      struct{} `cbor:",toarray"`
	Server string
	Load   engineload.Load
}

// CapacityNotice tells a router whose reservation was denied that the server has free capacity again.
type CapacityNotice struct {
	_      struct{} `cbor:",toarray"`
	Server string
	// Total is the load of the server from all routers.
	Total engineload.Load
}
