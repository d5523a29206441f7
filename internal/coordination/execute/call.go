package execute

import (
	"context"
	"net/http"

	"gooseberrytide.example/gooseberrytide/internal/coordination/dispatch"
	"gooseberrytide.example/gooseberrytide/internal/coordination/message"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/state/object"
)

// Call runs a request to a plain service. A caller who leaves ends an idempotent call; a non-idempotent call that was
// sent goes on until it is recorded.
func (e *Executor) Call(ctx context.Context, r CallRequest) CallResult {
	if r.Ref == (ident.RequestRef{}) {
		r.Ref = e.admitter.NewRequest()
	}
	service, v := e.service(r.Service)
	if v != nil {
		return v.call(r)
	}
	deadline := earliest(r.Deadline, seconds(service.TimeoutSeconds, defaultServiceTimeout))
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	c := &call{
		executor: e,
		request:  r,
		service:  service,
		route:    routeOf(service, r.Method, r.Path),
	}
	c.work = dispatch.Work{
		Ref:      ident.AttemptRef{Request: r.Ref},
		Team:     r.Team,
		Pool:     ident.ServicePool(r.Service),
		Hint:     c.route.Cost,
		Deadline: deadline,
	}
	if c.route.Idempotent {
		return c.runRepeatable(ctx)
	}
	return c.runOnce(ctx)
}

func (e *Executor) service(name string) (*object.Service, *verdict) {
	set, refused := e.configuration()
	if refused != nil {
		return nil, refused
	}
	service, ok := set.Services[name]
	if !ok {
		return nil, &verdict{outcome: NotRun, reason: ReasonUnknownService}
	}
	return service, nil
}

// call is the state of one call.
type call struct {
	executor *Executor
	request  CallRequest
	service  *object.Service
	route    object.Route
	work     dispatch.Work
}

// runRepeatable runs an idempotent call, with retries.
func (c *call) runRepeatable(ctx context.Context) CallResult {
	a := c.executor.newAttempts(c.work)
	for {
		g, err := a.admit(ctx)
		if err != nil {
			return admissionVerdict(ctx, err, a.outcome()).call(c.request)
		}
		response, err := c.send(ctx, g, c.backendCall(0))
		if err == nil {
			return c.answered(response)
		}
		if !neverRan(err) {
			a.sent = true
		}
		a.exclude(g.server())
		if sendKind(err) == SendInvalid || !a.again(ctx) {
			return sendVerdict(ctx, err, a.outcome()).call(c.request)
		}
	}
}

// outcome returns what is known after attempts without a whole answer.
func (a *attempts) outcome() Outcome {
	if a.sent {
		return Unknown
	}
	return NotRun
}

// send makes one attempt and settles it.
func (c *call) send(ctx context.Context, g *grant, b Call) (*Response, error) {
	defer g.settle(message.SettleFailed, c.route.Cost)
	response, err := c.executor.backends.Call(ctx, g.server(), b)
	c.settle(ctx, g, response, err)
	return response, err
}

// settle ends the attempt after its send.
func (c *call) settle(ctx context.Context, g *grant, response *Response, err error) {
	if err == nil {
		g.settle(answerResult(response), c.route.Cost)
		return
	}
	result := settleResult(ctx, err)
	if result == message.SettleFailed {
		g.settle(result, c.route.Cost)
		return
	}
	g.settle(result, 0)
}

// answerResult treats an answer that blames the caller as served, so that a caller's bad requests do not count
// against the backend server.
func answerResult(r *Response) message.SettleResult {
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
		MaxResponseBytes: c.executor.maxResponse,
	}
}

// answered returns the result of a whole answer.
func (c *call) answered(response *Response) CallResult {
	result := CallResult{RequestID: c.request.Ref.String(), Outcome: Completed, Response: response}
	if response.Status >= http.StatusBadRequest || response.Status < http.StatusOK {
		result.Outcome = Failed
		result.Reason = ReasonServiceError
	}
	return result
}

// call returns the verdict as a call's result.
func (v verdict) call(r CallRequest) CallResult {
	return CallResult{
		RequestID:  r.Ref.String(),
		Outcome:    v.outcome,
		Reason:     v.reason,
		RetryAfter: v.retryAfter,
		Key:        r.Key,
		Err:        v.err,
	}
}
