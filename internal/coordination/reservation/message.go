package reservation

import "gooseberrytide.example/gooseberrytide/internal/coordination/engineload"

// Request asks the owner of a server for a place.
type Request struct {
	_      struct{} `cbor:",toarray"`
	ID     uint64
	Router string
	Server string
	// Load is that of the request, Own all load of the asking router on the server with the request.
	Load engineload.Load
	Own  engineload.Load
	// Limits bound the load beside which the server may get the request.
	Limits Limits
	// Served is what the request's team has been served by the whole fleet lately, in faded tokens.
	Served float64
}

// Answer is an owner's answer.
type Answer struct {
	_       struct{} `cbor:",toarray"`
	ID      uint64
	Granted bool
	// Total is the load of the server from all routers, with the request if it was granted.
	Total engineload.Load
}

// Loads tells an owner the load that a router puts on the owner's servers.
type Loads struct {
	_      struct{} `cbor:",toarray"`
	Router string
	Parts  []ServerLoad
}

// ServerLoad is a load on one server.
type ServerLoad struct {
	_      struct{} `cbor:",toarray"`
	Server string
	Load   engineload.Load
}

// Room tells a router that was refused a place that the server has room again.
type Room struct {
	_      struct{} `cbor:",toarray"`
	Server string
	// Total is the load of the server from all routers.
	Total engineload.Load
}
