package execute

import (
	"context"
	"fmt"
	"net/http"

	"gooseberrytide.example/gooseberrytide/internal/state/object"
)

// Backends sends requests to backend servers.
type Backends interface {
	// Call sends a request to a plain service and returns the whole response. Errors are of type *SendError.
	Call(ctx context.Context, server *object.BackendServer, call Call) (*Response, error)
	// Stream starts or resumes a completion on a model engine. Errors are of type *SendError.
	Stream(ctx context.Context, server *object.BackendServer, completion Completion) (Stream, error)
}

// Call is a request to a plain service, as it is sent to a backend server.
type Call struct {
	RequestID string
	Method    string
	// Path is the path and query sent to the service.
	Path   string
	Header http.Header
	Body   []byte
	// Idempotent reports that the call may be sent more than once. Otherwise the transport sends it at most once.
	Idempotent bool
	// Key is the idempotency key, or empty.
	Key string
	// Fence is the fencing number of the claim, or 0 if there is none.
	Fence int64
	// MaxResponseBytes is the maximum size of the response body, in bytes.
	MaxResponseBytes int64
}

// Response is the whole response of a plain service.
type Response struct {
	Status  int
	Header  http.Header
	Trailer http.Header
	Body    []byte
}

// Completion is a request to a model engine, as it is sent to a backend server.
type Completion struct {
	RequestID string
	Model     string
	Version   string
	Prompt    string
	MaxTokens int
	// ResumeAt is the index of the first token to generate, which is the number of tokens that the caller already has.
	ResumeAt int
	// Emitted is the text of the tokens that the caller already has.
	Emitted string
}

// Stream is a running completion. It is not safe for concurrent use.
type Stream interface {
	// Next returns the next chunk. It must not be called again after a chunk with Done set. Errors are of type *SendError.
	Next() (Chunk, error)
	// Close cancels the stream if it is still running, and frees its resources.
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
	// PromptTokens is the number of prompt tokens that the engine charged. It is set only in the last chunk.
	PromptTokens int
}

// SendErrorKind classifies what is known about a request that got no whole response.
type SendErrorKind string

const (
	// SendNotSent means that no byte of the request was written. The request did not run.
	SendNotSent SendErrorKind = "not-sent"
	// SendRefused means that the backend server explicitly refused the request. The request did not run.
	SendRefused SendErrorKind = "refused"
	// SendBroken means that the request was written, at least in part, and the response is missing or incomplete. The
	// request may have run.
	SendBroken SendErrorKind = "broken"
	// SendInvalid means that the response violates the protocol or a limit. The request may have run.
	SendInvalid SendErrorKind = "invalid"
)

// SendError reports a request that got no whole response.
type SendError struct {
	Kind SendErrorKind
	// Backend is the name of the backend server.
	Backend string
	// Status is the HTTP status of a refusal, or 0.
	Status int
	Cause  error
}

// Error returns the backend server, the kind and the cause of the failure.
func (e *SendError) Error() string {
	return fmt.Sprintf("backend server %s: %s: %v", e.Backend, e.Kind, e.Cause)
}

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Cause }
