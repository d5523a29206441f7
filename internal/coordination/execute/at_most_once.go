package execute

import (
	"context"
	"crypto/rand"
	"net/http"
	"net/url"
	"time"

	"go.uber.org/zap"

	"gooseberrytide.example/gooseberrytide/internal/coordination/claim"
	"gooseberrytide.example/gooseberrytide/internal/coordination/message"
	"gooseberrytide.example/gooseberrytide/internal/state/object"
)

// maxSends is the maximum number of times that a call is sent to a backend server that deduplicates, with the same key,
// including the first time.
const maxSends = 3

// runAtMostOnce runs a non-idempotent call. The call's key is claimed before the call is queued, and only the holder of
// the claim sends the call.
func (c *call) runAtMostOnce(ctx context.Context) CallResult {
	if c.request.Key == "" {
		c.request.Key = rand.Text()
	}
	held, recorded, err := c.executor.claims.Begin(ctx, c.claimCall())
	if err != nil {
		return claimFailure(ctx, err).callResult(c.request)
	}
	if recorded != nil {
		return c.replay(recorded)
	}
	result := c.runClaimed(ctx, held)
	result.Key = c.request.Key
	return result
}

// claimCall returns the description of the call that the claim needs.
func (c *call) claimCall() claim.Call {
	r := c.request
	return claim.Call{
		Service: r.Service,
		Team:    r.Team,
		Key:     r.Key,
		Fingerprint: claim.NewFingerprint(
			[]byte(r.Method), []byte(r.Path), []byte(r.Header.Get("Content-Type")), r.Body,
		),
		RequestID:        r.Ref.String(),
		Retention:        time.Duration(c.service.ClaimRetentionSeconds) * time.Second,
		RunOnStoreOutage: c.service.OnStoreOutage == object.OutageRun,
	}
}

// replay returns the recorded result of an earlier request.
func (c *call) replay(r *claim.Result) CallResult {
	result := CallResult{
		RequestID:   c.request.Ref.String(),
		Outcome:     r.Outcome,
		Reason:      ReasonRecordedResult,
		Key:         c.request.Key,
		Replayed:    true,
		BodyOmitted: r.BodyOmitted,
	}
	if r.Status != 0 {
		result.Response = &Response{Status: r.Status, Header: r.Header.Clone(), Body: r.Body}
	}
	return result
}

// runClaimed queues and sends a claimed call. If the call provably did not run, it abandons the claim; otherwise it
// records the result.
func (c *call) runClaimed(ctx context.Context, held *claim.Claim) CallResult {
	a := c.executor.newAttempts(c.work)
	// A call that was sent must be recorded, so it ends at its deadline and not when the caller disconnects.
	sendCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), c.work.Deadline)
	defer cancel()
	for {
		g, err := a.admit(ctx)
		if err != nil {
			c.abandon(held)
			return admissionFailure(ctx, err, NotRun).callResult(c.request)
		}
		response, err := c.sendClaimed(sendCtx, g, held)
		if err == nil {
			return c.record(held, c.responseResult(response))
		}
		if !provablyNotRun(err) {
			return c.record(held, sendFailure(sendCtx, err, Unknown).callResult(c.request))
		}
		a.exclude(g.server())
		if !a.awaitRetry(ctx) {
			c.abandon(held)
			return sendFailure(ctx, err, NotRun).callResult(c.request)
		}
	}
}

// sendClaimed sends the call. While the outcome is unknown, it sends the call again with the same key to a backend
// server that deduplicates. It ignores a failed repeat, because even a refusal of the repeat does not show whether the
// first one ran.
func (c *call) sendClaimed(ctx context.Context, g *grant, held *claim.Claim) (*Response, error) {
	defer g.settle(message.SettleFailed, c.route.Cost)
	server := g.server()
	request := c.backendCall(held.FencingNumber())
	response, err := c.executor.backends.Call(ctx, server, request)
	for n := 2; c.awaitResend(ctx, server, err, n); n++ {
		repeat, repeatErr := c.executor.backends.Call(ctx, server, request)
		if repeatErr == nil {
			response, err = repeat, nil
		}
	}
	c.settle(ctx, g, response, err)
	return response, err
}

// awaitResend reports whether the call may be sent to the server again with the same key, after waiting for the backoff
// delay.
func (c *call) awaitResend(ctx context.Context, server *object.BackendServer, err error, n int) bool {
	if err == nil || provablyNotRun(err) || !server.Deduplicates || n > maxSends {
		return false
	}
	retry := c.executor.retry
	return retry.Allow(c.work.Team, c.work.Pool) && sleep(ctx, retry.Backoff(n))
}

// backendKey returns the idempotency key sent to the service. It contains the team, because teams choose their keys
// independently and a service that deduplicates would return one team's response to another team that uses the same
// key. It is empty for an idempotent call without a key.
func (c *call) backendKey() string {
	if c.request.Key == "" {
		return ""
	}
	return url.PathEscape(string(c.request.Team)) + "/" + c.request.Key
}

// record records the call's result in the claim. The caller gets the result even if it could not be recorded in time.
func (c *call) record(held *claim.Claim, r CallResult) CallResult {
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	recorded := claim.Result{Outcome: r.Outcome, RequestID: r.RequestID}
	if r.Response != nil {
		recorded.Status = r.Response.Status
		recorded.Header = recordedHeader(r.Response.Header)
		recorded.Body = r.Response.Body
	}
	if err := held.Finish(ctx, recorded); err != nil {
		c.executor.log.Warn("execute: result not recorded yet", zap.String("request", r.RequestID), zap.Error(err))
	}
	return r
}

// recordedHeader returns the header to record, which is returned to repeats of the call: all fields except Date.
func recordedHeader(h http.Header) http.Header {
	kept := h.Clone()
	kept.Del("Date")
	return kept
}

// abandon abandons the claim in the background, so that it does not delay the response to the caller.
func (c *call) abandon(held *claim.Claim) {
	c.executor.pendingAbandons.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
		defer cancel()
		if err := held.Abandon(ctx); err != nil {
			c.executor.log.Warn("execute: claim not abandoned", zap.String("request", c.request.Ref.String()), zap.Error(err))
		}
	})
}
