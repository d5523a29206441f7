package gateway

import (
	"context"
	"io"
	"net/http"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"gooseberrytide.example/gooseberrytide/internal/coordination/admission"
	"gooseberrytide.example/gooseberrytide/internal/coordination/poison"
	"gooseberrytide.example/gooseberrytide/internal/protocol/eventstream"
	"gooseberrytide.example/gooseberrytide/internal/state/relay"
	"gooseberrytide.example/gooseberrytide/internal/state/routing"
	"gooseberrytide.example/gooseberrytide/internal/transport/upstream"
	"gooseberrytide.example/gooseberrytide/platform"
)

// maxBufferedBytes is the size up to which a response body is read completely before it is forwarded. The buffers of
// all requests that a small router has in progress must fit its memory.
const maxBufferedBytes = 64 << 10

// firstBufferBytes is the first buffer for a body, which is part of the memory of a request. It is doubled as long as the
// body goes on.
const firstBufferBytes = 2 << 10

// errReplaced is the cancellation cause of an attempt after a substitute has delivered.
var errReplaced = errors.New("another server has responded first")

// errNoEvents reports a stream that ended with its connection before its first event.
var errNoEvents = errors.New("stream ended with its connection before its first event")

// errServerEnded reports a response without a length that ended in the same moment as its server.
var errServerEnded = errors.New("response ended with its connection, and its server has ended")

// errServerNotProven reports a response without a length whose server may have ended with it.
var errServerNotProven = errors.New("response ended with its connection, and its server may have ended")

// errUnsigned reports a response without the server's signature.
var errUnsigned = errors.New("response lacks the server's signature")

// errUnnamedRefusal reports a refusal that does not name its request, on a connection that was used before. It may be
// that of an earlier request.
var errUnnamedRefusal = errors.New("refusal on a reused connection does not name its request")

// attempt is one send of the request to a server, and the response. One goroutine uses it at a time.
type attempt struct {
	x        *exchange
	ticket   *admission.Ticket
	decision admission.Decision
	// admissionWait is the time from the arrival to the admission decision.
	admissionWait time.Duration
	ctx           context.Context
	cancel        context.CancelCauseFunc
	// sentAt is when the request was last about to be sent.
	sentAt time.Time
	// monitor tells whether bytes have arrived that were not read. It is safe for concurrent use.
	monitor upstream.Monitor

	// position is where the response continues.
	position position
	resp     *upstream.Response
	metadata relay.Response
	// events is set if the response is an event stream.
	events *eventstream.Reader
	// responded is set after the first event of this attempt.
	responded bool
	// ahead is a part that readAhead has read and that has not been delivered yet.
	ahead *part
	// failureResponse is a response with a status of 500 or above.
	failureResponse *bufferedResponse
	// tracked is the attempt as evidence about the request.
	tracked *poison.Attempt
	// trial is the right to make the attempt although the request is suspected, or nil.
	trial *poison.Trial
	// crashed is set if the attempt was lost because its server has ended.
	crashed bool
	// lossRecorded is set after the loss of the connection was recorded as evidence.
	lossRecorded bool
	// err is why the attempt failed, outcome what is reported to the admission controller. If outcome is 0, it follows
	// from the response.
	err     error
	outcome admission.Result
}

// position is where in the response an attempt continues.
type position struct {
	// started is set if events of a stream have been sent to the client. sequence then ends with the last one of them.
	started  bool
	sequence eventstream.Sequence
}

// part is the next part of a response: an event, the end of a stream, or a body.
type part struct {
	event eventstream.Event
	end   bool
	body  *bufferedResponse
}

// newAttempt prepares the send for an admission decision, and records it.
func (x *exchange) newAttempt(
	ctx context.Context, ticket *admission.Ticket, decision admission.Decision, at position,
) *attempt {
	if !at.started {
		at.sequence = eventstream.NewSequence(x.metadata.LastEvent)
	}
	a := &attempt{
		x: x, ticket: ticket, decision: decision, admissionWait: time.Since(x.arrival), position: at,
	}
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	x.sends.begin(decision.Server.ID)
	return a
}

// open sends the request and reads the header of the response. It returns 0 if the server runs the request.
func (a *attempt) open() sendResult {
	a.tracked = a.x.g.opts.Poison.Begin(a.decision.Server, a.x.poison)
	resp, err := a.x.g.opts.Pool.Do(a.ctx, a.upstreamRequest())
	if err != nil {
		return a.handleNoResponse(err)
	}
	a.resp = resp
	a.tracked.Responded()
	a.metadata = platform.DecodeResponse(resp.StatusCode, resp.Header)
	if a.metadata.NotExecuted && a.metadata.ID == "" && resp.Reused() {
		a.err = errUnnamedRefusal
		return sendBroken
	}
	a.recordAnnouncement()
	if a.metadata.Leaving || a.metadata.ID == "" {
		// A late copy of a response that does not name its request would be taken for the response to the next one.
		resp.DisableReuse()
	}
	if a.metadata.NotExecuted {
		return a.handleNotExecuted()
	}
	if !a.metadata.Signed {
		a.err = errUnsigned
		return sendBroken
	}
	if a.x.route.Kind == routing.Stream && a.metadata.Status == http.StatusOK {
		a.events = eventstream.NewReader(resp)
	}
	return 0
}

