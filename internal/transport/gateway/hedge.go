package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"gooseberrytide.example/gooseberrytide/internal/coordination/admission"
	"gooseberrytide.example/gooseberrytide/internal/coordination/hedge"
	"gooseberrytide.example/gooseberrytide/internal/coordination/poison"
	"gooseberrytide.example/gooseberrytide/internal/state/logfield"
	"gooseberrytide.example/gooseberrytide/internal/state/routing"
)

const (
	// firstEventFactor is the time without a first event, as a multiple of the route's objective, after which a
	// substitute is made at another server.
	firstEventFactor = 3
	// pauseFactor is the pause between events, as a multiple of the route's maximum pause, after which a substitute is
	// made.
	pauseFactor = 2.5
	// minQuiet is the lower bound of both times. It prevents a busy server from being treated as unresponsive.
	minQuiet = 1500 * time.Millisecond
	// attemptTimeShare is the share of the remaining time that one server gets to respond before a substitute is made.
	attemptTimeShare = 0.5
)

// newHedge returns the hedge of an attempt. The hedge makes no substitutes for a request that may run only once, or
// that may crash its server.
func (x *exchange) newHedge(ctx context.Context, a *attempt) *hedge.Hedge[*attempt, position] {
	first, pause := x.quietLimits()
	if a.trial != nil {
		first, pause = 0, 0
	}
	if a.ahead != nil {
		first = pause
	}
	return hedge.New(a.position, hedge.Options[*attempt, position]{
		Context:     ctx,
		FirstLimit:  first,
		PauseLimit:  pause,
		Unread:      a.monitor.Unread,
		OnQuiet:     func() { x.recordQuiet(a) },
		Substitute:  x.substitute,
		Discard:     func(s *attempt) { s.discard() },
		CancelFirst: func() { a.cancel(errReplaced) },
	})
}

// recordQuiet reports to the admission controller that the server of an attempt is quiet. It reports nothing for a
// request that may not be sent again, because its server has until the deadline, which is longer than the limit, to
// respond.
func (x *exchange) recordQuiet(a *attempt) {
	if x.sends.mayRunAgain(x.route.MaxAttempts) {
		x.g.opts.Admission.RecordQuiet(a.ticket)
	}
}

// quietLimits returns the times after which an attempt is quiet: before the first part of its response, and after it.
// They are 0 if no substitute may be made.
func (x *exchange) quietLimits() (first, pause time.Duration) {
	if !x.route.Idempotent() {
		return 0, 0
	}
	first = time.Duration(attemptTimeShare * float64(time.Until(x.deadline)))
	if x.route.Kind != routing.Stream {
		return first, 0
	}
	first = min(first, max(firstEventFactor*x.route.Objective, minQuiet))
	return first, max(time.Duration(pauseFactor*float64(x.route.MaxPause)), minQuiet)
}

// substitute makes an attempt at another server, and at further ones as long as none of them has run the request. It
// returns the attempt with its first part, or false if there is no permit for it or if it failed.
func (x *exchange) substitute(ctx context.Context, at position) (a *attempt, ok bool) {
	// The HTTP server recovers panics only in the goroutine of the request.
	defer func() {
		if value := recover(); value != nil {
			x.g.opts.Log.Error("panic in a substitute", zap.String("request", x.metadata.ID), zap.Any("panic", value),
				zap.Stack("stack"))
			if a != nil {
				a.discard()
			}
			a, ok = nil, false
		}
	}()
	for {
		a = x.admitSubstitute(ctx, at)
		if a == nil {
			return nil, false
		}
		result := x.readAhead(a)
		switch {
		case result == 0:
			a.log("substitute responds")
			return a, true
		case ctx.Err() != nil:
			a.discard()
			a.log("substitute cancelled")
			return nil, false
		}
		a.finish(result)
		x.keepFailureResponse(a)
		a.log("substitute failed", zap.Stringer("result", result), logfield.Error(a.err))
		if result.mayHaveRun() {
			return nil, false
		}
	}
}

// admitSubstitute prepares a substitute if the evidence about the request, the number of attempts, the retry budget and the
// admission controller permit one. Otherwise it returns nil. It also returns nil while another substitute waits for its
// admission.
func (x *exchange) admitSubstitute(ctx context.Context, at position) *attempt {
	if !x.admitting.TryLock() {
		return nil
	}
	defer x.admitting.Unlock()
	if x.verdict().State != poison.Clear {
		return nil
	}
	if !x.sends.mayRunAgain(x.route.MaxAttempts) || !x.g.opts.RetryBudget.Available(time.Now(), x.service.Name) {
		return nil
	}
	ticket, decision, err := x.g.opts.Admission.Admit(ctx, x.admissionRequest())
	if err != nil || decision.Server == nil {
		return nil
	}
	if !x.g.opts.RetryBudget.Allow(time.Now(), x.service.Name) {
		x.g.opts.Admission.Finish(ticket, admission.ResultCancelled)
		return nil
	}
	return x.newAttempt(ctx, ticket, decision, at)
}

// readAhead sends a substitute and reads its first part. It returns 0 if there is one.
func (x *exchange) readAhead(a *attempt) sendResult {
	limit, _ := x.quietLimits()
	quiet := time.AfterFunc(max(limit, minQuiet), func() { x.recordQuiet(a) })
	defer quiet.Stop()
	if result := a.open(); result != 0 {
		return result
	}
	p, result := a.next()
	if result == 0 {
		a.ahead = &p
	}
	return result
}

// discard ends a substitute whose part is not delivered.
func (a *attempt) discard() {
	a.outcome = admission.ResultCancelled
	a.finish(sendDiscarded)
}
