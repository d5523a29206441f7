package backend

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/coordination/execute"
	"gooseberrytide.example/gooseberrytide/internal/state/object"
)

// testTimeout bounds operations that take little time on a working system.
const testTimeout = 20 * time.Second

func testContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

func newTestClient(t *testing.T, opts Options) *Client {
	t.Helper()
	c := New(opts)
	t.Cleanup(c.Close)
	return c
}

func requireSendError(t *testing.T, err error, kind execute.SendErrorKind) *execute.SendError {
	t.Helper()
	var s *execute.SendError
	if !errors.As(err, &s) {
		t.Fatalf("error %v, want kind %s", err, kind)
	}
	if s.Kind != kind {
		t.Fatalf("error %v, want kind %s", err, kind)
	}
	return s
}

// A call must run only once when the connection is lost after the request was written. net/http by itself sends some
// requests again on a new connection.
func TestLostConnectionDoesNotRepeatCall(t *testing.T) {
	cases := []struct {
		name string
		call execute.Call
		// first reports that an earlier call leaves an idle connection in the pool.
		first bool
		// pooled reports that the call uses the idle connection.
		pooled bool
	}{
		{"fresh connection", execute.Call{Method: "POST", Path: "/credit", Body: []byte("x")}, false, false},
		{"with an idle connection", execute.Call{Method: "POST", Path: "/credit", Body: []byte("x")}, true, false},
		{"idempotency key", execute.Call{Method: "POST", Path: "/credit", Body: []byte("x"), Key: "k"}, true, false},
		{"idempotency key without body", execute.Call{Method: "POST", Path: "/credit", Key: "k"}, true, false},
		{"non-idempotent GET", execute.Call{Method: "GET", Path: "/ring"}, true, false},
		{"non-idempotent DELETE", execute.Call{Method: "DELETE", Path: "/ring"}, true, false},
		{"pooled GET", execute.Call{Method: "GET", Path: "/stock", Idempotent: true}, true, true},
		{"pooled PUT", execute.Call{Method: "PUT", Path: "/stock", Body: []byte("x"), Idempotent: true}, true, true},
		{"pooled POST with key", execute.Call{Method: "POST", Path: "/", Body: []byte("x"), Key: "k", Idempotent: true},
			true, true},
		{"pooled POST with key, no body", execute.Call{Method: "POST", Path: "/", Key: "k", Idempotent: true}, true, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			client := newTestClient(t, Options{})
			earlier := 0
			if tc.first {
				earlier = 1
			}
			s := newRawServer(t, func(n int, _ *http.Request) (string, bool) {
				if n <= earlier {
					return okResponse, true
				}
				return "", false
			})
			if tc.first {
				if _, err := client.Call(testContext(t), s.backendServer(), tc.call); err != nil {
					t.Fatal(err)
				}
			}
			_, err := client.Call(testContext(t), s.backendServer(), tc.call)
			requireSendError(t, err, execute.SendBroken)
			executions, connections := s.counts()
			if executions != earlier+1 {
				t.Fatalf("%d executions, want %d", executions, earlier+1)
			}
			if wantNew := !tc.pooled; wantNew != (connections == earlier+1) {
				t.Fatalf("%d connections, want a new connection: %v", connections, wantNew)
			}
		})
	}
}

// A redirect must be returned to the caller. Following it would run the call a second time on another server.
func TestRedirectIsNotFollowed(t *testing.T) {
	target := newRawServer(t, func(int, *http.Request) (string, bool) { return okResponse, false })
	response := "HTTP/1.1 307 Temporary Redirect\r\nLocation: http://" + target.backendServer().Address +
		"/\r\nContent-Length: 0\r\n\r\n"
	s := newRawServer(t, func(int, *http.Request) (string, bool) { return response, true })
	for _, idempotent := range []bool{false, true} {
		call := execute.Call{Method: "POST", Path: "/credit", Body: []byte("x"), Key: "k", Idempotent: idempotent}
		resp, err := newTestClient(t, Options{}).Call(testContext(t), s.backendServer(), call)
		if err != nil || resp.Status != http.StatusTemporaryRedirect {
			t.Fatalf("%v, %v", resp, err)
		}
	}
	if n, _ := s.counts(); n != 2 {
		t.Fatalf("%d executions for two calls", n)
	}
	if n, _ := target.counts(); n != 0 {
		t.Fatalf("redirect followed %d times", n)
	}
}

