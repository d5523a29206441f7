package execute

import (
	"context"
	"errors"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/coordination/claim"
	"gooseberrytide.example/gooseberrytide/internal/coordination/dispatch"
	"gooseberrytide.example/gooseberrytide/internal/coordination/message"
)

// verdict is the decided end of a request without a whole answer.
type verdict struct {
	outcome    Outcome
	reason     Reason
	retryAfter time.Duration
	err        error
}

// admissionVerdict decides the end of a request that was not admitted. sent says that an earlier attempt may have run.
func admissionVerdict(ctx context.Context, err error, sent Outcome) verdict {
	v := verdict{outcome: sent, reason: ReasonCancelled, retryAfter: defaultRetryAfter, err: err}
	var refused *dispatch.NotAdmittedError
	switch {
	case errors.As(err, &refused):
		v.reason = Reason(refused.Reason)
		if refused.RetryAfter > 0 {
			v.retryAfter = refused.RetryAfter
		}
	case isDeadline(ctx, err):
		v.reason = ReasonDeadline
	}
	return v
}

// sendVerdict decides the end of a request after a failed send. outcome is what is known over all attempts.
func sendVerdict(ctx context.Context, err error, outcome Outcome) verdict {
	v := verdict{outcome: outcome, reason: ReasonBroken, retryAfter: defaultRetryAfter, err: err}
	switch kind := sendKind(err); {
	case ctx.Err() != nil && isDeadline(ctx, err):
		v.reason = ReasonDeadline
	case ctx.Err() != nil:
		v.reason = ReasonCancelled
	case kind == SendInvalid:
		v.reason = ReasonInvalidAnswer
	case kind == SendNotSent || kind == SendRefused:
		v.reason = ReasonRefused
	}
	return v
}

// claimVerdict decides the end of a call without a claim.
func claimVerdict(ctx context.Context, err error) verdict {
	v := verdict{outcome: NotRun, reason: ReasonClaimUnsettled, retryAfter: defaultRetryAfter, err: err}
	var mismatch *claim.KeyConflictError
	var store *claim.StoreError
	var open *claim.OpenError
	switch {
	case errors.Is(err, claim.ErrBudgetExceeded):
		v.reason = ReasonClaimBudget
	case errors.Is(err, claim.ErrInvalidKey):
		v.reason = ReasonInvalidKey
		v.retryAfter = 0
	case errors.Is(err, claim.ErrClosed):
		v.reason = ReasonNotServing
	case errors.As(err, &mismatch):
		v.reason = ReasonKeyConflict
		v.retryAfter = 0
	case errors.As(err, &store):
		v.reason = ReasonStoreOutage
	case errors.As(err, &open):
		v.outcome = Unknown
		v.reason = ReasonClaimOpen
	case isDeadline(ctx, err):
		v.reason = ReasonDeadline
	case ctx.Err() != nil:
		v.reason = ReasonCancelled
	}
	return v
}

// sendKind returns the kind of a failed send. An error of another type is treated as a broken request.
func sendKind(err error) SendErrorKind {
	var failure *SendError
	if errors.As(err, &failure) {
		return failure.Kind
	}
	return SendBroken
}

// neverRan reports whether the failed send provably did not run the request.
func neverRan(err error) bool {
	kind := sendKind(err)
	return kind == SendNotSent || kind == SendRefused
}

// settleResult returns how an attempt is settled after a failed send.
func settleResult(ctx context.Context, err error) message.SettleResult {
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

func isDeadline(ctx context.Context, err error) bool {
	return errors.Is(ctx.Err(), context.DeadlineExceeded) || errors.Is(err, context.DeadlineExceeded)
}
