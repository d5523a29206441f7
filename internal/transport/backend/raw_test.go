package backend

import (
	"bufio"
	"net"
	"net/http"
	"sync"
	"testing"

	"gooseberrytide.example/gooseberrytide/internal/state/object"
)

// rawHandler handles a request that the raw server has read completely. It returns the bytes of the response and
// whether the connection stays open.
type rawHandler func(execution int, r *http.Request) (response string, keep bool)

// rawServer serves requests on plain TCP connections, so that a test controls each byte of the response.
type rawServer struct {
	listener net.Listener
	handle   rawHandler

	mu          sync.Mutex
	executions  int
	connections int
	headers     []http.Header
}

func newRawServer(t *testing.T, handle rawHandler) *rawServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &rawServer{listener: l, handle: handle}
	t.Cleanup(func() { _ = l.Close() })
	go s.acceptLoop()
	return s
}

func (s *rawServer) acceptLoop() {
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
		response, keep := s.handle(n, r)
		if _, err := conn.Write([]byte(response)); err != nil || !keep {
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

func (s *rawServer) backendServer() *object.BackendServer {
	return &object.BackendServer{Name: "raw", Address: s.listener.Addr().String()}
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
