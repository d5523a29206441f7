package gateway

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"gooseberrytide.example/gooseberrytide/platform"
)

// deliverBody forwards a response that was buffered, and the rest of a longer one as it arrives.
func (x *exchange) deliverBody(a *attempt, body *bufferedResponse) sendResult {
	x.recordFirst()
	if !body.write(x) {
		return sendClientDisconnected
	}
	if !body.complete {
		_, err := io.Copy(x.w, a.resp)
		if err == nil {
			err = a.endOfBody()
		}
		if err != nil {
			a.err = err
			return sendIncomplete
		}
	}
	x.recordAnswered(body.status)
	return sendAnswered
}

// recordFirst records the time to the first event or the response.
func (x *exchange) recordFirst() { x.timeToFirst.Store(int64(time.Since(x.arrival))) }

// bufferedResponse is a server's response with its body or the beginning of its body.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
	// complete is set if body is the whole body.
	complete bool
}

// write sends the response to the client. It declares the length of a complete body. It returns false if the client has
// disconnected.
func (b *bufferedResponse) write(x *exchange) bool {
	platform.CopyResponseHeaders(x.w.Header(), b.header)
	if b.complete {
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
	timeToFirst := time.Duration(x.timeToFirst.Load())
	x.g.opts.Metrics.TimeToFirst.WithLabelValues(x.route.Kind.String()).Observe(timeToFirst.Seconds())
	x.log("answered", zap.Int("status", status))
}
