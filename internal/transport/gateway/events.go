package gateway

import (
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"

	"gooseberrytide.example/gooseberrytide/internal/protocol/eventstream"
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

// deliverEvent forwards an event to the client. It returns 0 if the stream goes on.
func (x *exchange) deliverEvent(a *attempt, event eventstream.Event) sendResult {
	if x.stream.eventsSent == 0 {
		x.recordFirst()
	}
	x.g.opts.Admission.RecordEvent(a.ticket)
	if a.tracked.Event() {
		x.proven.Store(true)
	}
	x.writeStreamHeader(a)
	x.stream.sequence = a.position.sequence
	x.stream.eventsSent++
	controller := http.NewResponseController(x.w)
	extendWriteDeadline(controller)
	if _, err := x.w.Write(event.Raw); err != nil {
		return x.clientDisconnected(err)
	}
	if a.events.Buffered() {
		return 0
	}
	if err := controller.Flush(); err != nil {
		return x.clientDisconnected(err)
	}
	return 0
}

// deliverEnd ends an event stream.
func (x *exchange) deliverEnd(a *attempt) sendResult {
	x.writeStreamHeader(a)
	extendWriteDeadline(http.NewResponseController(x.w))
	x.recordAnswered(http.StatusOK)
	return sendAnswered
}

// extendWriteDeadline starts the time for the next write to the client.
func extendWriteDeadline(controller *http.ResponseController) {
	// The response recorders of tests do not support write deadlines.
	_ = controller.SetWriteDeadline(time.Now().Add(writeTimeout))
}

// writeStreamHeader sends the response header of the first server. Later calls do nothing.
func (x *exchange) writeStreamHeader(a *attempt) {
	if x.stream.started {
		return
	}
	x.stream.started = true
	platform.CopyResponseHeaders(x.w.Header(), a.resp.Header)
	x.w.WriteHeader(http.StatusOK)
}

// clientDisconnected ends an exchange after a write to the client has failed. The HTTP server then closes the
// connection.
func (x *exchange) clientDisconnected(err error) sendResult {
	x.lastErr = err
	if errors.Is(err, os.ErrDeadlineExceeded) {
		x.recordCut(cutClientBlocked)
		return sendClientDisconnected
	}
	x.log("client-left")
	return sendClientDisconnected
}
