package execute

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"gooseberrytide.example/gooseberrytide/internal/coordination/claim"
	"gooseberrytide.example/gooseberrytide/internal/coordination/dispatch"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/state/object"
)

// Outcome says what is known about a caller's request.
type Outcome = claim.Outcome

// The outcomes of a request.
const (
	Completed = claim.Completed
	Failed    = claim.Failed
	NotRun    = claim.NotRun
	Unknown   = claim.Unknown
)

// Reason says why a request did not complete.
type Reason string

// The reasons.
const (
	ReasonQueueFull      Reason = "queue-full"
	ReasonDeadline       Reason = "deadline"
	ReasonNoBackend      Reason = "no-backend-server"
	ReasonCancelled      Reason = "cancelled"
	ReasonNotServing     Reason = "not-serving"
	ReasonMemory         Reason = "memory"
	ReasonUnknownService Reason = "unknown-service"
	ReasonUnknownModel   Reason = "unknown-model"
	ReasonUnknownVersion Reason = "unknown-version"
	ReasonClaimBudget    Reason = "claim-budget"
	ReasonStoreOutage    Reason = "store-outage"
	ReasonClaimUnsettled Reason = "claim-unsettled"
	ReasonClaimOpen      Reason = "claim-open"
	ReasonKeyConflict    Reason = "key-conflict"
	ReasonInvalidKey     Reason = "invalid-key"
	ReasonRefused        Reason = "refused"
	ReasonBroken         Reason = "broken"
	ReasonInvalidAnswer  Reason = "invalid-answer"
	ReasonServiceError   Reason = "service-error"
	ReasonRecordedResult Reason = "recorded-result"
)

// Claims begins idempotency claims. *claim.Manager implements it.
type Claims interface {
	Begin(ctx context.Context, c claim.Call) (*claim.Claim, *claim.Result, error)
}

var _ Claims = (*claim.Manager)(nil)

// RetryBudget limits retries. It is safe for concurrent use.
type RetryBudget interface {
	// Deposit records a first attempt, which earns a part of a retry.
	Deposit(team ident.TeamID, pool ident.PoolID)
	// Allow takes one retry out of the budget and reports whether there was one.
	Allow(team ident.TeamID, pool ident.PoolID) bool
	// Backoff returns the pause before an attempt. The first retry is attempt 2.
	Backoff(attempt int) time.Duration
}

// Options configure an executor. Admitter, Backends, Claims, Retry and Objects are required.
type Options struct {
	Admitter dispatch.Admitter
	Backends Backends
	Claims   Claims
	Retry    RetryBudget
	// Objects returns the configuration in force, or nil before the first.
	Objects func() *object.Set
	// Serving reports whether the router may take new requests. Default: always. It is asked before anything is
	// claimed or queued.
	Serving func() bool
	// MaxResponseBytes bounds the body of a service's answer. Default 8 MB.
	MaxResponseBytes int64
	// Logger gets failures that no caller sees. Default: none.
	Logger *zap.Logger
}

// CallRequest is a caller's request to a plain service.
type CallRequest struct {
	// Ref names the request. The zero value means a new one.
	Ref     ident.RequestRef
	Team    ident.TeamID
	Service string
	Method  string
	// Path is the path and query that the service gets, with a leading slash.
	Path   string
	Header http.Header
	Body   []byte
	// Key is the caller's idempotency key, or empty.
	Key string
	// Deadline ends the request earlier than the service's limit. The zero value means the service's limit.
	Deadline time.Time
}

// CallResult is the end of a call.
type CallResult struct {
	RequestID string
	Outcome   Outcome
	Reason    Reason
	// Response is the service's answer. It is nil when there was none.
	Response *Response
	// Key is the idempotency key of a non-idempotent call: the caller's, or a generated one.
	Key string
	// Replayed says that the answer was recorded by an earlier request with the same key.
	Replayed bool
	// BodyOmitted says that the answer was too large to be recorded and only its status is known.
	BodyOmitted bool
	// RetryAfter tells the caller when to come back. 0 when a repeat is pointless.
	RetryAfter time.Duration
	Err        error
}

// CompletionRequest is a caller's request for a completion.
type CompletionRequest struct {
	// Ref names the request. The zero value means a new one.
	Ref   ident.RequestRef
	Team  ident.TeamID
	Model string
	// Version names a version of the model. Empty means the model's default version.
	Version   string
	Prompt    string
	MaxTokens int
	// PromptTokens and OutputTokens are estimates for the scheduler, in tokens.
	PromptTokens, OutputTokens int
	// Prefix holds hashes of the prompt's leading blocks, longest prefix last. At most 8.
	Prefix []uint64
	// Deadline ends the request earlier than the model's limit. The zero value means the model's limit.
	Deadline time.Time
}

// CompletionResult is the end of a completion.
type CompletionResult struct {
	RequestID string
	Outcome   Outcome
	Reason    Reason
	// FinishReason is the engine's reason for the end.
	FinishReason string
	// PromptTokens and OutputTokens are the tokens of the caller's answer.
	PromptTokens, OutputTokens int
	// Resumes is the number of times that the stream was resumed.
	Resumes int
	// RetryAfter tells the caller when to come back. 0 when a repeat is pointless.
	RetryAfter time.Duration
	Err        error
}
