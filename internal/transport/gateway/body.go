package gateway

import (
	"io"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"

	"gooseberrytide.example/gooseberrytide/internal/coordination/admission"
	"gooseberrytide.example/gooseberrytide/internal/state/logfield"
	"gooseberrytide.example/gooseberrytide/internal/transport/clientconn"
)

const (
	// requestBytes is the memory of a request in progress, apart from its body: goroutines' stacks, the decoded header and
	// the buffers of the connection to a backend server.
	requestBytes = 16 << 10
	// firstChunkedBytes is the first buffer for a body without a length. It is doubled as long as the body goes on.
	firstChunkedBytes = 4 << 10
	// bodyStallTimeout is the time in which a part of a body must arrive. Mobile clients may be out of reach for some seconds.
	bodyStallTimeout = 10 * time.Second
	// bodyDeadlinePeriod is how often the time for the next part of a body starts again.
	bodyDeadlinePeriod = time.Second
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
	_ = http.NewResponseController(x.w).SetReadDeadline(time.Now()) // without deadlines, the next part ends the reading
	return true
}

// readBody reads the complete body. If the body exceeds a limit, it writes the response and returns false. It aborts
// the connection if the body cannot be read.
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
	reader := x.newBodyReader(limit)
	var err error
	if x.r.ContentLength > 0 {
		err = x.readSized(reader)
	} else {
		err = x.readChunked(reader, limit)
	}
	if !x.memory.SetMayEnd(false) {
		err = errNoMemory
	}
	if err == nil {
		_ = reader.controller.SetReadDeadline(time.Time{})
		return true
	}
	x.body = nil
	x.failBody(err)
	return false
}

// failBody responds to a request whose body was not read.
func (x *exchange) failBody(err error) {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, errNoMemory):
		x.refuseUnsubmitted(refusalMemory, retryAfterShortage)
	case errors.As(err, &tooLarge):
		x.reject(http.StatusRequestEntityTooLarge, "body too large")
	case errors.Is(err, os.ErrDeadlineExceeded) && !time.Now().Before(x.deadline):
		x.refuse(string(admission.ReasonDeadline), 0)
	case errors.Is(err, os.ErrDeadlineExceeded):
		x.refuse(refusalBodyTime, retryAfterUnavailable)
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

// bodyReader reads a body as long as parts of it arrive in time and the request's deadline has not passed.
type bodyReader struct {
	x          *exchange
	body       io.Reader
	controller *http.ResponseController
	// extendAt is when the time for the next part starts again.
	extendAt time.Time
}

func (x *exchange) newBodyReader(limit int64) *bodyReader {
	return &bodyReader{x: x, body: http.MaxBytesReader(x.w, x.r.Body, limit), controller: http.NewResponseController(x.w)}
}

// Read implements io.Reader.
func (r *bodyReader) Read(b []byte) (int, error) {
	if now := time.Now(); !now.Before(r.extendAt) {
		r.extendAt = now.Add(bodyDeadlinePeriod)
		_ = r.controller.SetReadDeadline(earlier(r.x.deadline, r.extendAt.Add(bodyStallTimeout))) // recorders have no deadlines
	}
	if r.x.bodyEnded.Load() {
		return 0, errNoMemory
	}
	return r.body.Read(b)
}

// limitUnreadBody bounds the time in which the HTTP server reads the rest of a body that is not needed.
func (x *exchange) limitUnreadBody() {
	if x.r.ContentLength != 0 && x.body == nil {
		_ = http.NewResponseController(x.w).SetReadDeadline(time.Now().Add(discardBodyTimeout))
	}
}
