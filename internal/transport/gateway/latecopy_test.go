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

	"gooseberrytide.example/gooseberrytide/test/standin/endless"
)

// copyingServer turns its first request away without naming it. On a connection that is used again it sends the same
// response once more before it answers the next request.
type copyingServer struct {
	requests atomic.Int32
}

func (s *copyingServer) serve(conn net.Conn) {
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
	server := &copyingServer{}
	h := newGatewayHarness(t, []string{endless.Serve(t, server.serve)})
	first := h.do(h.request(http.MethodPost, "/callout/x", "a1", "body"))
	g.Expect(first.status).To(Equal(http.StatusServiceUnavailable))
	g.Eventually(func() int {
		return h.do(h.request(http.MethodPost, "/callout/x", fmt.Sprint("b", server.requests.Load()), "body")).status
	}, "2s", "100ms").Should(Equal(http.StatusOK))
	g.Expect(server.requests.Load()).To(BeEquivalentTo(2), "the second call ran and was answered")
}

// strayServer answers each request after the first one on a connection with a stray response and then with its own. It runs
// every request.
type strayServer struct {
	stray string
	runs  atomic.Int32
}

func (s *strayServer) serve(conn net.Conn) {
	reader := bufio.NewReader(conn)
	for n := 0; ; n++ {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		s.runs.Add(1)
		if n > 0 {
			_, _ = io.WriteString(conn, s.stray)
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nInstance-Signature: s\r\nContent-Length: 2\r\n\r\nok",
			r.Header.Get("Attempt-Id"))
	}
}

// Guards against a caller that is told that its call has not run, or a call that runs at a second server, because a faulty
// server has written a refusal of another call once more on a connection that was kept.
func TestRefusalOfAnotherCallOnAKeptConnection(t *testing.T) {
	for _, head := range []string{"503 Service Unavailable", "429 Too Many Requests", "421 Misdirected Request", "400 Bad Request"} {
		for _, name := range []string{"", "Attempt-Id: another\r\n"} {
			t.Run(fmt.Sprintf("%s %q", head, name), func(t *testing.T) {
				g := NewWithT(t)
				stray := "HTTP/1.1 " + head + "\r\n" + name + "Not-Executed: 1\r\nRetry-After: 0.05\r\nContent-Length: 0\r\n\r\n"
				first, second := &strayServer{stray: stray}, &strayServer{stray: stray}
				h := newGatewayHarness(t, []string{endless.Serve(t, first.serve), endless.Serve(t, second.serve)})
				runs := func() int32 { return first.runs.Load() + second.runs.Load() }
				for i := range 8 {
					before := runs()
					response := h.do(h.request(http.MethodPost, "/callout/x", fmt.Sprint("a", i), "body"))
					if response.status == http.StatusServiceUnavailable {
						g.Expect(runs()).To(Equal(before), "both servers are ejected, and it has not run")
						continue
					}
					g.Expect(runs()).To(Equal(before+1), "it runs once")
					want := []int{http.StatusOK}
					if name == "" {
						want = append(want, http.StatusBadGateway)
					}
					g.Expect(want).To(ContainElement(response.status))
				}
			})
		}
	}
}
