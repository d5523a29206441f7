package dispatch

import (
	"context"
	"fmt"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/coordination/message"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/state/object"
)

// Work describes a request for a backend server.
type Work struct {
	// Ref identifies the request and the attempt. The attempts of a request are numbered from 1, in increasing order.
	Ref  ident.AttemptRef
	Team ident.TeamID
	Pool ident.PoolID
	// Hint is the expected cost in cost units; 0 means unknown.
	Hint ident.Cost
	// Deadline is the time at which the request leaves the queue if it was not granted.
	Deadline time.Time
	// Prefix holds hashes of the prompt's leading blocks, longest prefix last. At most 8.
	Prefix []uint64
	// Exclude lists backend servers that refused earlier attempts. At most 4.
	Exclude []ident.BackendID
}

// Attempt is a granted attempt of a request. It must be ended with Settle.
type Attempt interface {
	// Ref returns the reference of the request and the attempt.
	Ref() ident.AttemptRef
	// Backend returns the granted backend server.
	Backend() *object.BackendServer
	// Progress records the cost so far, in cost units.
	Progress(cost ident.Cost)
	// Settle ends the attempt with its result and its final cost, in cost units. Later calls have no effect.
	Settle(result message.SettleResult, cost ident.Cost)
}

// Admitter queues work and waits for a grant.
type Admitter interface {
	// Admit queues the work and waits until it is granted. If the context ends or the deadline passes first, Admit
	// withdraws the work from the queue before it returns; a late grant is returned unused. Errors are of type
	// *NotAdmittedError.
	Admit(ctx context.Context, w Work) (Attempt, error)
	// NewRequest returns a unique reference for a new request.
	NewRequest() ident.RequestRef
}

// NotAdmittedError reports that work was not queued, or left the queue without a grant. The work has not run and will
// not run.
type NotAdmittedError struct {
	Reason NotAdmittedReason
	// RetryAfter is how long the caller should wait before it retries.
	RetryAfter time.Duration
}

// NotAdmittedReason is why work was not admitted.
type NotAdmittedReason string

// The reasons why work is not admitted.
const (
	NotAdmittedQueueFull  NotAdmittedReason = "queue-full"
	NotAdmittedDeadline   NotAdmittedReason = "deadline"
	NotAdmittedNoBackend  NotAdmittedReason = "no-backend-server"
	NotAdmittedCancelled  NotAdmittedReason = "cancelled"
	NotAdmittedNotServing NotAdmittedReason = "not-serving"
)

// Error returns a message with the reason.
func (e *NotAdmittedError) Error() string {
	return fmt.Sprintf("dispatch: not admitted: %s", e.Reason)
}
