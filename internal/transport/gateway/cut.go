package gateway

import (
	"context"
	"net/http"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"gooseberrytide.example/gooseberrytide/internal/state/logfield"
)

// cutCause is the cause for which a connection is closed without a complete response.
type cutCause string

const (
	// cutDeadline means that the client's deadline or the route's timeout passed.
	cutDeadline cutCause = "deadline"
	// cutServerFailed means that the server did not complete the response and that no other server could continue it.
	cutServerFailed cutCause = "server-failed"
	// cutStopping means that the router stopped before the response was complete.
	cutStopping cutCause = "stopping"
	// cutBodyIncomplete means that the rest of a long body did not arrive.
	cutBodyIncomplete cutCause = "body-incomplete"
	// cutClientBlocked means that the client did not read the response.
	cutClientBlocked cutCause = "client-blocked"
	// cutPanic means that the handler panicked.
	cutPanic cutCause = "panic"
)

// recordCut records in metrics and log that a connection is closed without a complete response.
func (x *exchange) recordCut(cause cutCause) {
	x.g.opts.Metrics.CutResponses.WithLabelValues(string(cause)).Inc()
	x.log("cut", zap.String("reason", string(cause)), zap.Int("events", x.stream.eventsSent),
		partsField(x.metadata.Parts), x.fingerprintField(),
		zap.String("retry_denied", string(x.retryDenied)), logfield.Error(x.lastErr))
}

// abort closes the connection of a response that has been sent in part, so that the client cannot take it for complete.
func (x *exchange) abort(cause cutCause) {
	x.recordCut(cause)
	panic(http.ErrAbortHandler)
}

// endIncomplete ends an exchange after the first part of a long body has been sent and the rest cannot be.
func (x *exchange) endIncomplete(ctx context.Context) {
	switch cause := context.Cause(ctx); {
	case cause == nil:
		x.abort(cutBodyIncomplete)
	case errors.Is(cause, errDeadline):
		x.abort(cutDeadline)
	case errors.Is(cause, ErrStopping):
		x.abort(cutStopping)
	default:
		x.log("client-left")
		panic(http.ErrAbortHandler)
	}
}

// recordPanic is deferred. It records a panic of the handler, which goes on to the HTTP server.
func (x *exchange) recordPanic() {
	value := recover()
	if value == nil {
		return
	}
	if value != http.ErrAbortHandler {
		x.recordCut(cutPanic)
	}
	panic(value)
}
