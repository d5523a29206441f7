package upstream

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"gooseberrytide.example/gooseberrytide/internal/transport/sockopt"
)

const (
	// maxInlineBytes is the size up to which a request is written before its response is read. A larger request is written
	// concurrently, since a server may respond early and leave the rest unread.
	maxInlineBytes = 8 << 10
	// maxMismatchedResponses is the number of responses to other requests that are skipped while waiting for one response.
	maxMismatchedResponses = 2
	// maxDiscardedBytes and maxDiscardTime bound how much of a body is read only so that its connection can be reused. A
	// new connection costs less than more bytes or a longer wait.
	maxDiscardedBytes = 16 << 10
	maxDiscardTime    = 100 * time.Millisecond
	// maxUploadWait bounds how long the end of a response that ends with its connection waits for the end of the request's
	// body. A reset reaches the writer of the body in the time of a round trip.
	maxUploadWait = 100 * time.Millisecond
)

// Stage tells how much of a failed request was sent.
type Stage uint8

const (
	// NotSent means that no byte was written, so the request did not run.
	NotSent Stage = iota + 1
	// Sent means that some of the request was written, so it may have run.
	Sent
)

// SendError reports a request that received no response.
type SendError struct {
	Stage Stage
	// Reused is set if the connection had carried other requests before.
	Reused bool
	// DialFailed is set if no connection could be opened.
	DialFailed bool
	Err        error
}

// Error implements error.
func (e *SendError) Error() string {
	stage := "not sent"
	if e.Stage == Sent {
		stage = "no answer"
	}
	return fmt.Sprintf("upstream: %s: %v", stage, e.Err)
}

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Err }

// Request is a request to a server. Its target and body are sent unchanged.
type Request struct {
	// ServerKey identifies the server whose idle connections may be reused. Connections to another server that had the
	// same address earlier have another key and are not reused.
	ServerKey string
	Address   string
	Method    string
	// Target is the path and query.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Monitor, if it is set, observes the connection from the time at which the request is sent.
	Monitor *Monitor
	// MaySend reports, once a connection is open, whether the request may still be sent. Opening one takes up to a second.
	// If it is nil, the request is sent.
	MaySend func() bool
	// Matches reports whether a response, of which only the header has been read, belongs to this request. If it is nil,
	// every response does.
	Matches func(*http.Response) bool
}

// Response is a response whose body has not been read. The caller must call Close.
type Response struct {
	*http.Response
	pool          *Pool
	conn          *conn
	stopAfterFunc func() bool
	writer        *requestWriter
	idleTimeout   time.Duration
	// bodyBytes is the number of bytes of the body that were read.
	bodyBytes int64
	// connectionEnd is how the connection ended, if the body ended with it.
	connectionEnd sockopt.End
	complete      bool
	once          sync.Once
}

// ErrWithdrawn reports a request that was not sent because its MaySend returned false.
var ErrWithdrawn = errors.New("request withdrawn before it was sent")

// Do sends a request once and returns its response after the header has been read. When the context ends, the
// connection is closed, which makes the server stop processing the request. Errors are of type *SendError.
func (p *Pool) Do(ctx context.Context, r *Request) (*Response, error) {
	c, err := p.get(ctx, r.ServerKey, r.Address)
	if err != nil {
		return nil, &SendError{Stage: NotSent, DialFailed: true, Err: err}
	}
	reused := c.reused // another send may take the connection as soon as it is back
	if r.MaySend != nil && !r.MaySend() {
		p.put(c, unusedIdleTimeout(c))
		return nil, &SendError{Stage: NotSent, Reused: reused, Err: ErrWithdrawn}
	}
	if ctx.Err() != nil {
		p.put(c, unusedIdleTimeout(c))
		return nil, &SendError{Stage: NotSent, Reused: reused, Err: context.Cause(ctx)}
	}
	stopAfterFunc := context.AfterFunc(ctx, func() { _ = c.Close() })
	if r.Monitor != nil {
		r.Monitor.conn.Store(c)
	}
	w := startWrite(c, r)
	resp, err := readResponseHeader(c, r)
	if err == nil && !w.finished() {
		resp.Close = true
	}
	if err != nil {
		stopAfterFunc()
		_ = c.Close()
		return nil, &SendError{Stage: w.stage(), Reused: reused, Err: contextCause(ctx, err)}
	}
	return &Response{
		Response: resp, pool: p, conn: c, stopAfterFunc: stopAfterFunc, writer: w, idleTimeout: serverIdleTimeout(resp),
	}, nil
}

// contextCause returns the context's cause if the context has ended, since that is why the connection was closed, and
// err otherwise.
func contextCause(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return err
}

// requestWriter writes a request and counts the bytes written.
type requestWriter struct {
	done    chan struct{}
	written int64
	err     error
}

func startWrite(c *conn, r *Request) *requestWriter {
	w := &requestWriter{done: make(chan struct{})}
	header := r.encodeHeader()
	if header.Len()+len(r.Body) <= maxInlineBytes {
		header.Write(r.Body)
		w.write(c, header.Bytes(), nil)
		return w
	}
	go w.write(c, header.Bytes(), r.Body)
	return w
}

func (w *requestWriter) write(c *conn, header, body []byte) {
	defer close(w.done)
	for _, part := range [][]byte{header, body} {
		if len(part) == 0 || w.err != nil {
			continue
		}
		var n int
		n, w.err = c.Write(part)
		w.written += int64(n)
	}
}

// finished reports whether the whole request has been written.
func (w *requestWriter) finished() bool {
	select {
	case <-w.done:
		return w.err == nil
	default:
		return false
	}
}

