package backend

import (
	"bufio"
	"net"
	"net/http"
	"sync"
	"testing"

	"gooseberrytide.example/gooseberrytide/internal/state/object"
)

// action says what the raw server does with a request that it has read in whole. It returns the bytes to answer and
// whether the connection stays open.
type action func(execution int, r *http.Request) (answer string, keep bool)

// rawServer executes requests on plain TCP connections, so that a test decides about each byte of the answer.
type rawServer struct {
	listener net.Listener
	act      action

	mu          sync.Mutex
	executions  int
	connections int
	headers     []http.Header
}

func newRawServer(t *testing.T, act action) *rawServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &rawServer{listener: l, act: act}
	t.Cleanup(func() { _ = l.Close() })
	go s.accept()
	return s
}

func (s *rawServer) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.connections++
		s.mu.Unlock()
		go s.serve(conn)
	}
}

func (s *rawServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := bufio.NewReader(r.Body).WriteTo(discard{}); err != nil {
			return
		}
		s.mu.Lock()
		s.executions++
		n := s.executions
		s.headers = append(s.headers, r.Header)
		s.mu.Unlock()
		answer, keep := s.act(n, r)
		if _, err := conn.Write([]byte(answer)); err != nil || !keep {
			return
		}
	}
}

type discard struct{}

func (discard) Write(p []byte) (int, error) { return len(p), nil }

func (s *rawServer) counts() (executions, connections int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.executions, s.connections
}

func (s *rawServer) object() *object.BackendServer {
	return &object.BackendServer{Name: "raw", Address: s.listener.Addr().String()}
}

const okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
