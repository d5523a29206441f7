package gateway

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"gooseberrytide.example/gooseberrytide/internal/coordination/admission"
	"gooseberrytide.example/gooseberrytide/internal/state/logfield"
	"gooseberrytide.example/gooseberrytide/platform"
)

// Reasons for which the gateway refuses a request. Package admission defines further ones.
const (
	refusalNoConfig  = "no-configuration"
	refusalNoService = "no-service"
	refusalStale     = "configuration-stale"
	refusalMemory    = "memory"
	refusalStopping  = "stopping"
	refusalFull      = "servers-full"
	refusalOverload  = "processor-overload"
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
func (x *exchange) refuse(reason string, retryAfter time.Duration) {
	x.g.opts.Metrics.Refusals.WithLabelValues(reason).Inc()
	if shouldCloseConnection(reason) {
		x.w.Header().Set("Connection", "close")
	}
	platform.EncodeRouterResponse(x.w.Header(), x.metadata.ID, retryAfter)
	x.writeRouterResponse(http.StatusServiceUnavailable)
	x.log("refused", zap.String("reason", reason), zap.Duration("retry_after", retryAfter))
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
	x.w.Header().Set("Content-Length", "0")
	x.w.WriteHeader(status)
}

// handleNotAdmitted ends a request for which the admission controller chose no server.
func (x *exchange) handleNotAdmitted(decision admission.Decision) {
	if x.possibleRuns > 0 || x.stream.started {
		x.retryDenied = denialNoServer
		x.fail(sendBroken)
		return
	}
	x.refuse(string(decision.Reason), decision.RetryAfter)
}

// fail writes the final response after a failed send that is not retried.
func (x *exchange) fail(result sendResult) {
	switch {
	case x.stream.started && result == sendSilent:
		x.abort(cutServerSilent)
	case x.stream.started:
		x.abort(cutServerFailed)
	case x.failureResponse != nil:
		if x.failureResponse.write(x, true) {
			x.recordAnswered(x.failureResponse.status)
		}
	case x.possibleRuns == 0 && result == sendNotExecuted:
		x.refuse(refusalFull, x.retryAfterFull())
	case x.possibleRuns == 0 && (result == sendUnreachable || result == sendWithdrawn):
		x.refuse(string(admission.ReasonNoServer), retryAfterShortage)
	case result == sendSilent:
		x.failWithStatus(http.StatusGatewayTimeout, "no response")
	default:
		x.failWithStatus(http.StatusBadGateway, "no valid response")
	}
}

// retryAfterFull returns the time after which the client of a request that the last server has turned away may retry.
func (x *exchange) retryAfterFull() time.Duration {
	if pause, ok := x.g.opts.Admission.RetryAfterPause(x.server); ok {
		return pause
	}
	return retryAfterShortage
}

// handleContextEnd ends a request whose client has disconnected or whose deadline has passed.
func (x *exchange) handleContextEnd(ctx context.Context) {
	switch {
	case context.Cause(ctx) != errDeadline:
		x.log("client-left")
		panic(http.ErrAbortHandler)
	case x.stream.started:
		x.abort(cutDeadline)
	case x.possibleRuns == 0:
		x.refuse(string(admission.ReasonDeadline), 0)
	default:
		x.failWithStatus(http.StatusGatewayTimeout, "deadline")
	}
}

// failWithStatus responds that the request failed and may have run.
func (x *exchange) failWithStatus(status int, reason string) {
	platform.EncodeRouterResponse(x.w.Header(), x.metadata.ID, 0)
	x.writeRouterResponse(status)
	x.log("failed", zap.Int("status", status), zap.String("reason", reason),
		zap.String("retry_denied", string(x.retryDenied)), logfield.Error(x.lastErr))
}

// cutCause is the cause for which a connection is closed without a complete response.
type cutCause string

const (
	// cutDeadline means that the client's deadline or the route's timeout passed.
	cutDeadline cutCause = "deadline"
	// cutServerFailed means that the server did not complete the response and that no other server could continue it.
	cutServerFailed cutCause = "server-failed"
	// cutServerSilent means the same of a server that sent nothing for too long.
	cutServerSilent cutCause = "server-silent"
	// cutBodyIncomplete means that the rest of a long body did not arrive.
	cutBodyIncomplete cutCause = "body-incomplete"
)

// abort closes the connection of a response that has been sent in part, so that the client cannot take it for complete.
func (x *exchange) abort(cause cutCause) {
	x.g.opts.Metrics.CutResponses.WithLabelValues(string(cause)).Inc()
	x.log("cut", zap.String("reason", string(cause)), zap.Int("events", x.stream.eventsSent),
		zap.String("retry_denied", string(x.retryDenied)), logfield.Error(x.lastErr))
	panic(http.ErrAbortHandler)
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

// log logs an outcome or a decision with the fields of the request.
func (x *exchange) log(outcome string, fields ...zap.Field) {
	entry := x.g.opts.Log.Check(zap.InfoLevel, outcome)
	if entry == nil {
		return
	}
	route, version := "", int64(0)
	if x.route != nil {
		route = x.route.Name
	}
	if x.table != nil {
		version = x.table.Version
	}
	age, _ := x.g.opts.Proof.Age()
	entry.Write(append([]zap.Field{
		zap.String("request", x.metadata.ID),
		zap.String("route", route),
		zap.String("team", x.team),
		zap.String("server", x.server),
		zap.Int("sends", x.sends),
		zap.Int64("config", version),
		zap.Duration("config_age", age),
		zap.Duration("waited", x.admissionWait),
		zap.Duration("first", x.timeToFirst),
		zap.Duration("took", time.Since(x.arrival)),
		zap.Int("tokens", x.metadata.PromptTokens),
		zap.Int("cached", x.cachedTokens),
		zap.Int("running", x.load.Running),
		zap.Int("pending", x.load.PendingTokens),
		zap.Duration("predicted", x.predictedFirstEvent),
	}, fields...)...)
}