// Truncated, oversized and malformed responses must not be reported as complete responses, nor as calls that did not
// run.
func TestIncompleteOrInvalidResponses(t *testing.T) {
	cases := []struct {
		name, answer string
		kind         execute.SendErrorKind
	}{
		{"truncated header", "HTTP/1.1 200 OK\r\nContent-Le", execute.SendBroken},
		{"shorter than its length", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc", execute.SendBroken},
		{"truncated chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab", execute.SendBroken},
		{"missing last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n", execute.SendBroken},
		{"bad chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n0\r\n\r\n", execute.SendInvalid},
		{"not HTTP", "SSH-2.0-x\r\n\r\n", execute.SendInvalid},
		{"two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc", execute.SendInvalid},
		{"no length", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nabc", execute.SendInvalid},
		{"long body", "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n" + strings.Repeat("a", 20), execute.SendInvalid},
		{"long chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n14\r\n" + strings.Repeat("a", 20) +
			"\r\n0\r\n\r\n", execute.SendInvalid},
		{"long header", "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("a", 100<<10) + "\r\n\r\n", execute.SendInvalid},
		{"switched protocol", "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n",
			execute.SendInvalid},
		{"refusal", "HTTP/1.1 503 Unavailable\r\nNot-Run: true\r\nContent-Length: 0\r\n\r\n", execute.SendRefused},
		{"refusal with truncated body", "HTTP/1.1 429 Too Many\r\nNot-Run: true\r\nContent-Length: 9\r\n\r\n",
			execute.SendRefused},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := newRawServer(t, func(int, *http.Request) (string, bool) { return tc.answer, false })
			call := execute.Call{Method: "POST", Path: "/", Body: []byte("x"), MaxResponseBytes: 10}
			_, err := newTestClient(t, Options{}).Call(testContext(t), s.backendServer(), call)
			requireSendError(t, err, tc.kind)
			if n, _ := s.counts(); n != 1 {
				t.Fatalf("%d executions", n)
			}
		})
	}
}

// A 503 without the Not-Run header does not tell whether the call ran, so it must reach the caller as a response.
func TestPlain503IsAResponse(t *testing.T) {
	s := newRawServer(t, func(int, *http.Request) (string, bool) {
		return "HTTP/1.1 503 Unavailable\r\nContent-Length: 0\r\n\r\n", false
	})
	resp, err := newTestClient(t, Options{}).Call(testContext(t), s.backendServer(),
		execute.Call{Method: "POST", Path: "/"})
	if err != nil || resp.Status != http.StatusServiceUnavailable {
		t.Fatalf("%v, %v", resp, err)
	}
}

// A refused connection proves that the call did not run, so it must not be reported as SendBroken.
func TestRefusedConnectionIsNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &object.BackendServer{Name: "gone", Address: l.Addr().String()}
	_ = l.Close()
	_, err = newTestClient(t, Options{}).Call(testContext(t), server, execute.Call{Method: "POST", Path: "/"})
	requireSendError(t, err, execute.SendNotSent)
}

// A call whose context ends after the request was written may have run. A call whose context ended earlier has not run.
func TestEndedContext(t *testing.T) {
	reached := make(chan struct{})
	s := newRawServer(t, func(int, *http.Request) (string, bool) {
		close(reached)
		return "", true
	})
	ctx, cancel := context.WithCancel(testContext(t))
	go func() {
		<-reached
		cancel()
	}()
	client := newTestClient(t, Options{})
	_, err := client.Call(ctx, s.backendServer(), execute.Call{Method: "POST", Path: "/", Body: []byte("x")})
	requireSendError(t, err, execute.SendBroken)
	_, err = client.Call(ctx, s.backendServer(), execute.Call{Method: "POST", Path: "/", Body: []byte("x")})
	requireSendError(t, err, execute.SendNotSent)
	if n, _ := s.counts(); n != 1 {
		t.Fatalf("%d executions", n)
	}
}

// The service must get the idempotency key and the request id of the call, but neither hop-by-hop headers nor a fencing
// number that the caller sent.
func TestCallHeader(t *testing.T) {
	s := newRawServer(t, func(int, *http.Request) (string, bool) { return okResponse, false })
	header := http.Header{"Expect": {"100-continue"}, "Fencing-Number": {"99"}, "X-Own": {"1"}, "X-Hop": {"1"},
		"Connection": {"x-hop, close"}}
	call := execute.Call{RequestID: "r-1", Method: "POST", Path: "/", Header: header, Body: []byte("x"), Key: "k"}
	if _, err := newTestClient(t, Options{}).Call(testContext(t), s.backendServer(), call); err != nil {
		t.Fatal(err)
	}
	got := s.headers[0]
	if got.Get("Expect") != "" || got.Get("Fencing-Number") != "" || got.Get("X-Own") != "1" || got.Get("X-Hop") != "" {
		t.Fatalf("header %v", got)
	}
	if got.Get("X-Request-Id") != "r-1" || got.Get("Idempotency-Key") != "k" {
		t.Fatalf("header %v", got)
	}
}

// Once writes are disabled on a connection, the request must never be written to it, because it was already reported as
// not sent.
func TestPreventWrites(t *testing.T) {
	near, far := net.Pipe()
	defer func() { _ = far.Close() }()
	go func() { _, _ = io.Copy(io.Discard, far) }()
	conn := &trackedConn{Conn: near}
	if !conn.preventWrites() {
		t.Fatal("a connection without a write was reported as written")
	}
	if _, err := conn.Write([]byte("x")); !errors.Is(err, errWritesDisabled) {
		t.Fatalf("write after writes were disabled: %v", err)
	}
	conn.state.Store(connWritten)
	if conn.preventWrites() {
		t.Fatal("a connection with a write was reported as not written")
	}
}