// endOfUpload returns nil if the whole request has been written, and otherwise why it has not.
func (w *requestWriter) endOfUpload() error {
	timer := time.NewTimer(maxUploadWait)
	defer timer.Stop()
	select {
	case <-w.done:
	case <-timer.C:
		return io.ErrUnexpectedEOF
	}
	return w.err
}

// stage waits for the writer to finish and returns whether any byte was written. The connection must be closed first,
// so that the writer finishes.
func (w *requestWriter) stage() Stage {
	<-w.done
	if w.written == 0 {
		return NotSent
	}
	return Sent
}

// encodeHeader encodes the request line and the header.
func (r *Request) encodeHeader() *bytes.Buffer {
	b := new(bytes.Buffer)
	fmt.Fprintf(b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, r.Host)
	// Header.Write replaces line breaks in values, so that a value cannot start another header.
	_ = r.Header.Write(b)
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		fmt.Fprintf(b, "Content-Length: %d\r\n", len(r.Body))
	}
	b.WriteString("\r\n")
	return b
}

// readResponseHeader reads the header of the response that belongs to the request. It skips other responses.
func readResponseHeader(c *conn, r *Request) (*http.Response, error) {
	request := &http.Request{Method: r.Method}
	for range maxMismatchedResponses + 1 {
		resp, err := readFinalHeader(c, request)
		if err != nil {
			return nil, c.guard.classify(err)
		}
		if r.Matches == nil || r.Matches(resp) {
			return resp, nil
		}
		if resp.Close || !discard(c, resp.Body) {
			return nil, c.guard.invalid(errMismatchedResponses, false)
		}
	}
	return nil, c.guard.invalid(errMismatchedResponses, false)
}

// readFinalHeader reads the next response header and skips informational (1xx) ones.
func readFinalHeader(c *conn, request *http.Request) (*http.Response, error) {
	buffered, err := c.br.Peek(c.br.Buffered())
	if err != nil {
		return nil, err
	}
	c.guard.startResponse(buffered)
	defer c.guard.endHead()
	for range maxInformationalResponses + 1 {
		c.guard.startHead()
		resp, err := http.ReadResponse(c.br, request)
		if err != nil {
			return nil, err
		}
		switch {
		case resp.StatusCode < http.StatusContinue:
			return nil, errInvalidStatus
		case resp.StatusCode >= http.StatusOK:
			return resp, nil
		}
	}
	return nil, errTooManyInformational
}

// discard reads the rest of a body so that its connection can be reused. It reports whether the body ended within the
// limits.
func discard(c *conn, body io.Reader) bool {
	if c.SetReadDeadline(time.Now().Add(maxDiscardTime)) != nil {
		return false
	}
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxDiscardedBytes))
	return err == nil && n < maxDiscardedBytes && c.SetReadDeadline(time.Time{}) == nil
}

// Discard reads the rest of a short body, so that Close can keep the connection. Close closes the connection if the body
// is too long or does not end in time.
func (r *Response) Discard() {
	if r.ContentLength == 0 {
		r.complete = true
		return
	}
	r.complete = discard(r.conn, r.Body)
}

// Read reads the body. It returns io.EOF only at the end of a complete body, and an *InvalidResponseError if the body is
// not encoded correctly. A body that ends with its connection is complete only if the server has closed it in order, and has
// read the request unless it refuses it.
func (r *Response) Read(b []byte) (int, error) {
	n, err := r.Body.Read(b)
	r.bodyBytes += int64(n)
	if err == io.EOF && r.EndsWithConnection() {
		if endErr := r.checkConnectionEnd(); endErr != nil {
			return n, endErr
		}
	}
	if err == io.EOF {
		r.complete = true
	}
	return n, r.conn.guard.classify(err)
}

// checkConnectionEnd returns an error unless the server has closed the connection in order. A server that ends closes its
// connections in order, too, if it has read all that has arrived of the request.
func (r *Response) checkConnectionEnd() error {
	r.connectionEnd = sockopt.EndOf(r.conn.Conn, r.conn.guard.received)
	refused := r.StatusCode >= http.StatusBadRequest
	switch {
	case r.connectionEnd == sockopt.EndBroken:
		return errors.Wrapf(syscall.ECONNRESET, "response without a length, after %d bytes", r.bodyBytes)
	case r.connectionEnd == sockopt.EndOrderly && refused:
		return nil
	default:
		return r.writer.endOfUpload()
	}
}

// EndsWithConnection reports whether the response has a body with neither a length nor chunks, so that its end looks like
// that of the server.
func (r *Response) EndsWithConnection() bool {
	return r.ContentLength < 0 && len(r.TransferEncoding) == 0 && r.Body != http.NoBody
}

// BodyBytes returns the number of bytes of the body that were read.
func (r *Response) BodyBytes() int64 { return r.bodyBytes }

// ConnectionEnd tells how the connection had ended when the end of a response that ends with it was read.
func (r *Response) ConnectionEnd() sockopt.End { return r.connectionEnd }

// Reused reports whether the connection had carried other requests before.
func (r *Response) Reused() bool { return r.conn.reused }

// DisableReuse makes Close close the connection.
func (r *Response) DisableReuse() { r.idleTimeout = 0 }

// Close returns the connection to the pool if the request was written and the body read completely and the server keeps
// the connection open. Otherwise it closes the connection, which makes the server stop processing the request.
func (r *Response) Close() {
	r.once.Do(func() {
		alive := r.stopAfterFunc()
		if alive && r.complete && r.writer.finished() && r.idleTimeout > 0 {
			r.pool.put(r.conn, r.idleTimeout)
			return
		}
		_ = r.conn.Close()
	})
}
