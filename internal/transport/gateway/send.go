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
	"gooseberrytide.example/gooseberrytide/internal/state/relay"
	"gooseberrytide.example/gooseberrytide/internal/state/routing"
	"gooseberrytide.example/gooseberrytide/internal/transport/upstream"
	"gooseberrytide.example/gooseberrytide/platform"
)

// maxBufferedBytes is the size up to which a response body is read completely before it is forwarded. The buffers of all
// requests that a small router has in progress must fit its memory.
const maxBufferedBytes = 64 << 10

// errServerTimeout is the cancellation cause of a send that is abandoned so that another server can be tried.
var errServerTimeout = errors.New("server did not respond in time")

// errUnsigned reports a response without the server's signature.
var errUnsigned = errors.New("response lacks the server's signature")

// send sends the request to the server of an admission decision and forwards the response to the client.
func (x *exchange) send(ctx context.Context, ticket *admission.Ticket, decision admission.Decision) sendResult {
	x.sends++
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := x.startInactivityTimer(cancel)
	defer timer.stop()
	resp, err := x.g.opts.Pool.Do(ctx, x.upstreamRequest(ticket, decision))
	if err != nil {
		return x.handleNoResponse(ctx, ticket, err)
	}
	defer resp.Close()
	metadata := platform.DecodeResponse(resp.StatusCode, resp.Header)
	x.recordAnnouncement(ticket, decision.Server, metadata)
	if metadata.Leaving {
		resp.DisableReuse()
	}
	if metadata.NotExecuted {
		return x.handleNotExecuted(ticket, resp, metadata)
	}
	x.possibleRuns++
	result := x.forwardResponse(ctx, ticket, resp, metadata, timer)
	x.g.opts.Admission.Finish(ticket, x.admissionResult(ctx, result, metadata))
	return result
}

// upstreamRequest returns the request for the server of an admission decision.
func (x *exchange) upstreamRequest(ticket *admission.Ticket, decision admission.Decision) *upstream.Request {
	lastEvent := x.metadata.LastEvent
	if x.stream.started {
		lastEvent = x.stream.sequence.LastID()
	}
	id := x.metadata.ID
	return &upstream.Request{
		ServerKey: decision.Server.Key(),
		Address:   decision.Server.Address,
		Method:    x.r.Method,
		Target:    x.r.RequestURI,
		Host:      x.r.Host,
		Header: platform.EncodeUpstreamRequest(x.r.Header, relay.UpstreamRequest{
			Remaining: time.Until(x.deadline),
			Server:    decision.Server.ID,
			Team:      x.team,
			LastEvent: lastEvent,
		}),
		Body:    x.body,
		MaySend: func() bool { return x.g.opts.Admission.MaySend(ticket) },
		Matches: func(resp *http.Response) bool {
			metadata := platform.DecodeResponse(resp.StatusCode, resp.Header)
			return metadata.ID == id || metadata.ID == "" && metadata.NotExecuted
		},
	}
}

// handleNoResponse classifies a send that failed without a response and reports it to the admission controller.
func (x *exchange) handleNoResponse(ctx context.Context, ticket *admission.Ticket, err error) sendResult {
	x.lastErr = err
	if errors.Is(err, upstream.ErrWithdrawn) {
		x.g.opts.Admission.Finish(ticket, admission.ResultCancelled)
		return sendWithdrawn
	}
	var sendErr *upstream.SendError
	sent := !errors.As(err, &sendErr) || sendErr.Stage == upstream.Sent
	result, outcome := sendUnreachable, admission.ResultUnreachable
	if sent {
		x.possibleRuns++
		result, outcome = sendBroken, admission.ResultBroken
	}
	switch {
	case x.recordInvalidResponse(err):
		outcome = admission.ResultInvalid
	case errors.Is(context.Cause(ctx), errServerTimeout):
		result = sendSilent
	case ctx.Err() != nil && !sent:
		outcome = admission.ResultCancelled
	case ctx.Err() != nil && context.Cause(ctx) != errDeadline:
		outcome = admission.ResultCancelled
	case sendErr != nil && sendErr.Reused && !sendErr.DialFailed && sent:
		outcome = admission.ResultCancelled // a reused connection may break without any fault of the server
	}
	x.g.opts.Admission.Finish(ticket, outcome)
	return result
}

