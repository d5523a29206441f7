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

// maxAsks bounds how often a backend server that deduplicates is asked with the same key, the first time included.
const maxAsks = 3

// runOnce runs a non-idempotent call: it is claimed before it is queued, and only the holder of the claim sends it.
func (c *call) runOnce(ctx context.Context) CallResult {
	if c.request.Key == "" {
		c.request.Key = rand.Text()
	}
	held, recorded, err := c.executor.claims.Begin(ctx, c.claimCall())
	if err != nil {
		return claimVerdict(ctx, err).call(c.request)
	}
	if recorded != nil {
		return c.replay(recorded)
	}
	result := c.runHeld(ctx, held)
	result.Key = c.request.Key
	return result
}

// claimCall describes the call for its claim.
func (c *call) claimCall() claim.Call {
	r := c.request
	return claim.Call{
		Service:          r.Service,
		Team:             r.Team,
		Key:              r.Key,
		Fingerprint:      claim.NewFingerprint([]byte(r.Method), []byte(r.Path), []byte(r.Header.Get("Content-Type")), r.Body),
		RequestID:        r.Ref.String(),
		Retention:        time.Duration(c.service.ClaimRetentionSeconds) * time.Second,
		RunOnStoreOutage: c.service.OnStoreOutage == object.OutageRun,
	}
}

// replay answers with the recorded result of an earlier request.
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

// runHeld queues and sends a claimed call. Until it is sent, the claim can be given up.
func (c *call) runHeld(ctx context.Context, held *claim.Claim) CallResult {
	a := c.executor.newAttempts(c.work)
	// A call that was sent must be recorded, so only the deadline ends it and not the caller.
	sending, cancel := context.WithDeadline(context.WithoutCancel(ctx), c.work.Deadline)
	defer cancel()
	for {
		g, err := a.admit(ctx)
		if err != nil {
			c.abandon(held)
			return admissionVerdict(ctx, err, NotRun).call(c.request)
		}
		response, err := c.sendOnce(sending, g, held)
		if err == nil {
			return c.record(held, c.answered(response))
		}
		if !neverRan(err) {
			return c.record(held, sendVerdict(sending, err, Unknown).call(c.request))
		}
		a.exclude(g.server())
		if !a.again(ctx) {
			c.abandon(held)
			return sendVerdict(ctx, err, NotRun).call(c.request)
		}
	}
}

// sendOnce sends the call. A backend server that deduplicates is asked again with the same key while the outcome is
// unknown; a refusal of a repeat says nothing about the first.
func (c *call) sendOnce(ctx context.Context, g *grant, held *claim.Claim) (*Response, error) {
	defer g.settle(message.SettleFailed, c.route.Cost)
	server := g.server()
	request := c.backendCall(held.FencingNumber())
	response, err := c.executor.backends.Call(ctx, server, request)
	for ask := 2; c.mayAskAgain(ctx, server, err, ask); ask++ {
		repeat, repeatErr := c.executor.backends.Call(ctx, server, request)
		if repeatErr == nil {
			response, err = repeat, nil
		}
	}
	c.settle(ctx, g, response, err)
	return response, err
}

// mayAskAgain decides whether a server is asked again with the same key, and waits for the turn.
func (c *call) mayAskAgain(ctx context.Context, server *object.BackendServer, err error, ask int) bool {
	if err == nil || neverRan(err) || !server.Deduplicates || ask > maxAsks {
		return false
	}
	retry := c.executor.retry
	return retry.Allow(c.work.Team, c.work.Pool) && sleep(ctx, retry.Backoff(ask))
}

// backendKey returns the idempotency key that the service gets. It contains the team, because teams choose their keys
// independently and a service that deduplicates would give one team the other's answer. It is empty for an idempotent call without a key.
func (c *call) backendKey() string {
	if c.request.Key == "" {
		return ""
	}
	return url.PathEscape(string(c.request.Team)) + "/" + c.request.Key
}

// record puts the call's end into the claim. The caller gets the outcome even when it cannot be recorded yet.
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

// recordedHeader returns the header that a repeat gets.
func recordedHeader(h http.Header) http.Header {
	kept := h.Clone()
	kept.Del("Date")
	return kept
}

// abandon gives the claim up in the background, so that the caller's answer is not held back.
func (c *call) abandon(held *claim.Claim) {
	c.executor.abandoning.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
		defer cancel()
		if err := held.Abandon(ctx); err != nil {
			c.executor.log.Warn("execute: claim not given up yet", zap.String("request", c.request.Ref.String()), zap.Error(err))
		}
	})
}
