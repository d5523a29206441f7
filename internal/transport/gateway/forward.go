package gateway

import (
	"context"

	"go.uber.org/zap"

	"gooseberrytide.example/gooseberrytide/internal/coordination/hedge"
	"gooseberrytide.example/gooseberrytide/internal/state/logfield"
)

// run makes an attempt, and substitutes for it, until one of them has delivered the response or failed.
func (x *exchange) run(ctx context.Context, a *attempt) sendResult {
	for {
		x.current = a
		h := x.newHedge(ctx, a)
		result := x.forward(a, h)
		substitute, replaced := h.Stop()
		if a.replaced() {
			result = sendSilent
		}
		a.finish(result)
		if !replaced {
			x.recordFailure(a)
			return result
		}
		x.log("replaced", zap.String("substitute", substitute.decision.Server.ID), logfield.Error(a.err))
		a = substitute
	}
}

// recordFailure keeps what the client is told if no other attempt follows.
func (x *exchange) recordFailure(a *attempt) {
	if a.err != nil {
		x.lastErr = a.err
	}
	x.keepFailureResponse(a)
}

// keepFailureResponse keeps the failure that an attempt received, if it did.
func (x *exchange) keepFailureResponse(a *attempt) {
	if a.failureResponse != nil {
		x.failureResponse.Store(a.failureResponse)
	}
}

// forward forwards the response of an attempt to the client, unless a substitute delivers first.
func (x *exchange) forward(a *attempt, h *hedge.Hedge[*attempt, position]) sendResult {
	if a.resp == nil {
		if result := a.open(); result != 0 {
			return result
		}
	}
	for {
		p, result := a.next()
		if result != 0 {
			return result
		}
		if !h.Deliver(a.position) {
			return sendSilent
		}
		if result := x.deliver(a, p); result != 0 {
			return result
		}
		h.Await()
	}
}

// deliver forwards a part of a response to the client. It returns 0 if further parts follow.
func (x *exchange) deliver(a *attempt, p part) sendResult {
	switch {
	case p.body != nil:
		return x.deliverBody(a, p.body)
	case p.end:
		return x.deliverEnd(a)
	default:
		return x.deliverEvent(a, p.event)
	}
}