// handleNotExecuted handles a response which says that the server did not run the request, and reports it to the
// admission controller.
func (x *exchange) handleNotExecuted(
	ticket *admission.Ticket, resp *upstream.Response, metadata relay.Response,
) sendResult {
	resp.Discard()
	outcome := admission.ResultFull
	if metadata.WrongServer {
		outcome = admission.ResultMoved
	}
	x.lastErr = errors.Errorf("server returned status %d and did not run the request", resp.StatusCode)
	x.g.opts.Admission.Finish(ticket, outcome)
	return sendNotExecuted
}

// admissionResult returns what to report to the admission controller about a send with a response.
func (x *exchange) admissionResult(ctx context.Context, result sendResult, metadata relay.Response) admission.Result {
	switch {
	case result == sendBroken && x.recordInvalidResponse(x.lastErr):
		return admission.ResultInvalid
	case result == sendAnswered && metadata.Status < http.StatusInternalServerError:
		return admission.ResultOK
	case result == sendAnswered || result == sendError:
		return admission.ResultError
	case result == sendIncomplete && errors.Is(context.Cause(ctx), errDeadline):
		return admission.ResultBroken
	case result == sendClientDisconnected, ctx.Err() != nil && !errors.Is(context.Cause(ctx), errServerTimeout):
		return admission.ResultCancelled
	default:
		return admission.ResultBroken
	}
}

// forwardResponse checks the signature of the response and forwards the response to the client.
func (x *exchange) forwardResponse(
	ctx context.Context, ticket *admission.Ticket, resp *upstream.Response, metadata relay.Response,
	timer *inactivityTimer,
) sendResult {
	if !metadata.Signed {
		x.lastErr = errUnsigned
		return sendBroken
	}
	if x.route.Kind == routing.Stream && metadata.Status == http.StatusOK {
		return x.forwardEvents(ctx, ticket, resp, timer)
	}
	return x.forwardBuffered(resp, metadata)
}

// forwardBuffered reads a response completely, up to maxBufferedBytes, before it forwards any of it. It withholds a
// server's failure if the request may be retried.
func (x *exchange) forwardBuffered(resp *upstream.Response, metadata relay.Response) sendResult {
	var buf bytes.Buffer
	n, err := io.Copy(&buf, io.LimitReader(resp, maxBufferedBytes))
	if err != nil {
		x.lastErr = err
		return sendBroken
	}
	if metadata.Status >= http.StatusInternalServerError && x.mayRetry(sendError) {
		x.lastErr = errors.Errorf("server returned status %d", metadata.Status)
		x.failureResponse = &bufferedResponse{status: metadata.Status, header: resp.Header, body: buf.Bytes()}
		return sendError
	}
	if impliesNotExecuted(metadata.Status) || x.stream.started {
		x.lastErr = errors.Errorf("server returned status %d", metadata.Status)
		return sendBroken
	}
	x.timeToFirst = time.Since(x.arrival)
	response := &bufferedResponse{status: metadata.Status, header: resp.Header, body: buf.Bytes()}
	if !response.write(x, n < maxBufferedBytes) {
		return sendClientDisconnected
	}
	if n == maxBufferedBytes {
		if _, err := io.Copy(x.w, resp); err != nil {
			x.lastErr = err
			return sendIncomplete
		}
	}
	x.recordAnswered(metadata.Status)
	return sendAnswered
}

// bufferedResponse is a server's response with its body or the beginning of its body.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// write sends the response to the client. If complete is set, the body is the whole body and its length is declared. It
// returns false if the client has disconnected.
func (b *bufferedResponse) write(x *exchange, complete bool) bool {
	platform.CopyResponseHeaders(x.w.Header(), b.header)
	if complete {
		x.w.Header().Set("Content-Length", strconv.Itoa(len(b.body)))
	}
	x.w.WriteHeader(b.status)
	if _, err := x.w.Write(b.body); err != nil {
		x.clientDisconnected(err)
		return false
	}
	return true
}

// impliesNotExecuted reports whether clients take a status to mean that the request did not run. Such a status is not
// forwarded if the server has not confirmed that.
func impliesNotExecuted(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// recordAnswered records in metrics and log that a server's response was sent to the client.
func (x *exchange) recordAnswered(status int) {
	x.g.opts.Metrics.Answers.WithLabelValues(statusClass(status), "server").Inc()
	x.g.opts.Metrics.TimeToFirst.WithLabelValues(x.route.Kind.String()).Observe(x.timeToFirst.Seconds())
	x.log("answered", zap.Int("status", status))
}
