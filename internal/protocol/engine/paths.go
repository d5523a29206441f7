package engine

// Paths of the protocol.
const (
	PathCompletions = "/v1/completions"
	// PathRequests is followed by the id of a request. DELETE cancels the request.
	PathRequests = "/v1/requests/"
	PathEvents   = "/v1/events"
	PathOrders   = "/v1/orders"
	PathState    = "/v1/state"
)

// Headers of the protocol. Calls to plain services use the same ones.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderFence contains the fencing number of a call in decimal.
	HeaderFence = "Fencing-Number"
	// HeaderNotRun with the value "true" and status 429 or 503 states that the request did not run and will not run.
	HeaderNotRun = "Not-Run"
	NotRunTrue   = "true"
)

// Content types of the protocol.
const (
	ContentTypeJSON        = "application/json"
	ContentTypeEventStream = "text/event-stream"
	ContentTypeNDJSON      = "application/x-ndjson"
)
