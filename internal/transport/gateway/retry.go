package gateway

import (
	"time"
)

// mayRetry reports whether the request may be sent again after a failed send. If so, it charges the retry to the
// budget, unless nothing reached the server.
func (x *exchange) mayRetry(result sendResult) bool {
	x.retryDenied = x.denyRetry(result)
	return x.retryDenied == ""
}

// retryDenial is the reason why a request is not sent again. It is empty if the request may be sent again.
type retryDenial string

const (
	// denialSends means that maxSends is reached.
	denialSends retryDenial = "sends"
	// denialRoute means that the request may have run and that the route's requests may run only once.
	denialRoute retryDenial = "not-idempotent"
	// denialAttempts means that the request may have run as often as the route allows.
	denialAttempts retryDenial = "max-attempts"
	// denialBudget means that the retry budget of the service is used up.
	denialBudget retryDenial = "retry-budget"
	// denialPart means that a part of the prompt is suspected of crashing servers, or blocked for it.
	denialPart retryDenial = "suspected-part"
	// denialRequest means the same of the request as a whole. A suspected one is sent again only as a trial.
	denialRequest retryDenial = "suspected-request"
	// denialNoServer means that the admission controller chose no further server.
	denialNoServer retryDenial = "no-server"
)

// denyRetry returns why the request may not be sent again. If it may be, it charges the retry as mayRetry describes.
func (x *exchange) denyRetry(result sendResult) retryDenial {
	count, possibleRuns := x.sends.total()
	switch {
	case count >= maxSends:
		return denialSends
	case result == sendUnreachable || result == sendWithdrawn:
		return "" // nothing reached the server
	case result.mayHaveRun() && !x.route.Idempotent():
		return denialRoute
	case result.mayHaveRun() && possibleRuns >= x.route.MaxAttempts:
		return denialAttempts
	}
	if result.mayHaveRun() {
		if verdict := x.verdict(); !mayRepeat(verdict) {
			return suspectDenial(verdict)
		}
	}
	if !x.g.opts.RetryBudget.Allow(time.Now(), x.service.Name) {
		return denialBudget
	}
	return ""
}