// upstreamRequest returns the request for the attempt's server.
func (a *attempt) upstreamRequest() *upstream.Request {
	x := a.x
	lastEvent := x.metadata.LastEvent
	if a.position.started {
		lastEvent = a.position.sequence.LastID()
	}
	id := x.metadata.ID
	return &upstream.Request{
		ServerKey: a.decision.Server.Key(),
		Address:   a.decision.Server.Address,
		Method:    x.r.Method,
		Target:    x.r.RequestURI,
		Host:      x.r.Host,
		Header: platform.EncodeUpstreamRequest(x.r.Header, relay.UpstreamRequest{
			Remaining: time.Until(x.deadline),
			Server:    a.decision.Server.ID,
			Team:      x.team,
			LastEvent: lastEvent,
		}),
		Body:    x.body,
		Monitor: &a.monitor,
		MaySend: func() bool {
			a.sentAt = time.Now()
			return !x.clientHasLeft() && x.g.opts.Admission.MaySend(a.ticket) && a.mayStillSend()
		},
		Matches: func(resp *http.Response) bool {
			metadata := platform.DecodeResponse(resp.StatusCode, resp.Header)
			return metadata.ID == id || metadata.ID == "" && metadata.NotExecuted
		},
	}
}

// handleNoResponse classifies a send that failed without a response.
func (a *attempt) handleNoResponse(err error) sendResult {
	a.err = err
	if errors.Is(err, upstream.ErrWithdrawn) {
		a.recordWithdrawal()
		a.x.sends.recordNotRun()
		a.outcome = admission.ResultCancelled
		return sendWithdrawn
	}
	var sendErr *upstream.SendError
	sent := !errors.As(err, &sendErr) || sendErr.Stage == upstream.Sent
	result := sendBroken
	a.outcome = admission.ResultBroken
	if !sent {
		a.x.sends.recordNotRun()
		result = sendUnreachable
		a.outcome = admission.ResultUnreachable
		if errors.Is(err, syscall.ECONNREFUSED) {
			a.x.g.opts.Admission.RecordRefusedConnection(a.ticket)
		}
	}
	switch {
	case a.recordInvalidResponse(err):
		a.outcome = admission.ResultInvalid
	case a.replaced():
		result = sendSilent
	case a.ctx.Err() != nil && !sent:
		a.outcome = admission.ResultCancelled
	case a.ctx.Err() != nil && context.Cause(a.ctx) != errDeadline:
		a.outcome = admission.ResultCancelled
	case sendErr != nil && sendErr.Reused && !sendErr.DialFailed && sent:
		a.outcome = admission.ResultCancelled // a reused connection may break without any fault of the server
	}
	return result
}

// recordWithdrawal counts a request that was not sent, by the reason of the admission controller.
func (a *attempt) recordWithdrawal() {
	reason := a.ticket.Withdrawal()
	if reason == "" {
		return // its client has left, or it is suspected of crashing servers
	}
	a.err = errors.Wrap(a.err, string(reason))
	a.x.g.opts.Metrics.Withdrawals.WithLabelValues(string(reason)).Inc()
}

// replaced reports whether a substitute has delivered in place of the attempt.
func (a *attempt) replaced() bool { return errors.Is(context.Cause(a.ctx), errReplaced) }

// handleNotExecuted handles a response which says that the server did not run the request.
func (a *attempt) handleNotExecuted() sendResult {
	a.resp.Discard()
	a.x.sends.recordNotRun()
	a.outcome = admission.ResultFull
	if a.metadata.WrongServer {
		a.outcome = admission.ResultMoved
	}
	a.err = errors.Errorf("server returned status %d and did not run the request", a.resp.StatusCode)
	return sendNotExecuted
}

// next returns the next part of the response. If there is none, it returns the result of the attempt.
func (a *attempt) next() (part, sendResult) {
	if a.ahead != nil {
		p := *a.ahead
		a.ahead = nil
		return p, 0
	}
	if a.events != nil {
		return a.nextEvent()
	}
	return a.readBody()
}

