package callerhttp

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"

	. "github.com/onsi/gomega"

	"gooseberrytide.example/gooseberrytide/internal/coordination/execute"
	"gooseberrytide.example/gooseberrytide/test/standin/connend"
)

// faultyListener is a listener whose connections can be ended, and made to fail writes, by the test.
type faultyListener struct {
	net.Listener
	accepted   chan net.Conn
	failWrites atomic.Bool
	// closed is closed when the server has closed a connection.
	closed    chan struct{}
	closeOnce sync.Once
}

func (l *faultyListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.accepted <- conn
	return &faultyConn{Conn: conn, listener: l}, nil
}

type faultyConn struct {
	net.Conn
	listener *faultyListener
}

func (c *faultyConn) NetConn() net.Conn { return c.Conn }

func (c *faultyConn) Write(p []byte) (int, error) {
	if c.listener.failWrites.Load() {
		return 0, os.ErrDeadlineExceeded
	}
	return c.Conn.Write(p)
}

func (c *faultyConn) Close() error {
	err := c.Conn.Close()
	c.listener.closeOnce.Do(func() { close(c.listener.closed) })
	return err
}

// serveFaulty serves callers on a faultyListener.
func serveFaulty(t *testing.T, f *fakeExecutor) (*Server, *faultyListener) {
	t.Helper()
	s, _ := newTestServer(t, f)
	plain, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &faultyListener{Listener: plain, accepted: make(chan net.Conn, 1), closed: make(chan struct{})}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.http.Close() })
	return s, l
}

// sendWith sends a request with a version of HTTP and returns the response, which has no length: with HTTP/1.0, its body ends
// with the connection.
func sendWith(t *testing.T, proto string, l net.Listener, path, body string) *http.Response {
	t.Helper()
	g := NewWithT(t)
	conn, err := net.Dial("tcp4", l.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = conn.Close() })
	_, err = fmt.Fprintf(conn, "POST %s %s\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		path, proto, testKey, len(body), body)
	g.Expect(err).NotTo(HaveOccurred())
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.ContentLength).To(Equal(int64(-1)))
	return resp
}

const streamedCompletion = `{"model":"m","prompt":"p","stream":true}`

// brokenEnds are ways in which a response ends early, by name. broken takes what the handler then does; if it gets nothing, the
// handler ends when the caller seems to have left.
var brokenEnds = map[string]func(s *Server, l *faultyListener, c net.Conn, broken chan<- func()){
	"handler panics": func(_ *Server, _ *faultyListener, _ net.Conn, broken chan<- func()) {
		broken <- func() { panic(http.ErrAbortHandler) }
	},
	"write fails": func(_ *Server, l *faultyListener, _ net.Conn, broken chan<- func()) {
		l.failWrites.Store(true)
		broken <- func() {}
	},
	"server is closed": func(s *Server, _ *faultyListener, _ net.Conn, _ chan<- func()) { _ = s.http.Close() },
	// The system closes the sockets of a process that is killed.
	"process is killed": func(_ *Server, _ *faultyListener, c net.Conn, _ chan<- func()) { _ = c.Close() },
}

// readBroken returns the error with which a caller reads a response that ends early after its first part.
func readBroken(
	t *testing.T, proto string, end func(s *Server, l *faultyListener, c net.Conn, broken chan<- func()),
) error {
	t.Helper()
	broken := make(chan func(), 1)
	s, l := serveFaulty(t, &fakeExecutor{complete: func(
		ctx context.Context, _ execute.CompletionRequest, emit func(execute.Chunk) error,
	) execute.CompletionResult {
		_ = emit(execute.Chunk{Tokens: 1, Text: "first"})
		select {
		case f := <-broken:
			f()
		case <-ctx.Done():
		}
		return execute.CompletionResult{Outcome: execute.Completed, FinishReason: "stop", OutputTokens: 1}
	}})
	resp := sendWith(t, proto, l, "/v1/completions", streamedCompletion)
	end(s, l, <-l.accepted, broken)
	_, err := io.ReadAll(resp.Body)
	return err
}

// Guards against a part of a response that a caller takes for the whole. A caller of HTTP/1.0, whose responses end with the
// connection, needs a reset; one of HTTP/1.1 misses the last chunk.
func TestBrokenResponseDoesNotLookWhole(t *testing.T) {
	for name, end := range brokenEnds {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			g.Expect(readBroken(t, "HTTP/1.0", end)).To(MatchError(syscall.ECONNRESET))
			g.Expect(readBroken(t, "HTTP/1.1", end)).To(
				Or(MatchError(syscall.ECONNRESET), MatchError(io.ErrUnexpectedEOF)))
		})
	}
}

// Guards against a whole response to a caller of HTTP/1.0 that ends with a reset, so that the caller loses a part of it.
func TestWholeResponseToHTTP10EndsInOrder(t *testing.T) {
	g := NewWithT(t)
	long := strings.Repeat("x", 4<<20)
	_, l := serveFaulty(t, &fakeExecutor{
		complete: completeWithTokens(3),
		call: func(context.Context, execute.CallRequest) execute.CallResult {
			return execute.CallResult{Outcome: execute.Completed, Response: &execute.Response{
				Status: http.StatusOK, Trailer: http.Header{"X-Sum": {"9"}}, Body: []byte(long),
			}}
		},
	})
	stream, err := io.ReadAll(sendWith(t, "HTTP/1.0", l, "/v1/completions", streamedCompletion).Body)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(stream)).To(ContainSubstring(`"outcome":"completed"`))
	<-l.accepted
	body, err := io.ReadAll(sendWith(t, "HTTP/1.0", l, "/v1/services/s/x", "").Body)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(body) == long).To(BeTrue(), "%d of %d bytes", len(body), len(long))
}

// Guards against a part of a request that runs as the whole one because its caller ended the connection.
func TestPartOfARequestDoesNotRun(t *testing.T) {
	const head = "POST /v1/services/s/x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " + testKey + "\r\n"
	parts := map[string]string{
		"header":     head,
		"length":     head + "Content-Length: 10\r\n\r\nbody",
		"chunk":      head + "Transfer-Encoding: chunked\r\n\r\na\r\nbody",
		"last chunk": head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n",
		"trailer":    head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n",
	}
	for name, part := range parts {
		for _, way := range []connend.Way{connend.Close, connend.Reset, connend.CloseThenReset} {
			t.Run(fmt.Sprintf("%s, %s", name, way), func(t *testing.T) {
				g := NewWithT(t)
				var ran atomic.Bool
				_, l := serveFaulty(t, &fakeExecutor{call: func(context.Context, execute.CallRequest) execute.CallResult {
					ran.Store(true)
					return execute.CallResult{Outcome: execute.Completed, Response: &execute.Response{Status: http.StatusOK}}
				}})
				conn, err := net.Dial("tcp4", l.Addr().String())
				g.Expect(err).NotTo(HaveOccurred())
				_, err = io.WriteString(conn, part)
				g.Expect(err).NotTo(HaveOccurred())
				way.End(conn)
				g.Eventually(l.closed, "5s").Should(BeClosed())
				g.Expect(ran.Load()).To(BeFalse())
			})
		}
	}
}
