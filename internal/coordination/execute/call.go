package execute

import (
	"context"
	"net/http"

	"gooseberrytide.example/gooseberrytide/internal/coordination/dispatch"
	"gooseberrytide.example/gooseberrytide/internal/coordination/message"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/state/object"
)

// Call runs a request to a plain service. If the context ends, an idempotent call is cancelled, while a non-idempotent
// call that was already sent continues until its result is recorded.
func (e *Executor) Call(ctx context.Context, r CallRequest) CallResult {
	if r.Ref == (ident.RequestRef{}) {
		r.Ref = e.admitter.NewRequest()
	}
	service, f := e.service(r.Service)
	if f != nil {
		return f.callResult(r)
	}
	deadline := earlierDeadline(r.Deadline, secondsOr(service.TimeoutSeconds, defaultServiceTimeout))
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	c := &call{
		executor: e,
		request:  r,
		service:  service,
		route:    matchRoute(service, r.Method, r.Path),
	}
	c.work = dispatch.Work{
		Ref:      ident.AttemptRef{Request: r.Ref},
		Team:     r.Team,
		Pool:     ident.ServicePool(r.Service),
		Hint:     c.route.Cost,
		Deadline: deadline,
	}
	if c.route.Idempotent {
		return c.runIdempotent(ctx)
	}
	return c.runAtMostOnce(ctx)
}

// service returns the configuration of a service, or a failure if requests to it cannot be accepted.
func (e *Executor) service(name string) (*object.Service, *failure) {
	set, notServing := e.configuration()
	if notServing != nil {
		return nil, notServing
	}
	service, ok := set.Services[name]
	if !ok {
		return nil, &failure{outcome: NotRun, reason: ReasonUnknownService}
	}
	return service, nil
}

// call is the state of a running call.
type call struct {
	executor *Executor
	request  CallRequest
	service  *object.Service
	route    object.Route
	work     dispatch.Work
}

// runIdempotent runs an idempotent call, with retries.
func (c *call) runIdempotent(ctx context.Context) CallResult {
	a := c.executor.newAttempts(c.work)
	for {
		g, err := a.admit(ctx)
		if err != nil {
			return admissionFailure(ctx, err, a.outcome()).callResult(c.request)
		}
		response, err := c.send(ctx, g, c.backendCall(0))
		if err == nil {
			return c.responseResult(response)
		}
		a.exclude(g.server())
		mayGoOn := provablyNotRun(err) || a.recordRun(false)
		if !mayGoOn || sendKind(err) == SendInvalid || !a.awaitRetry(ctx) {
			return sendFailure(ctx, err, a.outcome()).callResult(c.request)
		}
	}
}

// outcome returns the outcome of a request whose attempts got no whole response.
func (a *attempts) outcome() Outcome {
	if a.mayHaveRun {
		return Unknown
	}
	return NotRun
}

// send sends the call to the granted backend server and settles the attempt.
func (c *call) send(ctx context.Context, g *grant, b Call) (*Response, error) {
	defer g.settle(message.SettleFailed, c.route.Cost)
	response, err := c.executor.backends.Call(ctx, g.server(), b)
	c.settle(ctx, g, response, err)
	return response, err
}

// settle settles an attempt after the call was sent.
func (c *call) settle(ctx context.Context, g *grant, response *Response, err error) {
	if err == nil {
		g.settle(settleResultOfResponse(response), c.route.Cost)
		return
	}
	result := settleResultOfError(ctx, err)
	if result == message.SettleFailed {
		g.settle(result, c.route.Cost)
		return
	}
	g.settle(result, 0)
}

// settleResultOfResponse returns how an attempt with a whole response is settled. A 4xx response counts as success, so
// that invalid requests of callers do not count as failures of the backend server.
func settleResultOfResponse(r *Response) message.SettleResult {
	if r.Status >= http.StatusInternalServerError || r.Status < http.StatusOK {
		return message.SettleFailed
	}
	return message.SettleOK
}

func (c *call) backendCall(fence int64) Call {
	return Call{
		RequestID:        c.request.Ref.String(),
		Method:           c.request.Method,
		Path:             c.request.Path,
		Header:           c.request.Header,
		Body:             c.request.Body,
		Idempotent:       c.route.Idempotent,
		Key:              c.backendKey(),
		Fence:            fence,
		MaxResponseBytes: c.executor.maxResponseBytes,
	}
}

// responseResult returns the result of a call that got a whole response.
func (c *call) responseResult(response *Response) CallResult {
	result := CallResult{RequestID: c.request.Ref.String(), Outcome: Completed, Response: response}
	if response.Status >= http.StatusBadRequest || response.Status < http.StatusOK {
		result.Outcome = Failed
		result.Reason = ReasonServiceError
	}
	return result
}

// callResult converts the failure to the result of a call.
func (f failure) callResult(r CallRequest) CallResult {
	return CallResult{
		RequestID:  r.Ref.String(),
		Outcome:    f.outcome,
		Reason:     f.reason,
		RetryAfter: f.retryAfter,
		Key:        r.Key,
		Err:        f.err,
	}
}
