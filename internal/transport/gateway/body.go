package gateway

import (
	"context"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"

	"gooseberrytide.example/gooseberrytide/internal/coordination/admission"
	"gooseberrytide.example/gooseberrytide/internal/state/logfield"
	"gooseberrytide.example/gooseberrytide/internal/transport/clientconn"
	"gooseberrytide.example/gooseberrytide/platform"
)

const (
	// requestBytes is the memory of a request in progress, apart from its body: goroutines' stacks, the decoded header and
	// the buffers of the connection to a backend server.
	requestBytes = 16 << 10
	// firstChunkedBytes is the first buffer for a body without a length. It is doubled as long as the body goes on.
	firstChunkedBytes = 4 << 10
	// maxServerDiscard is how much of a body that is not needed the HTTP server reads itself.
	maxServerDiscard = 256 << 10
	// discardBodyTimeout bounds the time to read the rest of a body that is not needed, if the request has no deadline.
	discardBodyTimeout = time.Second
)

// errNoMemory reports a body for which there is no memory.
var errNoMemory = errors.New("no memory for the body")

// reserveMemory charges the request and its connection to the team. If there is no memory, it writes the response and
// returns false.
func (x *exchange) reserveMemory() bool {
	if !clientconn.FromContext(x.r.Context()).SetTeam(x.team) {
		x.log("client-left") // the connection was ended for a limit before the request was handled
		panic(http.ErrAbortHandler)
	}
	holder, ok := x.g.opts.Account.Open(x.team, requestBytes, x.endBody)
	if !ok {
		x.refuseUnsubmitted(refusalMemory, retryAfterShortage)
		return false
	}
	x.memory = holder
	return true
}

// endBody ends the reading of the body for lack of memory. The request is then refused.
func (x *exchange) endBody() bool {
	x.bodyEnded.Store(true)
	x.setReadDeadline(time.Now()) // without deadlines, the next part ends the reading
	return true
}

// readBody reads the complete body, until the request's deadline at the latest. If the body exceeds a limit, it writes the
// response and returns false. It aborts the connection if the body cannot be read.
func (x *exchange) readBody() bool {
	limit := x.table.Limits.MaxBodyBytes
	if x.r.ContentLength > limit {
		x.reject(http.StatusRequestEntityTooLarge, "body too large")
		return false
	}
	if x.r.Body == nil || x.r.ContentLength == 0 {
		return true
	}
	x.memory.SetMayEnd(true)
	x.setReadDeadline(x.deadline)
	stopAfterFunc := context.AfterFunc(x.r.Context(), func() { x.setReadDeadline(time.Now()) })
	reader := &bodyReader{x: x, body: http.MaxBytesReader(x.w, x.r.Body, limit)}
	var err error
	if x.r.ContentLength > 0 {
		err = x.readSized(reader)
	} else {
		err = x.readChunked(reader, limit)
	}
	stopAfterFunc()
	if !x.memory.SetMayEnd(false) {
		err = errNoMemory
	}
	if err == nil {
		x.setReadDeadline(time.Time{})
		return true
	}
	x.body = nil
	x.failBody(err)
	return false
}

// setReadDeadline bounds the reading of the body. The response recorders of tests have no deadlines.
func (x *exchange) setReadDeadline(t time.Time) {
	_ = http.NewResponseController(x.w).SetReadDeadline(t)
}

// failBody responds to a request whose body was not read.
func (x *exchange) failBody(err error) {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, errNoMemory):
		x.refuseUnsubmitted(refusalMemory, retryAfterShortage)
	case errors.As(err, &tooLarge):
		x.reject(http.StatusRequestEntityTooLarge, "body too large")
	case errors.Is(context.Cause(x.r.Context()), ErrStopping):
		x.refuse(refusalStopping, retryAfterUnavailable)
	case errors.Is(err, os.ErrDeadlineExceeded):
		x.refuse(string(admission.ReasonDeadline), 0)
	default:
		x.log("incomplete", logfield.Error(err))
		panic(http.ErrAbortHandler)
	}
}

// readSized reads a body whose length is known.
func (x *exchange) readSized(reader *bodyReader) error {
	if !x.memory.Grow(x.r.ContentLength) {
		return errNoMemory
	}
	x.body = make([]byte, x.r.ContentLength)
	_, err := io.ReadFull(reader, x.body)
	return err
}

// readChunked reads a body of unknown length. The memory of each buffer is reserved before it is allocated.
func (x *exchange) readChunked(reader *bodyReader, limit int64) error {
	var buf []byte
	for {
		if len(buf) == cap(buf) {
			size := min(max(firstChunkedBytes, 2*int64(cap(buf))), limit+1)
			if !x.memory.Grow(size) {
				return errNoMemory
			}
			grown := make([]byte, len(buf), size)
			copy(grown, buf)
			x.memory.Shrink(int64(cap(buf)))
			buf = grown
		}
		n, err := reader.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if err == io.EOF {
			x.body = buf
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// bodyReader reads a body unless the request is ended for lack of memory.
type bodyReader struct {
	x    *exchange
	body io.Reader
}

// Read implements io.Reader.
func (r *bodyReader) Read(b []byte) (int, error) {
	if r.x.bodyEnded.Load() {
		return 0, errNoMemory
	}
	n, err := r.body.Read(b)
	if r.x.bodyEnded.Load() {
		err = errNoMemory
	}
	return n, err
}

// discardUntil returns until when the rest of a body is read that is not needed.
func (x *exchange) discardUntil() time.Time {
	if x.deadline.IsZero() {
		return time.Now().Add(discardBodyTimeout)
	}
	return x.deadline
}

// bodyUnread reports whether a part of the body may not have been read.
func (x *exchange) bodyUnread() bool { return x.r.ContentLength != 0 && x.body == nil }

// limitUnreadBody bounds the time in which the HTTP server reads the rest of a body that is not needed.
func (x *exchange) limitUnreadBody() {
	if x.bodyUnread() {
		x.setReadDeadline(x.discardUntil())
	}
}

// discardBody sends the response and reads the rest of a body that is not needed, more than the limit of bodies for a short time
// only. The HTTP server reads the rest only if it is short and the client keeps the connection. Otherwise it closes the
// connection with unread bytes, which resets it, and the client might lose the response.
func (x *exchange) discardBody() {
	length := x.r.ContentLength
	if !x.bodyUnread() || !x.r.Close && length >= 0 && length <= maxServerDiscard {
		return
	}
	if http.NewResponseController(x.w).Flush() != nil {
		return
	}
	x.setReadDeadline(x.discardUntil())
	limit := platform.DefaultLimits().MaxBodyBytes
	if x.table != nil {
		limit = x.table.Limits.MaxBodyBytes
	}
	begin := time.Now()
	for discarded := int64(0); discarded < limit || time.Since(begin) < discardBodyTimeout; {
		n, err := io.CopyN(io.Discard, x.r.Body, maxServerDiscard)
		if err != nil {
			return // all is read, or the client has disconnected or is too slow
		}
		discarded += n
	}
}
