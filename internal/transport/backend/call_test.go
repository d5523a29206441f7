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

// patience is a wide deadline for what happens at once on a working system.
const patience = 20 * time.Second

func testContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	t.Cleanup(cancel)
	return ctx
}

func newTestClient(t *testing.T, opts Options) *Client {
	t.Helper()
	c := New(opts)
	t.Cleanup(c.Close)
	return c
}

func wantKind(t *testing.T, err error, kind execute.SendErrorKind) *execute.SendError {
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

// A call whose connection is lost after the request must not run a second time, whatever net/http thinks of it.
func TestDroppedCallRunsOnce(t *testing.T) {
	cases := []struct {
		name string
		call execute.Call
		// first is answered on a kept connection before the call, so that a pooled connection exists.
		first bool
		// pooled says that the call uses the kept connection.
		pooled bool
	}{
		{"fresh connection", execute.Call{Method: "POST", Path: "/credit", Body: []byte("x")}, false, false},
		{"after a kept connection", execute.Call{Method: "POST", Path: "/credit", Body: []byte("x")}, true, false},
		{"idempotency key", execute.Call{Method: "POST", Path: "/credit", Body: []byte("x"), Key: "k"}, true, false},
		{"idempotency key without body", execute.Call{Method: "POST", Path: "/credit", Key: "k"}, true, false},
		{"non-idempotent GET", execute.Call{Method: "GET", Path: "/ring"}, true, false},
		{"non-idempotent DELETE", execute.Call{Method: "DELETE", Path: "/ring"}, true, false},
		{"pooled GET", execute.Call{Method: "GET", Path: "/stock", Idempotent: true}, true, true},
		{"pooled PUT", execute.Call{Method: "PUT", Path: "/stock", Body: []byte("x"), Idempotent: true}, true, true},
		{"pooled POST with key", execute.Call{Method: "POST", Path: "/", Body: []byte("x"), Key: "k", Idempotent: true}, true, true},
		{"pooled POST with key, no body", execute.Call{Method: "POST", Path: "/", Key: "k", Idempotent: true}, true, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			client := newTestClient(t, Options{})
			before := 0
			if tc.first {
				before = 1
			}
			s := newRawServer(t, func(n int, _ *http.Request) (string, bool) {
				if n <= before {
					return okAnswer, true
				}
				return "", false
			})
			if tc.first {
				if _, err := client.Call(testContext(t), s.object(), tc.call); err != nil {
					t.Fatal(err)
				}
			}
			_, err := client.Call(testContext(t), s.object(), tc.call)
			wantKind(t, err, execute.SendBroken)
			executions, connections := s.counts()
			if executions != before+1 {
				t.Fatalf("%d executions, want %d", executions, before+1)
			}
			if wantNew := !tc.pooled; wantNew != (connections == before+1) {
				t.Fatalf("%d connections; new one wanted: %v", connections, wantNew)
			}
		})
	}
}

