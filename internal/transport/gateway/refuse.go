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

// Reasons of refusals by the router itself. Those of the admission are added to them.
const (
	refusalNoConfig  = "no-configuration"
	refusalNoService = "no-service"
	refusalStale     = "configuration-stale"
	refusalMemory    = "memory"
	refusalStopping  = "stopping"
	refusalFull      = "servers-full"
	refusalOverload  = "processor-overload"
)

// Times after which a refused client returns.
const (
	// returnElsewhere is for a router that does not serve now: another one does.
	returnElsewhere = 50 * time.Millisecond
	// returnSoon is for a shortage that passes quickly.
	returnSoon = 300 * time.Millisecond
	// returnOverload is for a router whose processor is behind. It is longer, so that fewer requests come meanwhile.
	returnOverload = time.Second
)

// refuse answers that the request has not run and will not, and when to return.
func (x *exchange) refuse(reason string, retryAfter time.Duration) {
	x.g.opts.Metrics.Refusals.WithLabelValues(reason).Inc()
	if spreads(reason) {
		x.w.Header().Set("Connection", "close")
	}
	platform.EncodeRouterResponse(x.w.Header(), x.info.ID, retryAfter)
	x.own(http.StatusServiceUnavailable)
	x.log("refused", zap.String("reason", reason), zap.Duration("retry_after", retryAfter))
}

// spreads reports whether the client should open its next connection to another router: this one has more of the team's
// requests than it may run, or is about to stop. A client that presses on one connection would otherwise load one router.
func spreads(reason string) bool {
	return reason == string(admission.ReasonBacklog) || reason == refusalMemory || reason == refusalStopping || reason == refusalOverload
}

// reject answers that the request is not allowed.
func (x *exchange) reject(status int, reason string) {
	platform.EncodeRouterResponse(x.w.Header(), x.info.ID, 0)
	x.own(status)
	x.log("rejected", zap.Int("status", status), zap.String("reason", reason))
}

// own writes an answer of the router's own, without a body.
func (x *exchange) own(status int) {
	x.g.opts.Metrics.Answers.WithLabelValues(statusClass(status), "router").Inc()
	x.w.Header().Set("Content-Length", "0")
	x.w.WriteHeader(status)
}

// unplaced answers a request for which the admission found no place.
func (x *exchange) unplaced(v admission.Decision) {
	if x.runs > 0 || x.stream.begun {
		x.fail(sendBroken)
		return
	}
	x.refuse(string(v.Reason), v.RetryAfter)
}

// fail gives the final answer after a failed send.
func (x *exchange) fail(result sendResult) {
	switch {
	case x.stream.begun:
		x.cut("stream broken")
	case x.held != nil:
		x.held.write(x, true)
		x.answered(x.held.status)
	case x.runs == 0 && result == sendNotExecuted:
		x.refuse(refusalFull, returnSoon)
	case x.runs == 0 && result == sendUnreachable:
		x.refuse(string(admission.ReasonNoServer), returnSoon)
	case result == sendSilent:
		x.status(http.StatusGatewayTimeout, "no answer")
	default:
		x.status(http.StatusBadGateway, "broken answer")
	}
}

// giveUp ends a request whose client left or whose deadline passed.
func (x *exchange) giveUp(ctx context.Context) {
	switch {
	case context.Cause(ctx) != errDeadline:
		x.log("client-left")
		panic(http.ErrAbortHandler)
	case x.stream.begun:
		x.cut("deadline")
	case x.runs == 0:
		x.refuse(string(admission.ReasonDeadline), 0)
	default:
		x.status(http.StatusGatewayTimeout, "deadline")
	}
}

// status answers that the request failed and may have run.
func (x *exchange) status(status int, reason string) {
	platform.EncodeRouterResponse(x.w.Header(), x.info.ID, 0)
	x.own(status)
	x.log("failed", zap.Int("status", status), zap.String("reason", reason), logfield.Error(x.lastErr))
}

// cut ends an answer that has begun so that it cannot look whole.
func (x *exchange) cut(reason string) {
	x.log("cut", zap.String("reason", reason), logfield.Error(x.lastErr))
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

// log writes the line of a decision on the request.
func (x *exchange) log(outcome string, fields ...zap.Field) {
	route, version := "", int64(0)
	if x.route != nil {
		route = x.route.Name
	}
	if x.table != nil {
		version = x.table.Version
	}
	age, _ := x.g.opts.Proof.Age()
	x.g.opts.Log.Info(outcome, append([]zap.Field{
		zap.String("request", x.info.ID),
		zap.String("route", route),
		zap.String("team", x.team),
		zap.String("server", x.server),
		zap.Int("sends", x.sends),
		zap.Int64("config", version),
		zap.Duration("config_age", age),
		zap.Duration("waited", x.waited),
		zap.Duration("first", x.first),
		zap.Duration("took", time.Since(x.arrival)),
		zap.Int("tokens", x.info.PromptTokens),
		zap.Int("cached", x.cached),
		zap.Int("running", x.load.Running),
		zap.Int("pending", x.load.PendingTokens),
		zap.Duration("predicted", x.predicted),
	}, fields...)...)
}
