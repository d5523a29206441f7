package execute

import (
	"context"
	"fmt"
	"net/http"

	"gooseberrytide.example/gooseberrytide/internal/state/object"
)

// Backends sends requests to backend servers.
type Backends interface {
	// Call sends one request to a plain service and returns the whole answer. Errors: *SendError.
	Call(ctx context.Context, server *object.BackendServer, call Call) (*Response, error)
	// Stream starts or resumes a completion on a model engine. Errors: *SendError.
	Stream(ctx context.Context, server *object.BackendServer, completion Completion) (Stream, error)
}

// Call is a request to a plain service.
type Call struct {
	RequestID string
	Method    string
	// Path is the path and query that the service gets.
	Path   string
	Header http.Header
	Body   []byte
	// Idempotent says that the call may be repeated. Otherwise the transport sends it at most once.
	Idempotent bool
	// Key is the idempotency key, or empty.
	Key string
	// Fence is the fencing number, or 0.
	Fence int64
	// MaxResponseBytes bounds the answer's body.
	MaxResponseBytes int64
}

// Response is a whole answer of a plain service.
type Response struct {
	Status  int
	Header  http.Header
	Trailer http.Header
	Body    []byte
}

// Completion is a request to a model engine.
type Completion struct {
	RequestID string
	Model     string
	Version   string
	Prompt    string
	MaxTokens int
	// ResumeAt is the number of tokens that the caller already has; the stream continues with that token index.
	ResumeAt int
	// Emitted is the text of the tokens that the caller already has.
	Emitted string
}

// Stream is a running completion. It is used by one goroutine.
type Stream interface {
	// Next returns the next chunk. After a chunk with Done set it is not called again. Errors: *SendError.
	Next() (Chunk, error)
	// Close cancels the stream if it still runs, and frees its resources.
	Close() error
}

// Chunk is a part of a completion.
type Chunk struct {
	// Index is the index of the chunk's first token in the whole completion, from 0.
	Index int
	// Tokens is the number of tokens in the chunk.
	Tokens int
	Text   string
	// Done marks the last chunk.
	Done         bool
	FinishReason string
	// PromptTokens is the number of prompt tokens that were charged; set in the last chunk.
	PromptTokens int
}

// SendErrorKind says what is known about a request that got no whole answer.
type SendErrorKind string

const (
	// SendNotSent reports that no byte of the request was written. The request did not run.
	SendNotSent SendErrorKind = "not-sent"
	// SendRefused reports that the backend server refused the request explicitly. The request did not run.
	SendRefused SendErrorKind = "refused"
	// SendBroken reports that the request was written, at least in part, and the answer is missing or cut.
	SendBroken SendErrorKind = "broken"
	// SendInvalid reports an answer that breaks the protocol or a limit.
	SendInvalid SendErrorKind = "invalid"
)

// SendError reports a request without a whole answer.
type SendError struct {
	Kind SendErrorKind
	// Backend names the backend server.
	Backend string
	// Status is the HTTP status of a refusal, or 0.
	Status int
	Cause  error
}

// Error describes the failure.
func (e *SendError) Error() string {
	return fmt.Sprintf("backend server %s: %s: %v", e.Backend, e.Kind, e.Cause)
}

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Cause }
