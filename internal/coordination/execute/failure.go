package execute

import (
	"context"
	"errors"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/coordination/claim"
	"gooseberrytide.example/gooseberrytide/internal/coordination/dispatch"
	"gooseberrytide.example/gooseberrytide/internal/coordination/message"
)

// failure is the final state of a request that got no whole response.
type failure struct {
	outcome    Outcome
	reason     Reason
	retryAfter time.Duration
	err        error
}

// admissionFailure returns the failure of a request that was not admitted. outcome is the outcome of the earlier
// attempts.
func admissionFailure(ctx context.Context, err error, outcome Outcome) failure {
	f := failure{outcome: outcome, reason: ReasonCancelled, retryAfter: defaultRetryAfter, err: err}
	var notAdmitted *dispatch.NotAdmittedError
	switch {
	case errors.As(err, &notAdmitted):
		f.reason = Reason(notAdmitted.Reason)
		if notAdmitted.RetryAfter > 0 {
			f.retryAfter = notAdmitted.RetryAfter
		}
	case isDeadline(ctx, err):
		f.reason = ReasonDeadline
	}
	return f
}

// sendFailure returns the failure of a request whose last send failed. outcome is the outcome of all attempts together.
func sendFailure(ctx context.Context, err error, outcome Outcome) failure {
	f := failure{outcome: outcome, reason: ReasonBroken, retryAfter: defaultRetryAfter, err: err}
	switch kind := sendKind(err); {
	case ctx.Err() != nil && isDeadline(ctx, err):
		f.reason = ReasonDeadline
	case ctx.Err() != nil:
		f.reason = ReasonCancelled
	case kind == SendInvalid:
		f.reason = ReasonInvalidAnswer
	case kind == SendNotSent || kind == SendRefused:
		f.reason = ReasonRefused
	}
	return f
}

// claimFailure returns the failure of a call whose idempotency key could not be claimed.
func claimFailure(ctx context.Context, err error) failure {
	f := failure{outcome: NotRun, reason: ReasonClaimUnsettled, retryAfter: defaultRetryAfter, err: err}
	var conflict *claim.KeyConflictError
	var store *claim.StoreError
	var open *claim.OpenError
	switch {
	case errors.Is(err, claim.ErrBudgetExceeded):
		f.reason = ReasonClaimBudget
	case errors.Is(err, claim.ErrInvalidKey):
		f.reason = ReasonInvalidKey
		f.retryAfter = 0
	case errors.Is(err, claim.ErrClosed):
		f.reason = ReasonNotServing
	case errors.As(err, &conflict):
		f.reason = ReasonKeyConflict
		f.retryAfter = 0
	case errors.As(err, &store):
		f.reason = ReasonStoreOutage
	case errors.As(err, &open):
		f.outcome = Unknown
		f.reason = ReasonClaimOpen
	case isDeadline(ctx, err):
		f.reason = ReasonDeadline
	case ctx.Err() != nil:
		f.reason = ReasonCancelled
	}
	return f
}

// sendKind returns the kind of a failed send. An error that is not a *SendError counts as SendBroken.
func sendKind(err error) SendErrorKind {
	var sendErr *SendError
	if errors.As(err, &sendErr) {
		return sendErr.Kind
	}
	return SendBroken
}

// provablyNotRun reports whether the error of a failed send proves that the request did not run.
func provablyNotRun(err error) bool {
	kind := sendKind(err)
	return kind == SendNotSent || kind == SendRefused
}

// settleResultOfError returns how an attempt is settled after a failed send.
func settleResultOfError(ctx context.Context, err error) message.SettleResult {
	switch sendKind(err) {
	case SendNotSent:
		if ctx.Err() != nil {
			return message.SettleUnused
		}
		return message.SettleRefused
	case SendRefused:
		return message.SettleRefused
	}
	return message.SettleFailed
}

// isDeadline reports whether the context or the error is the result of an exceeded deadline.
func isDeadline(ctx context.Context, err error) bool {
	return errors.Is(ctx.Err(), context.DeadlineExceeded) || errors.Is(err, context.DeadlineExceeded)
}
