package gateway

import "time"

// mayRetry reports whether the request may be sent again after a failed send. If so, it charges the retry to the
// budget, unless nothing reached the server.
func (x *exchange) mayRetry(result sendResult) bool {
	x.retryDenied = x.denyRetry(result)
	return x.retryDenied == ""
}

// retryDenial is the reason why a request is not sent again. It is empty if the request may be sent again.
type retryDenial string

const (
	denialSends    retryDenial = "sends"
	denialRoute    retryDenial = "not-idempotent"
	denialAttempts retryDenial = "max-attempts"
	denialBudget   retryDenial = "retry-budget"
	denialNoServer retryDenial = "no-server"
)

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
	case !x.g.opts.RetryBudget.Allow(time.Now(), x.service.Name):
		return denialBudget
	}
	return ""
}
