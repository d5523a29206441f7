package reservation

import "gooseberrytide.example/gooseberrytide/internal/coordination/engineload"

// Limits bound the load of a server to which one more request is sent.
type Limits struct {
	_ struct{} `cbor:",toarray"`
	// Running is the number of requests that the server may run, the new one included.
	Running int
	// PendingTokens is the bound that the prompt tokens to prefill before the new request must be below. A negative
	// value means no bound.
	PendingTokens int
	// ContextTokens bounds the tokens in memory, those of the new request included. It does not apply to a server
	// without running requests. 0 means no bound.
	ContextTokens int
}

// Fit reports whether a request with the given load may be added to a server's load.
func (l Limits) Fit(load, request engineload.Load) bool {
	if load.Running+request.Running > l.Running {
		return false
	}
	if l.ContextTokens > 0 && load.Running > 0 && load.ContextTokens+request.ContextTokens > l.ContextTokens {
		return false
	}
	return l.PendingTokens < 0 || load.PendingTokens < l.PendingTokens
}
