package reservation

import "gooseberrytide.example/gooseberrytide/internal/coordination/engineload"

// Limits bound the load of a server before one more request is sent to it.
type Limits struct {
	_ struct{} `cbor:",toarray"`
	// Running is the number of requests that the server may run, the new one included.
	Running int
	// PendingTokens is the number of prompt tokens that may wait to be read before the new request's; negative: any number.
	PendingTokens int
	// ContextTokens bounds the tokens in memory, those of the new request included, while other requests run; 0: no bound.
	ContextTokens int
}

// Fit reports whether a request with its own load fits beside a load.
func (l Limits) Fit(load, request engineload.Load) bool {
	if load.Running+request.Running > l.Running {
		return false
	}
	if l.ContextTokens > 0 && load.Running > 0 && load.ContextTokens+request.ContextTokens > l.ContextTokens {
		return false
	}
	return l.PendingTokens < 0 || load.PendingTokens < l.PendingTokens
}
