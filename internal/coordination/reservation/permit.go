package reservation

import (
	"slices"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/coordination/engineload"
	"gooseberrytide.example/gooseberrytide/internal/coordination/serverlimit"
	"gooseberrytide.example/gooseberrytide/internal/coordination/warmup"
)

// Outcome is how a reservation request ended.
type Outcome uint8

// Outcomes of a reservation request.
const (
	// Local means that this router decides by itself: it owns the server's load, or the fleet has no owners of loads and
	// the server has no limit.
	Local Outcome = iota + 1
	// Answered means that the owner has answered.
	Answered
	// Unanswered means that the server's owner did not answer, or that its address is not known.
	Unanswered
)

// PermitRequest asks the owner of a server with a limit of requests a second for a permit. It is used in a fleet that
// reserves no capacity; elsewhere a Request asks for both.
type PermitRequest struct {
	_      struct{} `cbor:",toarray"`
	ID     uint64
	Router string
	// Limit is what the sender knows of the limit.
	Limit serverlimit.Entry
	// Yields is set if the request's team leaves permits to a starved team. The sender then sends a YieldingPermitRequest.
	Yields bool `cbor:"-"`
}

// YieldingPermitRequest is a PermitRequest for a team that leaves permits to a starved team. It is sent only to owners whose
// reports say that they know it.
type YieldingPermitRequest struct {
	_       struct{} `cbor:",toarray"`
	Request PermitRequest
}

// PermitAnswer is an owner's answer to a PermitRequest, and to a Request for a server with a limit.
type PermitAnswer struct {
	_       struct{} `cbor:",toarray"`
	ID      uint64
	Granted bool
	// RetryMS is the time after which the router may ask again for a permit, in milliseconds. It is 0 if the owner has
	// denied the request for another reason.
	RetryMS int64
	// Total is the load of the server from all routers if a Request is answered.
	Total engineload.Load
	// Limit is what the owner knows of the limit.
	Limit serverlimit.Entry
}

// Answer returns the answer as the requesting router uses it.
func (a PermitAnswer) Answer() Answer {
	return Answer{
		ID: a.ID, Granted: a.Granted, Total: a.Total, Limited: true,
		RetryIn: time.Duration(max(a.RetryMS, 0)) * time.Millisecond,
	}
}

// PermitReturn gives unused permits back to the owner of a server.
type PermitReturn struct {
	_      struct{} `cbor:",toarray"`
	Server string
	// StartedAt is the server's start time in milliseconds since the Unix epoch.
	StartedAt int64
	Count     int
}

// LimitNotice tells other routers what servers have said about their limits.
type LimitNotice struct {
	_      struct{} `cbor:",toarray"`
	Router string
	Limits []serverlimit.Entry
}

// WarmupNotice tells other routers which servers are cold.
type WarmupNotice struct {
	_       struct{} `cbor:",toarray"`
	Router  string
	Warmups []warmup.Report
}

// SplitWarmups returns notices with the given warm-ups.
func SplitWarmups(router string, reports []warmup.Report) []WarmupNotice {
	var notices []WarmupNotice
	for part := range slices.Chunk(reports, maxNoticeLimits) {
		notices = append(notices, WarmupNotice{Router: router, Warmups: part})
	}
	return notices
}

// maxNoticeLimits is the number of limits or warm-ups in a notice. A datagram holds about as many.
const maxNoticeLimits = 20

// SplitLimits returns notices with the given limits.
func SplitLimits(router string, limits []serverlimit.Entry) []LimitNotice {
	var notices []LimitNotice
	for len(limits) > 0 {
		n := min(len(limits), maxNoticeLimits)
		notices = append(notices, LimitNotice{Router: router, Limits: limits[:n]})
		limits = limits[n:]
	}
	return notices
}
