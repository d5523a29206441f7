package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"gooseberrytide.example/gooseberrytide/internal/coordination/admission"
	"gooseberrytide.example/gooseberrytide/internal/state/logfield"
	"gooseberrytide.example/gooseberrytide/internal/state/relay"
	"gooseberrytide.example/gooseberrytide/internal/state/routing"
	"gooseberrytide.example/gooseberrytide/internal/transport/upstream"
	"gooseberrytide.example/gooseberrytide/platform"
)

// maxHeldAnswer is the size up to which an answer is read whole before it goes out.
const maxHeldAnswer = 256 << 10

// errSilent is the cause of a send that was given up to try another server.
var errSilent = errors.New("no answer from the server")

// errForeign reports an answer that is not the server's own to this request.
var errForeign = errors.New("answer without the server's signature")

// send passes the request on to the granted server and the answer to the client.
func (x *exchange) send(ctx context.Context, ticket *admission.Ticket, v admission.Decision) sendResult {
	x.sends++
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := x.watchSilence(cancel)
	defer silence.stop()
	resp, err := x.g.opts.Pool.Do(ctx, x.request(v))
	if err != nil {
		return x.noAnswer(ctx, ticket, err)
	}
	defer resp.Close()
	answer := platform.DecodeResponse(resp.StatusCode, resp.Header)
	if answer.NotExecuted {
		return x.notExecuted(ticket, resp, answer)
	}
	x.runs++
	result := x.passOn(ctx, ticket, resp, answer, silence)
	x.g.opts.Admission.Finish(ticket, outcomeOf(ctx, result, answer))
	return result
}

// request builds the request to the server.
func (x *exchange) request(v admission.Decision) *upstream.Request {
	last := x.info.LastEvent
	if x.stream.begun {
		last = x.stream.sequence.LastID()
	}
	id := x.info.ID
	return &upstream.Request{
		Server:  v.Server.Key(),
		Address: v.Server.Address,
		Method:  x.r.Method,
		Target:  x.r.RequestURI,
		Host:    x.r.Host,
		Header: platform.EncodeUpstreamRequest(x.r.Header, relay.UpstreamRequest{
			Remaining: time.Until(x.deadline),
			Server:    v.Server.ID,
			Team:      x.team,
			LastEvent: last,
		}),
		Body: x.body,
		Own: func(resp *http.Response) bool {
			a := platform.DecodeResponse(resp.StatusCode, resp.Header)
			return a.ID == id || a.ID == "" && a.NotExecuted
		},
	}
}

// noAnswer settles a send without an answer.
func (x *exchange) noAnswer(ctx context.Context, ticket *admission.Ticket, err error) sendResult {
	x.lastErr = err
	var failed *upstream.SendError
	sent := !errors.As(err, &failed) || failed.Stage == upstream.Sent
	result, outcome := sendUnreachable, admission.ResultUnreachable
	if sent {
		x.runs++
		result, outcome = sendBroken, admission.ResultBroken
	}
	switch {
	case errors.Is(context.Cause(ctx), errSilent):
		result = sendSilent
	case ctx.Err() != nil && !sent:
		outcome = admission.ResultCancelled
	case ctx.Err() != nil && context.Cause(ctx) != errDeadline:
		outcome = admission.ResultCancelled
	case failed != nil && failed.Reused && !failed.Dial && sent:
		outcome = admission.ResultCancelled // a kept connection may break for reasons of its own
	}
	x.g.opts.Admission.Finish(ticket, outcome)
	return result
}

// notExecuted settles a send that the server did not run.
func (x *exchange) notExecuted(ticket *admission.Ticket, resp *upstream.Response, a relay.Response) sendResult {
	// A short body is read so that the connection can be kept.
	if _, err := io.Copy(io.Discard, io.LimitReader(resp, maxHeldAnswer)); err != nil {
		x.lastErr = err
	}
	outcome := admission.ResultFull
	if a.WrongServer {
		outcome = admission.ResultMoved
	}
	x.lastErr = errors.Errorf("status %d, not run", resp.StatusCode)
	x.g.opts.Admission.Finish(ticket, outcome)
	return sendNotExecuted
}

// outcomeOf tells the admission how a send with an answer ended.
func outcomeOf(ctx context.Context, r sendResult, a relay.Response) admission.Result {
	switch {
	case r == sendAnswered && a.Status < http.StatusInternalServerError:
		return admission.ResultOK
	case r == sendAnswered || r == sendError:
		return admission.ResultError
	case ctx.Err() != nil && !errors.Is(context.Cause(ctx), errSilent):
		return admission.ResultCancelled
	default:
		return admission.ResultBroken
	}
}

// passOn checks the answer and passes it to the client.
func (x *exchange) passOn(ctx context.Context, ticket *admission.Ticket, resp *upstream.Response, a relay.Response, silence *silence) sendResult {
	if !a.Signed {
		x.lastErr = errForeign
		return sendBroken
	}
	if x.route.Kind == routing.Stream && a.Status == http.StatusOK {
		return x.passEvents(ctx, ticket, resp, silence)
	}
	return x.passWhole(resp, a)
}

// passWhole reads an answer whole and passes it on.
func (x *exchange) passWhole(resp *upstream.Response, a relay.Response) sendResult {
	var held bytes.Buffer
	n, err := io.Copy(&held, io.LimitReader(resp, maxHeldAnswer))
	if err != nil {
		x.lastErr = err
		return sendBroken
	}
	if a.Status >= http.StatusInternalServerError && x.mayRepeat(sendError) {
		x.lastErr = errors.Errorf("status %d of the server", a.Status)
		x.held = &heldAnswer{status: a.Status, header: resp.Header, body: held.Bytes()}
		return sendError
	}
	if promisesNotRun(a.Status) || x.stream.begun {
		x.lastErr = errors.Errorf("status %d of the server", a.Status)
		return sendBroken
	}
	x.first = time.Since(x.arrival)
	answer := &heldAnswer{status: a.Status, header: resp.Header, body: held.Bytes()}
	answer.write(x, n < maxHeldAnswer)
	if n == maxHeldAnswer {
		if _, err := io.Copy(x.w, resp); err != nil {
			x.lastErr = err
			x.cut("answer broken")
		}
	}
	x.answered(a.Status)
	return sendAnswered
}

// heldAnswer is an answer of a server, or its beginning.
type heldAnswer struct {
	status int
	header http.Header
	body   []byte
}

// write passes the answer to the client.
func (h *heldAnswer) write(x *exchange, whole bool) {
	platform.CopyResponseHeaders(x.w.Header(), h.header)
	if whole {
		x.w.Header().Set("Content-Length", strconv.Itoa(len(h.body)))
	}
	x.w.WriteHeader(h.status)
	if _, err := x.w.Write(h.body); err != nil {
		x.log("client-left", logfield.Error(err))
		panic(http.ErrAbortHandler)
	}
}

// promisesNotRun reports whether a status tells clients that the request did not run, which the server did not say.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

func (x *exchange) answered(status int) {
	x.g.opts.Metrics.Answers.WithLabelValues(statusClass(status), "server").Inc()
	x.g.opts.Metrics.First.WithLabelValues(x.route.Kind.String()).Observe(x.first.Seconds())
	x.log("answered", zap.Int("status", status))
}
