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

// Outcome is what is known about the execution of a caller's request.
type Outcome = claim.Outcome

// The outcomes of a request.
const (
	Completed = claim.Completed
	Failed    = claim.Failed
	NotRun    = claim.NotRun
	Unknown   = claim.Unknown
)

// Reason is why a request has its outcome.
type Reason string

// The reasons for an outcome other than Completed, and ReasonRecordedResult, which marks a result recorded by an
// earlier request with the same idempotency key.
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

// Claims claims idempotency keys. *claim.Manager implements it.
type Claims interface {
	Begin(ctx context.Context, c claim.Call) (*claim.Claim, *claim.Result, error)
}

var _ Claims = (*claim.Manager)(nil)

// RetryBudget limits retries. It is safe for concurrent use.
type RetryBudget interface {
	// Deposit records the first attempt of a request, which adds a fraction of a retry to the budget.
	Deposit(team ident.TeamID, pool ident.PoolID)
	// Allow takes one retry out of the budget. It returns false when the budget is used up.
	Allow(team ident.TeamID, pool ident.PoolID) bool
	// Backoff returns the delay before an attempt. The first retry is attempt 2.
	Backoff(attempt int) time.Duration
}

// Options configures an Executor. Admitter, Backends, Claims, Retry and Objects are required.
type Options struct {
	Admitter dispatch.Admitter
	Backends Backends
	Claims   Claims
	Retry    RetryBudget
	// Objects returns the current configuration, or nil until the first one is loaded.
	Objects func() *object.Set
	// Serving reports whether the router accepts new requests. It is called before a request is claimed or queued. The
	// default always returns true.
	Serving func() bool
	// MaxResponseBytes is the maximum size of a service's response body, in bytes. The default is 8 MiB.
	MaxResponseBytes int64
	// Logger receives failures that are not reported to a caller. The default discards them.
	Logger *zap.Logger
}

// CallRequest is a caller's request to a plain service.
type CallRequest struct {
	// Ref identifies the request. If it is the zero value, a new reference is generated.
	Ref     ident.RequestRef
	Team    ident.TeamID
	Service string
	Method  string
	// Path is the path and query sent to the service, with a leading slash.
	Path   string
	Header http.Header
	Body   []byte
	// Key is the caller's idempotency key, or empty.
	Key string
	// Deadline ends the request if it is earlier than the deadline set by the service's timeout. The zero value means that
	// only the service's timeout applies.
	Deadline time.Time
}

// CallResult is the result of a call.
type CallResult struct {
	RequestID string
	Outcome   Outcome
	Reason    Reason
	// Response is the service's response, or nil if there is none.
	Response *Response
	// Key is the idempotency key of a non-idempotent call: the caller's, or a generated one.
	Key string
	// Replayed reports that the result was recorded by an earlier request with the same key.
	Replayed bool
	// BodyOmitted reports that the response was too large to be recorded, so that only its status is known.
	BodyOmitted bool
	// RetryAfter is how long the caller should wait before it retries. 0 means that a retry is pointless.
	RetryAfter time.Duration
	// Err is the cause of a request that got no whole response. It may be nil.
	Err error
}

// CompletionRequest is a caller's request for a completion.
type CompletionRequest struct {
	// Ref identifies the request. If it is the zero value, a new reference is generated.
	Ref   ident.RequestRef
	Team  ident.TeamID
	Model string
	// Version is the name of a version of the model. Empty means the model's default version.
	Version   string
	Prompt    string
	MaxTokens int
	// PromptTokens and OutputTokens are the estimated token counts given to the scheduler.
	PromptTokens, OutputTokens int
	// Prefix holds hashes of the prompt's leading blocks, longest prefix last. At most 8.
	Prefix []uint64
	// Deadline ends the request if it is earlier than the deadline set by the model's timeout. The zero value means that
	// only the model's timeout applies.
	Deadline time.Time
}

// CompletionResult is the result of a completion.
type CompletionResult struct {
	RequestID string
	Outcome   Outcome
	Reason    Reason
	// FinishReason is why the engine stopped generating, as reported by the engine.
	FinishReason string
	// PromptTokens is the number of prompt tokens that the engine charged, and OutputTokens the number of tokens passed to
	// the caller.
	PromptTokens, OutputTokens int
	// Resumes is the number of times that the stream was resumed.
	Resumes int
	// RetryAfter is how long the caller should wait before it retries. 0 means that a retry is pointless.
	RetryAfter time.Duration
	// Err is the cause of a request that did not complete. It may be nil.
	Err error
}
