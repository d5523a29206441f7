package gateway

import (
	"context"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"gooseberrytide.example/gooseberrytide/internal/coordination/poison"
	"gooseberrytide.example/gooseberrytide/internal/transport/upstream"
)

// Reasons for which a request that may crash its server is refused: a part of its prompt, or the request as a whole, is
// blocked or suspected.
const (
	refusalBlockedPart      = "blocked-part"
	refusalSuspectedPart    = "suspected-part"
	refusalBlockedRequest   = "blocked-request"
	refusalSuspectedRequest = "suspected-request"
)

// newPoisonRequest returns the request as package poison follows it.
func (x *exchange) newPoisonRequest() *poison.Request {
	identity := poison.RequestIdentity{
		Team: x.team, Method: x.r.Method, Host: x.r.Host, Target: x.r.RequestURI, Body: x.body,
	}
	if x.service.Engine != nil {
		identity.Prompt = x.metadata.Parts
	}
	return poison.NewRequest(identity)
}

// permitSuspect reports whether the request may be sent although it may crash its server. If it is suspected of that, it
// needs a trial. If the request may not be sent, permitSuspect ends it.
func (x *exchange) permitSuspect(ctx context.Context) bool {
	x.trial = nil // that of an earlier attempt has ended with it
	verdict := x.verdict()
	if verdict.State == poison.Clear {
		return true
	}
	sentBefore := x.mayHaveRun() || x.stream.started
	if !sentBefore || mayRepeat(verdict) {
		verdict, x.trial = x.g.opts.Poison.Permit(ctx, x.poison)
	}
	switch {
	case x.trial != nil:
		x.log("trial", verdictFields(verdict)...)
		return true
	case verdict.State == poison.Clear:
		return true
	case ctx.Err() != nil:
		x.handleContextEnd(ctx)
	case sentBefore:
		x.retryDenied = suspectDenial(verdict)
		x.fail(sendBroken)
	default:
		x.refuseSuspect(verdict)
	}
	return false
}

// verdict returns the verdict on the request. A request that a server has responded to for a while is clear.
func (x *exchange) verdict() poison.Verdict {
	if x.proven.Load() {
		return poison.Verdict{}
	}
	return x.g.opts.Poison.Check(x.poison)
}

// mayRepeat reports whether a request that a server may have run may be sent to another one as a trial, as far as its
// verdict goes. All requests on a crashed server are suspected as a whole, and the trial tells which of them is the cause. A
// part of the prompt is also in other requests, which are tried in place of this one.
func mayRepeat(v poison.Verdict) bool {
	return v.State == poison.Clear || v.State == poison.Suspected && !v.PartSuspected
}

// mayStillSend reports, just before the request is sent, whether what permitSuspect has found still holds.
func (a *attempt) mayStillSend() bool {
	state := a.x.verdict().State
	if a.trial != nil {
		return state != poison.Blocked && a.trial.MaySend()
	}
	return state == poison.Clear
}

// refuseSuspect refuses a request that may crash its server. The status is 503 because the request has not run: a status of
// 400 or above and below 500 would tell the client that the request itself is wrong, which is not known.
func (x *exchange) refuseSuspect(verdict poison.Verdict) {
	x.refuse(suspectRefusal(verdict), spread(verdict.RetryAfter), verdictFields(verdict)...)
}

func suspectRefusal(v poison.Verdict) string {
	isRequest, isBlocked := v.Fingerprint.Kind == poison.KindRequest, v.State == poison.Blocked
	switch {
	case isRequest && isBlocked:
		return refusalBlockedRequest
	case isRequest:
		return refusalSuspectedRequest
	case isBlocked:
		return refusalBlockedPart
	default:
		return refusalSuspectedPart
	}
}

func suspectDenial(v poison.Verdict) retryDenial {
	if v.PartSuspected {
		return denialPart
	}
	return denialRequest
}

func verdictFields(v poison.Verdict) []zap.Field {
	name := "part"
	if v.Fingerprint.Kind == poison.KindRequest {
		name = "fingerprint"
	}
	return []zap.Field{
		zap.String(name, v.Fingerprint.String()), zap.Int("crashes", v.Crashes), zap.Strings("servers", v.Servers),
		zap.Duration("first_crash", v.Since),
	}
}

// recordEvidence records what the end of an attempt tells about the request. It takes some milliseconds if the connection
// was lost, since it then finds out whether the server has ended.
func (a *attempt) recordEvidence(result sendResult) {
	defer a.trial.End()
	if a.lossRecorded {
		return
	}
	switch {
	case (result == sendAnswered || result == sendError) && a.isProof():
		a.tracked.Complete()
		a.x.proven.Store(true)
	case (result == sendBroken || result == sendIncomplete) && a.ctx.Err() == nil &&
		(upstream.ConnectionLost(a.err) || errors.Is(a.err, errNoEvents)):
		a.crashed = a.tracked.Lost(a.ctx)
	case result.leavesRunning() && !a.sentAt.IsZero():
		a.tracked.Unanswered()
	default:
		a.tracked.End()
	}
}

// isProof reports whether a complete response shows that its server has survived it. The end of a response without a
// length may be that of the server. A response with the status of a failure is as good as any other.
func (a *attempt) isProof() bool {
	return !a.resp.EndsWithConnection() && (a.events == nil || a.responded)
}
