package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"
)

// copyingServer turns its first request away without naming it. On a connection that is used again it sends the same
// response once more before it answers the next request.
type copyingServer struct {
	net.Listener
	requests atomic.Int32
}

func startCopyingServer(t *testing.T) *copyingServer {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &copyingServer{Listener: listener}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s
}

func (s *copyingServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	reader := bufio.NewReader(conn)
	refused := false
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if s.requests.Add(1) == 1 {
			refused = true
			_, _ = io.WriteString(conn, refusal)
			continue
		}
		if refused {
			_, _ = io.WriteString(conn, refusal)
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nInstance-Signature: s\r\nContent-Length: 2\r\n\r\nok",
			r.Header.Get("Attempt-Id"))
	}
}

// Guards against a caller that is told that its call has not run because of a late copy of the refusal of the call before
// on the same connection. Refusals do not name the request.
func TestLateCopyOfARefusalIsNotTheNextAnswer(t *testing.T) {
	g := NewWithT(t)
	server := startCopyingServer(t)
	h := newGatewayHarness(t, []string{server.Addr().String()})
	first := h.do(h.request(http.MethodPost, "/callout/x", "a1", "body"))
	g.Expect(first.status).To(Equal(http.StatusServiceUnavailable))
	g.Eventually(func() int {
		return h.do(h.request(http.MethodPost, "/callout/x", fmt.Sprint("b", server.requests.Load()), "body")).status
	}, "2s", "100ms").Should(Equal(http.StatusOK))
	g.Expect(server.requests.Load()).To(BeEquivalentTo(2), "the second call ran and was answered")
}
