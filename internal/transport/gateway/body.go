package gateway

import (
	"io"
	"net/http"

	"github.com/pkg/errors"

	"gooseberrytide.example/gooseberrytide/internal/state/logfield"
)

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
	reader := http.MaxBytesReader(x.w, x.r.Body, limit)
	var err error
	if x.r.ContentLength > 0 {
		if !x.g.reserveBody(x.r.ContentLength) {
			x.refuseUnsubmitted(refusalMemory, retryAfterShortage)
			return false
		}
		x.body = make([]byte, x.r.ContentLength)
		_, err = io.ReadFull(reader, x.body)
	} else {
		x.body, err = io.ReadAll(reader)
		if err == nil && !x.g.reserveBody(int64(len(x.body))) {
			x.body = nil
			x.refuseUnsubmitted(refusalMemory, retryAfterShortage)
			return false
		}
	}
	if err == nil {
		return true
	}
	if x.r.ContentLength > 0 {
		x.g.bodyBytes.Add(-int64(len(x.body)))
	}
	x.body = nil
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		x.reject(http.StatusRequestEntityTooLarge, "body too large")
		return false
	}
	x.log("incomplete", logfield.Error(err))
	panic(http.ErrAbortHandler)
}
