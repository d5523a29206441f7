package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/coordination/admission"
	"gooseberrytide.example/gooseberrytide/internal/protocol/eventstream"
	"gooseberrytide.example/gooseberrytide/internal/transport/upstream"
	"gooseberrytide.example/gooseberrytide/platform"
)

// streamState records which part of an event stream has been sent to the client.
type streamState struct {
	// started is set once the response header has been sent.
	started    bool
	sequence   eventstream.Sequence
	eventsSent int
}

// writeTimeout bounds a write to a client that does not read.
const writeTimeout = 5 * time.Second

// forwardEvents forwards complete events to the client as they arrive.
func (x *exchange) forwardEvents(
	ctx context.Context, ticket *admission.Ticket, resp *upstream.Response, timer *inactivityTimer,
) sendResult {
	reader := eventstream.NewReader(resp)
	if !x.stream.started {
		x.stream.sequence = eventstream.NewSequence(x.metadata.LastEvent)
	}
	controller := http.NewResponseController(x.w)
	for {
		event, err := reader.Next()
		if err == io.EOF {
			x.writeStreamHeader(resp)
			x.recordAnswered(http.StatusOK)
			return sendAnswered
		}
		if err == nil {
			err = x.stream.sequence.Check(event)
		}
		if err != nil {
			x.lastErr = err
			if ctx.Err() != nil {
				x.lastErr = context.Cause(ctx)
			}
			return sendBroken
		}
		timer.reset()
		if x.stream.eventsSent == 0 {
			x.timeToFirst = time.Since(x.arrival)
		}
		x.g.opts.Admission.RecordFirstEvent(ticket)
		x.writeStreamHeader(resp)
		x.stream.eventsSent++
		// The response recorders of tests do not support write deadlines.
		_ = controller.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := x.w.Write(event.Raw); err != nil {
			return x.clientDisconnected(err)
		}
		if reader.Buffered() {
			continue
		}
		if err := controller.Flush(); err != nil {
			return x.clientDisconnected(err)
		}
	}
}

// writeStreamHeader sends the response header of the first server. Later calls do nothing.
func (x *exchange) writeStreamHeader(resp *upstream.Response) {
	if x.stream.started {
		return
	}
	x.stream.started = true
	platform.CopyResponseHeaders(x.w.Header(), resp.Header)
	x.w.WriteHeader(http.StatusOK)
}

// clientDisconnected ends an exchange after a write to the client has failed.
func (x *exchange) clientDisconnected(err error) sendResult {
	x.lastErr = err
	x.log("client-left")
	return sendClientDisconnected
}
