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

// streamState is what of a stream has gone to the client.
type streamState struct {
	// begun says that the head went out.
	begun    bool
	sequence eventstream.Sequence
	events   int
}

// writeTimeout bounds a write to a client that does not read.
const writeTimeout = 5 * time.Second

// passEvents passes whole events on as they arrive.
func (x *exchange) passEvents(ctx context.Context, ticket *admission.Ticket, resp *upstream.Response, silence *silence) sendResult {
	reader := eventstream.NewReader(resp)
	if !x.stream.begun {
		x.stream.sequence = eventstream.NewSequence(x.info.LastEvent)
	}
	out := http.NewResponseController(x.w)
	for {
		event, err := reader.Next()
		if err == io.EOF {
			x.beginStream(resp)
			x.answered(http.StatusOK)
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
		silence.heard()
		if x.stream.events == 0 {
			x.first = time.Since(x.arrival)
		}
		x.g.opts.Admission.RecordFirstEvent(ticket)
		x.beginStream(resp)
		x.stream.events++
		_ = out.SetWriteDeadline(time.Now().Add(writeTimeout)) // not supported by recorders in tests
		if _, err := x.w.Write(event.Raw); err != nil {
			return x.clientGone(err)
		}
		if reader.Buffered() {
			continue
		}
		if err := out.Flush(); err != nil {
			return x.clientGone(err)
		}
	}
}

// beginStream sends the head of the first server's answer.
func (x *exchange) beginStream(resp *upstream.Response) {
	if x.stream.begun {
		return
	}
	x.stream.begun = true
	platform.CopyResponseHeaders(x.w.Header(), resp.Header)
	x.w.WriteHeader(http.StatusOK)
}

// clientGone ends an exchange whose client does not take the answer.
func (x *exchange) clientGone(err error) sendResult {
	x.lastErr = err
	x.log("client-left")
	return sendCut
}
