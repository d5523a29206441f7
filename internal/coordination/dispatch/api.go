package dispatch

import (
	"context"
	"fmt"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/coordination/message"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/state/object"
)

// Work describes a request that waits for a backend server.
type Work struct {
	// Ref names the request and the attempt. Attempts of a request are numbered from 1 and only grow.
	Ref  ident.AttemptRef
	Team ident.TeamID
	Pool ident.PoolID
	// Hint is the expected cost in cost units; 0 means unknown.
	Hint ident.Cost
	// Deadline is when the request stops waiting.
	Deadline time.Time
	// Prefix holds hashes of the prompt's leading blocks, longest prefix last. At most 8.
	Prefix []uint64
	// Exclude lists backend servers that refused earlier attempts. At most 4.
	Exclude []ident.BackendID
}

// Attempt is a granted attempt. Exactly one call of Settle ends it; later calls have no effect.
type Attempt interface {
	Ref() ident.AttemptRef
	Backend() *object.BackendServer
	// Progress records the cost so far, in cost units.
	Progress(cost ident.Cost)
	// Settle ends the attempt with its final cost, in cost units.
	Settle(result message.SettleResult, cost ident.Cost)
}

// Admitter queues work and waits for a grant.
type Admitter interface {
	// Admit waits until the work is granted. When the context ends or the deadline passes, the work is withdrawn
	// from the queue first and a late grant is returned unused. Errors: *NotAdmittedError.
	Admit(ctx context.Context, w Work) (Attempt, error)
	// NewRequest returns a reference for a new request.
	NewRequest() ident.RequestRef
}

// NotAdmittedError reports that work left the queue without a grant. The work did not run and cannot run.
type NotAdmittedError struct {
	Reason NotAdmittedReason
	// RetryAfter tells the caller when to come back.
	RetryAfter time.Duration
}

// NotAdmittedReason says why work was not admitted.
type NotAdmittedReason string

// The reasons for not admitting work.
const (
	NotAdmittedQueueFull  NotAdmittedReason = "queue-full"
	NotAdmittedDeadline   NotAdmittedReason = "deadline"
	NotAdmittedNoBackend  NotAdmittedReason = "no-backend-server"
	NotAdmittedCancelled  NotAdmittedReason = "cancelled"
	NotAdmittedNotServing NotAdmittedReason = "not-serving"
)

// Error describes the reason.
func (e *NotAdmittedError) Error() string {
	return fmt.Sprintf("dispatch: not admitted: %s", e.Reason)
}