// nextEvent reads the next event of a stream, or its end.
func (a *attempt) nextEvent() (part, sendResult) {
	event, err := a.events.Next()
	if err == io.EOF && a.resp.EndsWithConnection() {
		err = a.endOfConnection()
	}
	switch {
	case err == io.EOF:
		return part{end: true}, 0
	case err == nil && a.position.started && !a.responded && event.HasFields && !event.HasID:
		err = eventstream.ErrNoID // something else than the rest of the stream
	case err == nil:
		err = a.position.sequence.Check(event)
	}
	if err != nil {
		a.err = err
		if a.ctx.Err() != nil {
			a.err = context.Cause(a.ctx)
		}
		return part{}, sendBroken
	}
	a.position.started = true
	a.responded = true
	return part{event: event}, 0
}

// endOfConnection returns io.EOF if the end of the connection is that of the stream, as far as this router can know, and
// otherwise why it is not. A server that ends closes its connections between two events, too.
func (a *attempt) endOfConnection() error {
	if !a.responded {
		return errNoEvents
	}
	if err := a.checkServerAtEnd(); err != nil {
		return err
	}
	return io.EOF
}

// checkServerAtEnd returns an error if the end of the connection, with which the response has ended, may be that of its
// server. Only a crash is evidence against the request and the server.
func (a *attempt) checkServerAtEnd() error {
	a.crashed = a.tracked.Lost(a.ctx)
	a.lossRecorded = true
	if a.crashed {
		return errServerEnded
	}
	if a.ctx.Err() != nil {
		return context.Cause(a.ctx) // what is known of the server may not have been waited for
	}
	if !a.x.g.opts.OutlivedResponse(a.ctx, a.decision.Server) {
		a.outcome = admission.ResultCancelled
		return errServerNotProven
	}
	return nil
}

// endOfBody returns an error if a body has ended only because its server has.
func (a *attempt) endOfBody() error {
	if !a.resp.EndsWithConnection() {
		return nil
	}
	return a.checkServerAtEnd()
}

// readBody reads a response completely, up to maxBufferedBytes. A server's failure is kept in failureResponse, so that
// the request can be sent to another server.
func (a *attempt) readBody() (part, sendResult) {
	data, complete, err := a.bufferBody()
	if err != nil {
		a.err = err
		return part{}, sendBroken
	}
	status := a.metadata.Status
	body := &bufferedResponse{status: status, header: a.resp.Header, body: data, complete: complete}
	if status < http.StatusInternalServerError && !impliesNotExecuted(status) && !a.position.started {
		return part{body: body}, 0
	}
	a.err = errors.Errorf("server returned status %d", status)
	if impliesNotExecuted(status) || a.position.started || !body.complete {
		return part{}, sendBroken
	}
	a.failureResponse = body
	return part{}, sendError
}

// bufferBody reads a body, up to maxBufferedBytes or until there is no memory for more. It reports whether that is all of it.
func (a *attempt) bufferBody() (data []byte, complete bool, err error) {
	data = make([]byte, 0, firstBufferBytes)
	for {
		if len(data) == cap(data) {
			size := 2 * cap(data)
			if size > maxBufferedBytes || !a.x.memory.Grow(int64(size)) {
				return data, false, nil
			}
			data = append(make([]byte, 0, size), data...)
		}
		n, err := a.resp.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if err == io.EOF {
			return data, true, a.endOfBody()
		}
		if err != nil {
			return nil, false, err
		}
	}
}

// finish ends the attempt with a result: it closes or keeps the connection and reports to the admission controller.
func (a *attempt) finish(result sendResult) {
	if a.resp != nil {
		a.logUnframed(result)
		a.resp.Close()
	}
	a.recordEvidence(result)
	if a.outcome == 0 {
		a.outcome = a.admissionResult(result)
	}
	if a.crashed {
		a.outcome = admission.ResultUnreachable
		a.x.g.opts.Admission.RecordRefusedConnection(a.ticket) // its port refuses connections
	}
	a.x.g.opts.Admission.Finish(a.ticket, a.outcome)
	a.x.g.opts.Metrics.Sends.WithLabelValues(result.String()).Inc()
	a.cancel(nil)
}

// admissionResult returns what to report to the admission controller about an attempt with a response.
func (a *attempt) admissionResult(result sendResult) admission.Result {
	switch {
	case result == sendBroken && a.recordInvalidResponse(a.err):
		return admission.ResultInvalid
	case result == sendAnswered && a.metadata.Status < http.StatusInternalServerError:
		return admission.ResultOK
	case result == sendAnswered || result == sendError:
		return admission.ResultError
	case result == sendIncomplete && errors.Is(context.Cause(a.ctx), errDeadline):
		return admission.ResultBroken
	case result == sendClientDisconnected, a.ctx.Err() != nil && !a.replaced():
		return admission.ResultCancelled
	default:
		return admission.ResultBroken
	}
}
