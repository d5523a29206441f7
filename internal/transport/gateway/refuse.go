package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"gooseberrytide.example/gooseberrytide/internal/coordination/admission"
	"gooseberrytide.example/gooseberrytide/internal/state/logfield"
	"gooseberrytide.example/gooseberrytide/platform"
)

// Reasons for which the gateway refuses a request. Package admission defines further ones.
const (
	refusalNoConfig = "no-configuration"
	// refusalUnconfirmed is for a router that has just started and may not rely yet on what it has read from the store.
	refusalUnconfirmed = "configuration-unconfirmed"
	refusalNoService   = "no-service"
	refusalStale       = "configuration-stale"
	refusalMemory      = "memory"
	refusalStopping    = "stopping"
	refusalFull        = "servers-full"
	refusalOverload    = "processor-overload"
)

// Times after which a refused client may retry.
const (
	// retryAfterUnavailable is for a router that cannot serve requests at present. Another router can.
	retryAfterUnavailable = 50 * time.Millisecond
	// retryAfterShortage is for a shortage that ends quickly.
	retryAfterShortage = 300 * time.Millisecond
	// retryAfterOverload is for a router with an overloaded processor. It is longer, so that fewer requests arrive
	// meanwhile.
	retryAfterOverload = time.Second
)

// refuse responds with 503, which means that the request has not run and will not run, and with the time after which
// the client may retry.
func (x *exchange) refuse(reason string, retryAfter time.Duration, fields ...zap.Field) {
	x.g.opts.Metrics.Refusals.WithLabelValues(reason).Inc()
	if shouldCloseConnection(reason) {
		x.w.Header().Set("Connection", "close")
	}
	platform.EncodeRouterResponse(x.w.Header(), x.metadata.ID, retryAfter)
	x.writeRouterResponse(http.StatusServiceUnavailable)
	x.log("refused", append(fields, zap.String("reason", reason), zap.Duration("retry_after", retryAfter))...)
}

// refuseUnsubmitted refuses a request for which this router lacks processor time or memory, and counts it as demand of
// its team.
func (x *exchange) refuseUnsubmitted(reason string, retryAfter time.Duration) {
	x.g.opts.Admission.RecordRefused(x.admissionRequest())
	x.refuse(reason, retryAfter)
}

// shouldCloseConnection reports whether a refusal closes the connection, so that the client connects to another router:
// this router has more of the team's requests than it may run, lacks memory or processor time, or is shutting down.
// Otherwise a client that sends many requests on one connection would load a single router.
func shouldCloseConnection(reason string) bool {
	return reason == string(admission.ReasonBacklog) || reason == refusalMemory || reason == refusalStopping ||
		reason == refusalOverload
}

// reject responds that the request is not allowed.
func (x *exchange) reject(status int, reason string) {
	platform.EncodeRouterResponse(x.w.Header(), x.metadata.ID, 0)
	x.writeRouterResponse(status)
	x.log("rejected", zap.Int("status", status), zap.String("reason", reason))
}

// writeRouterResponse writes a response without a body that comes from the router and not from a server.
func (x *exchange) writeRouterResponse(status int) {
	x.g.opts.Metrics.Answers.WithLabelValues(statusClass(status), "router").Inc()
	x.limitUnreadBody()
	x.w.Header().Set("Content-Length", "0")
	x.w.WriteHeader(status)
}

// handleNotAdmitted ends a request for which the admission controller chose no server.
func (x *exchange) handleNotAdmitted(decision admission.Decision) {
	if x.current == nil {
		// The attempt has no server. It holds the waiting time for the log.
		x.current = &attempt{admissionWait: time.Since(x.arrival)}
	}
	if x.mayHaveRun() || x.stream.started {
		x.retryDenied = denialNoServer
		x.fail(sendBroken)
		return
	}
	if x.current.decision.Server == nil {
		x.current.decision = decision
	}
	x.refuse(string(decision.Reason), decision.RetryAfter)
}

// fail writes the final response after a failed send that is not retried.
func (x *exchange) fail(result sendResult) {
	mayHaveRun := x.mayHaveRun()
	failure := x.failureResponse.Load()
	switch {
	case x.stream.started:
		x.abort(cutServerFailed)
	case failure != nil:
		if failure.write(x) {
			x.recordAnswered(failure.status)
		}
	case !mayHaveRun && result == sendNotExecuted:
		x.refuse(refusalFull, x.retryAfterFull())
	case !mayHaveRun && (result == sendUnreachable || result == sendWithdrawn):
		x.refuse(string(admission.ReasonNoServer), retryAfterShortage)
	default:
		x.failWithStatus(http.StatusBadGateway, "no valid response")
	}
}

// retryAfterFull returns the time after which a client may retry a request that the last server did not run.
func (x *exchange) retryAfterFull() time.Duration {
	if pause, ok := x.g.opts.Admission.RetryAfterPause(x.current.decision.Server.ID); ok {
		return pause
	}
	return retryAfterShortage
}

// ErrStopping is the cancellation cause of the requests that are still in progress when the router stops.
var ErrStopping = errors.New("router stops")

// handleContextEnd ends a request whose client has disconnected or whose deadline has passed, or that the router cannot
// complete before it stops.
func (x *exchange) handleContextEnd(ctx context.Context) {
	switch {
	case errors.Is(context.Cause(ctx), ErrStopping):
		x.endStopping()
	case context.Cause(ctx) != errDeadline:
		x.log("client-left")
		panic(http.ErrAbortHandler)
	case x.stream.started:
		x.abort(cutDeadline)
	case !x.mayHaveRun():
		x.refuse(string(admission.ReasonDeadline), 0)
	default:
		x.failWithStatus(http.StatusGatewayTimeout, "deadline")
	}
}

// endStopping ends a request that cannot be completed before the router stops.
func (x *exchange) endStopping() {
	switch {
	case x.stream.started:
		x.abort(cutStopping)
	case !x.mayHaveRun():
		x.refuse(refusalStopping, retryAfterUnavailable)
	default:
		x.failWithStatus(http.StatusBadGateway, "router stops")
	}
}

// failWithStatus responds that the request failed and may have run.
func (x *exchange) failWithStatus(status int, reason string) {
	platform.EncodeRouterResponse(x.w.Header(), x.metadata.ID, 0)
	x.writeRouterResponse(status)
	x.log("failed", zap.Int("status", status), zap.String("reason", reason), partsField(x.metadata.Parts), x.fingerprintField(),
		zap.String("retry_denied", string(x.retryDenied)), logfield.Error(x.lastErr))
}

func statusClass(status int) string {
	switch {
	case status < 300:
		return "2xx"
	case status < 400:
		return "3xx"
	case status < 500:
		return "4xx"
	default:
		return "5xx"
	}
}
