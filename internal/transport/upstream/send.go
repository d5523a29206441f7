package upstream

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// inlineBytes is the size up to which a request is written before its answer is read. A larger one is written
	// beside it, since a server may answer early and leave the rest unread.
	inlineBytes = 8 << 10
	// maxStrays is the number of answers to other requests that are passed over on one connection.
	maxStrays = 2
	// strayBytes bounds the body of an answer that is passed over.
	strayBytes = 64 << 10
)

// Stage says how far a request got.
type Stage uint8

const (
	// NotSent means that no byte was written: the request did not run.
	NotSent Stage = iota + 1
	// Sent means that the request may have run.
	Sent
)

// SendError reports a request without an answer.
type SendError struct {
	Stage Stage
	// Reused says that the connection had carried other requests.
	Reused bool
	// Dial says that no connection was made.
	Dial bool
	Err  error
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

// Request is a request to a server. Its path and body are sent as they are.
type Request struct {
	// Server keys the kept connections. Connections to another start of a server at the same address are not used.
	Server  string
	Address string
	Method  string
	// Target is the path and query.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Own reports whether an answer's head belongs to this request.
	Own func(*http.Response) bool
}

// Response is an answer whose body is still to be read. Close must be called.
type Response struct {
	*http.Response
	pool    *Pool
	conn    *conn
	release func() bool
	written *writer
	idle    time.Duration
	whole   bool
	once    sync.Once
}

// Do sends a request once and returns the head of its answer. When the context ends, the connection is closed, which
// makes the server stop.
func (p *Pool) Do(ctx context.Context, r *Request) (*Response, error) {
	c, err := p.get(ctx, r.Server, r.Address)
	if err != nil {
		return nil, &SendError{Stage: NotSent, Dial: true, Err: err}
	}
	release := context.AfterFunc(ctx, func() { _ = c.Close() })
	w := startWrite(c, r)
	resp, err := readHead(c, r)
	if err == nil && !w.finished() {
		resp.Close = true
	}
	if err != nil {
		release()
		_ = c.Close()
		return nil, &SendError{Stage: w.stage(), Reused: c.reused, Err: cause(ctx, err)}
	}
	return &Response{Response: resp, pool: p, conn: c, release: release, written: w, idle: idleTime(resp)}, nil
}

// cause prefers the context's error, which explains why the connection was closed.
func cause(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return err
}

// writer writes a request.
type writer struct {
	done chan struct{}
	n    int64
	err  error
}

func startWrite(c *conn, r *Request) *writer {
	w := &writer{done: make(chan struct{})}
	head := r.head()
	if head.Len()+len(r.Body) <= inlineBytes {
		head.Write(r.Body)
		w.write(c, head.Bytes(), nil)
		return w
	}
	go w.write(c, head.Bytes(), r.Body)
	return w
}

func (w *writer) write(c *conn, head, body []byte) {
	defer close(w.done)
	for _, part := range [][]byte{head, body} {
		if len(part) == 0 || w.err != nil {
			continue
		}
		var n int
		n, w.err = c.Write(part)
		w.n += int64(n)
	}
}

// finished reports whether the whole request has been written.
func (w *writer) finished() bool {
	select {
	case <-w.done:
		return w.err == nil
	default:
		return false
	}
}

// stage tells whether a byte was written. The connection is closed, so that the writer ends.
func (w *writer) stage() Stage {
	<-w.done
	if w.n == 0 {
		return NotSent
	}
	return Sent
}

// head encodes the request line and the headers.
func (r *Request) head() *bytes.Buffer {
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

var errStrays = errors.New("answers belong to other requests")

// readHead reads the head of the request's own answer and passes over others.
func readHead(c *conn, r *Request) (*http.Response, error) {
	request := &http.Request{Method: r.Method}
	for range maxStrays + 1 {
		resp, err := readFinal(c, request)
		if err != nil {
			return nil, err
		}
		if r.Own == nil || r.Own(resp) {
			return resp, nil
		}
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, strayBytes))
		if err != nil || n == strayBytes || resp.Close {
			return nil, errStrays
		}
	}
	return nil, errStrays
}

// readFinal reads a head and passes over informational ones.
func readFinal(c *conn, request *http.Request) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(c.br, request)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
}

// Read reads the body. It returns io.EOF only at the body's proper end.
func (r *Response) Read(b []byte) (int, error) {
	n, err := r.Body.Read(b)
	if err == io.EOF {
		r.whole = true
	}
	return n, err
}

// Close keeps the connection when the whole body was read, and closes it otherwise, which makes the server stop.
func (r *Response) Close() {
	r.once.Do(func() {
		alive := r.release()
		if alive && r.whole && r.written.finished() && r.idle > 0 {
			r.pool.put(r.conn, r.idle)
			return
		}
		_ = r.conn.Close()
	})
}