// A redirect must be handed back; following it would run the call elsewhere a second time.
func TestRedirectIsNotFollowed(t *testing.T) {
	target := newRawServer(t, func(int, *http.Request) (string, bool) { return okAnswer, false })
	answer := "HTTP/1.1 307 Temporary Redirect\r\nLocation: http://" + target.object().Address + "/\r\nContent-Length: 0\r\n\r\n"
	s := newRawServer(t, func(int, *http.Request) (string, bool) { return answer, true })
	for _, idempotent := range []bool{false, true} {
		call := execute.Call{Method: "POST", Path: "/credit", Body: []byte("x"), Key: "k", Idempotent: idempotent}
		resp, err := newTestClient(t, Options{}).Call(testContext(t), s.object(), call)
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

// Cut, oversized and malformed answers must not be taken for whole ones, nor for proof that the call did not run.
func TestAnswersThatAreNotWhole(t *testing.T) {
	cases := []struct {
		name, answer string
		kind         execute.SendErrorKind
	}{
		{"cut header", "HTTP/1.1 200 OK\r\nContent-Le", execute.SendBroken},
		{"cut by length", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc", execute.SendBroken},
		{"cut chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab", execute.SendBroken},
		{"missing last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n", execute.SendBroken},
		{"bad chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n0\r\n\r\n", execute.SendInvalid},
		{"not HTTP", "SSH-2.0-x\r\n\r\n", execute.SendInvalid},
		{"two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc", execute.SendInvalid},
		{"no length", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nabc", execute.SendInvalid},
		{"long body", "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n" + strings.Repeat("a", 20), execute.SendInvalid},
		{"long chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n14\r\n" + strings.Repeat("a", 20) + "\r\n0\r\n\r\n", execute.SendInvalid},
		{"long header", "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("a", 100<<10) + "\r\n\r\n", execute.SendInvalid},
		{"switched protocol", "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n", execute.SendInvalid},
		{"refusal", "HTTP/1.1 503 Unavailable\r\nNot-Run: true\r\nContent-Length: 0\r\n\r\n", execute.SendRefused},
		{"refusal with cut body", "HTTP/1.1 429 Too Many\r\nNot-Run: true\r\nContent-Length: 9\r\n\r\n", execute.SendRefused},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := newRawServer(t, func(int, *http.Request) (string, bool) { return tc.answer, false })
			call := execute.Call{Method: "POST", Path: "/", Body: []byte("x"), MaxResponseBytes: 10}
			_, err := newTestClient(t, Options{}).Call(testContext(t), s.object(), call)
			wantKind(t, err, tc.kind)
			if n, _ := s.counts(); n != 1 {
				t.Fatalf("%d executions", n)
			}
		})
	}
}

// A 503 without Not-Run says nothing about execution and must reach the caller as an answer.
func TestPlain503IsAnAnswer(t *testing.T) {
	s := newRawServer(t, func(int, *http.Request) (string, bool) {
		return "HTTP/1.1 503 Unavailable\r\nContent-Length: 0\r\n\r\n", false
	})
	resp, err := newTestClient(t, Options{}).Call(testContext(t), s.object(), execute.Call{Method: "POST", Path: "/"})
	if err != nil || resp.Status != http.StatusServiceUnavailable {
		t.Fatalf("%v, %v", resp, err)
	}
}

// A refused connection is proof that the call did not run; it must not be reported as broken.
func TestRefusedConnectionIsNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &object.BackendServer{Name: "gone", Address: l.Addr().String()}
	_ = l.Close()
	_, err = newTestClient(t, Options{}).Call(testContext(t), server, execute.Call{Method: "POST", Path: "/"})
	wantKind(t, err, execute.SendNotSent)
}

// A call whose context ends while it runs may have run; one whose context ended before has not.
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
	_, err := client.Call(ctx, s.object(), execute.Call{Method: "POST", Path: "/", Body: []byte("x")})
	wantKind(t, err, execute.SendBroken)
	_, err = client.Call(ctx, s.object(), execute.Call{Method: "POST", Path: "/", Body: []byte("x")})
	wantKind(t, err, execute.SendNotSent)
	if n, _ := s.counts(); n != 1 {
		t.Fatalf("%d executions", n)
	}
}

// The service must see the claim's key and fence and not the hop headers or a fence that the caller made up.
func TestCallHeader(t *testing.T) {
	s := newRawServer(t, func(int, *http.Request) (string, bool) { return okAnswer, false })
	header := http.Header{"Expect": {"100-continue"}, "Fencing-Number": {"99"}, "X-Own": {"1"}, "X-Hop": {"1"}, "Connection": {"x-hop, close"}}
	call := execute.Call{RequestID: "r-1", Method: "POST", Path: "/", Header: header, Body: []byte("x"), Key: "k"}
	if _, err := newTestClient(t, Options{}).Call(testContext(t), s.object(), call); err != nil {
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

// A connection sealed before its first write must never carry the request, or "not sent" would be false.
func TestSealedConnectionWritesNothing(t *testing.T) {
	near, far := net.Pipe()
	defer func() { _ = far.Close() }()
	go func() { _, _ = io.Copy(io.Discard, far) }()
	conn := &trackedConn{Conn: near}
	if !conn.seal() {
		t.Fatal("untouched connection reported as written")
	}
	if _, err := conn.Write([]byte("x")); !errors.Is(err, errSealed) {
		t.Fatalf("write after seal: %v", err)
	}
	conn.state.Store(connWritten)
	if conn.seal() {
		t.Fatal("written connection reported as untouched")
	}
}
