package message

import "gooseberrytide.example/gooseberrytide/internal/state/ident"

// RejectReason is the reason why a dispatcher rejected a request.
type RejectReason uint8

// The reasons of a rejection.
const (
	RejectQueueFull RejectReason = iota + 1
	RejectDeadline
	RejectNoBackend
	RejectNotOwner
)

// SettleResult is the outcome of an attempt.
type SettleResult uint8

const (
	// SettleUnused reports that the attempt was never sent. No cost is charged.
	SettleUnused SettleResult = iota + 1
	// SettleOK reports a complete answer.
	SettleOK
	// SettleFailed reports an answer with an error, or a broken stream.
	SettleFailed
	// SettleRefused reports that the backend server refused the connection or the request before running it.
	SettleRefused
)

// Enqueue asks a dispatcher to queue a request. It is idempotent per attempt.
type Enqueue struct {
	Shard ident.ShardID    `cbor:"1,keyasint"`
	Ref   ident.AttemptRef `cbor:"2,keyasint"`
	Team  ident.TeamID     `cbor:"3,keyasint"`
	// Hint is the expected cost in cost units; 0 means unknown.
	Hint ident.Cost `cbor:"4,keyasint,omitempty"`
	// DeadlineMS is the remaining time to wait, in milliseconds.
	DeadlineMS uint32 `cbor:"5,keyasint"`
	// Prefix holds hashes of the prompt's leading blocks, longest prefix last. At most 8.
	Prefix []uint64 `cbor:"6,keyasint,omitempty"`
	// Domain is the ingress router's failure domain.
	Domain ident.DomainID `cbor:"7,keyasint,omitempty"`
	// Exclude lists backend servers that refused earlier attempts. At most 4.
	Exclude []ident.BackendID `cbor:"8,keyasint,omitempty"`
	// Lag is the team's lag from the last grant that the ingress router received, in weighted cost units.
	Lag int64 `cbor:"9,keyasint,omitempty"`
	// WaitedMS is how long the request has waited already, in milliseconds, so that a handover of the shard keeps the
	// order of the queue.
	WaitedMS uint32 `cbor:"10,keyasint,omitempty"`
	// Redirected says that the request was redirected from another shard of the pool and must not be redirected again.
	Redirected bool `cbor:"11,keyasint,omitempty"`
}

// Running tells a dispatcher that took over the shard about an attempt that is already running. It is idempotent.
type Running struct {
	Shard   ident.ShardID    `cbor:"1,keyasint"`
	Ref     ident.AttemptRef `cbor:"2,keyasint"`
	Team    ident.TeamID     `cbor:"3,keyasint"`
	Backend ident.BackendID  `cbor:"4,keyasint"`
	// Cost is the cost so far, in cost units.
	Cost ident.Cost `cbor:"5,keyasint,omitempty"`
}

// Cancel withdraws a queued or granted attempt that was not sent.
type Cancel struct {
	Shard ident.ShardID    `cbor:"1,keyasint"`
	Ref   ident.AttemptRef `cbor:"2,keyasint"`
}

// Grant allows an attempt to run on a backend server.
type Grant struct {
	Shard   ident.ShardID    `cbor:"1,keyasint"`
	Ref     ident.AttemptRef `cbor:"2,keyasint"`
	Backend ident.BackendID  `cbor:"3,keyasint"`
	// Fence is the dispatcher's incarnation. It only distinguishes grants of different dispatchers: later dispatchers of a
	// shard need not have a higher one.
	Fence uint64 `cbor:"4,keyasint"`
	// Lag is the team's counter minus the lowest counter of the backlogged teams, in weighted cost units.
	Lag int64 `cbor:"5,keyasint,omitempty"`
	// Generation is the generation of the configuration that the decision was made with.
	Generation ident.Generation `cbor:"6,keyasint"`
}

// Reject tells an ingress router that an attempt left the queue without a grant.
type Reject struct {
	Shard  ident.ShardID    `cbor:"1,keyasint"`
	Ref    ident.AttemptRef `cbor:"2,keyasint"`
	Reason RejectReason     `cbor:"3,keyasint"`
	// RetryAfterMS is the time after which the caller should retry, in milliseconds.
	RetryAfterMS uint32 `cbor:"4,keyasint,omitempty"`
}

// Redirect tells an ingress router to enqueue the attempt at another shard of the same pool.
type Redirect struct {
	Shard ident.ShardID    `cbor:"1,keyasint"`
	Ref   ident.AttemptRef `cbor:"2,keyasint"`
	// To is the index of the other shard.
	To uint16 `cbor:"3,keyasint"`
}

// Progress reports the cost so far of a running attempt.
type Progress struct {
	Shard ident.ShardID    `cbor:"1,keyasint"`
	Ref   ident.AttemptRef `cbor:"2,keyasint"`
	Cost  ident.Cost       `cbor:"3,keyasint"`
}

// Settle reports the end of an attempt and its final cost.
type Settle struct {
	Shard  ident.ShardID    `cbor:"1,keyasint"`
	Ref    ident.AttemptRef `cbor:"2,keyasint"`
	Cost   ident.Cost       `cbor:"3,keyasint"`
	Result SettleResult     `cbor:"4,keyasint"`
	// RunMS is the time from sending to the end, in milliseconds.
	RunMS uint32 `cbor:"5,keyasint,omitempty"`
}

// ServiceDelta reports the cost of the service that a team received at a shard since the shard's last report.
type ServiceDelta struct {
	// Shard is the reporting shard.
	Shard ident.ShardID `cbor:"1,keyasint"`
	// To is the index of the shard that receives the report.
	To    uint16       `cbor:"2,keyasint"`
	Team  ident.TeamID `cbor:"3,keyasint"`
	Delta ident.Cost   `cbor:"4,keyasint"`
	// Seq numbers the reports from one shard to another, from 1. The receiver ignores numbers that it has already seen.
	Seq uint64 `cbor:"5,keyasint"`
	// Epoch is the incarnation of the reporting dispatcher.
	Epoch uint64 `cbor:"6,keyasint"`
}

// FreeSlots announces idle capacity of a shard to a sibling shard of the same pool.
type FreeSlots struct {
	// Shard is the idle shard.
	Shard ident.ShardID `cbor:"1,keyasint"`
	// To is the index of the shard that receives the announcement.
	To uint16 `cbor:"2,keyasint"`
	// Count is the number of free slots that this sibling may fill.
	Count uint16 `cbor:"3,keyasint"`
}

// Takeover tells ingress routers that the sender has become the dispatcher of a shard and has no state for it yet. They
// answer with the attempts that they hold for the shard.
type Takeover struct {
	Shard ident.ShardID `cbor:"1,keyasint"`
}
