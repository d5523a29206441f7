package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"gooseberrytide.example/gooseberrytide/test/standin/endless"
)

// ending is how a raw server ends a response that has neither a length nor chunks.
type ending int

const (
	closed ending = iota
	reset
)

// serveUnframed starts a server whose responses end with their connection. bodies returns the body for the ID of the last
// event that the client has.
func serveUnframed(t *testing.T, end ending, body func(lastEvent string) string) string {
	return endless.Serve(t, func(c net.Conn) {
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nInstance-Signature: sig\r\nConnection: close\r\n\r\n%s",
			r.Header.Get("Attempt-Id"), body(r.Header.Get("Last-Event-Id")))
		if end == reset {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
	})
}

func constant(body string) func(string) string { return func(string) string { return body } }

// Guards against responses without a length or chunks that end early and look whole, and whole ones that are cut. A
// stream ends early if it ends inside an event, or before its first one.
func TestResponsesThatEndWithTheirConnection(t *testing.T) {
	const two = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	for _, c := range []struct {
		name, path, body string
		end              ending
		whole            bool
	}{
		{"whole stream", "/chat/x", two, closed, true},
		{"CRLF", "/chat/x", strings.ReplaceAll(two, "\n", "\r\n"), closed, true},
		{"mixed line ends", "/chat/x", "id: 1\r\ndata: a\n\r\nid: 2\ndata: b\r\n\n", closed, true},
		{"comment at the end", "/chat/x", two + ": bye\n\n", closed, true},
		{"inside an event", "/chat/x", two + "id: 3\nda", closed, false},
		{"after an id line", "/chat/x", two + "id: 3\n", closed, false},
		{"after a comment line", "/chat/x", two + ": by", closed, false},
		{"within the blank line", "/chat/x", strings.ReplaceAll(two, "\n", "\r\n") + "id: 3\r\ndata: c\r\n\r", closed, false},
		{"before the first event", "/chat/x", "", closed, false},
		{"call", "/callout/x", "answer", closed, true},
		{"call that is reset", "/callout/x", "answer", reset, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			h := newGatewayHarness(t, []string{serveUnframed(t, c.end, constant(c.body))})
			r := h.stream(c.path, "a")
			if strings.HasPrefix(c.path, "/callout/") {
				r = h.request(http.MethodPost, c.path, "a", "body")
			}
			response := h.do(r)
			if c.whole {
				g.Expect(response.err).NotTo(HaveOccurred())
				g.Expect(response.status).To(Equal(http.StatusOK))
				g.Expect(response.body).To(Equal(c.body))
				return
			}
			g.Expect(response.err != nil || response.status == http.StatusBadGateway).To(BeTrue(), "%+v", response)
		})
	}
}

// Guards against a resumed stream that looks whole although its second server ended before it had sent anything.
func TestResumedStreamWithoutEventsIsNotWhole(t *testing.T) {
	g := NewWithT(t)
	body := func(lastEvent string) string {
		if lastEvent == "" {
			return "id: 1\ndata: a\n\nid: 2\nda"
		}
		return ""
	}
	h := newGatewayHarness(t, []string{serveUnframed(t, closed, body), serveUnframed(t, closed, body)})
	response := h.do(h.stream("/digest/x", "a"))
	g.Expect(response.err).To(HaveOccurred())
	g.Expect(response.body).To(Equal("id: 1\ndata: a\n\n"))
}

// Guards against a resumed stream without a length that repeats an event or lacks one.
func TestResumedStreamsThatEndWithTheirConnection(t *testing.T) {
	g := NewWithT(t)
	body := func(lastEvent string) string {
		if lastEvent == "" {
			return "id: 1\ndata: a\n\nid: 2\nda"
		}
		return "id: 2\ndata: b\n\nid: 3\ndata: c\n\n"
	}
	h := newGatewayHarness(t, []string{serveUnframed(t, closed, body), serveUnframed(t, closed, body)})
	response := h.do(h.stream("/digest/x", "a"))
	g.Expect(response.err).NotTo(HaveOccurred())
	g.Expect(response.body).To(Equal("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"))
}

// serveAndEnd starts a server that ends, with its port and its connections, after the parts of a response without a length. The
// request is not suspected of having ended the server if there are several parts.
func serveAndEnd(t *testing.T, parts ...string) string {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nInstance-Signature: sig\r\nConnection: close\r\n\r\n",
			r.Header.Get("Attempt-Id"))
		for i, part := range parts {
			if i > 0 {
				time.Sleep(minProof + 100*time.Millisecond)
			}
			_, _ = io.WriteString(c, part)
		}
		_ = listener.Close()
	}()
	return listener.Addr().String()
}

// Guards against a stream that looks complete to the client although its server was killed between two events.
func TestStreamOfAServerThatEndsBetweenTwoEvents(t *testing.T) {
	g := NewWithT(t)
	events := []string{"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"}
	delivered := strings.Join(events, "")
	h := newGatewayHarness(t, []string{serveAndEnd(t, events...)})
	response := h.do(h.stream("/chat/x", "once"))
	g.Expect(response.err).To(HaveOccurred())
	g.Expect(response.body).To(Equal(delivered))

	rest := func(lastEvent string) string {
		return map[string]string{"": delivered, "2": "id: 3\ndata: c\n\n"}[lastEvent]
	}
	for range 4 { // the first server is chosen at random
		h = newGatewayHarness(t, []string{serveAndEnd(t, events...), serveUnframed(t, closed, rest)})
		response = h.do(h.stream("/digest/x", "resumable"))
		g.Expect(response.err).NotTo(HaveOccurred())
		g.Expect(response.body).To(Or(Equal(delivered), Equal(delivered+"id: 3\ndata: c\n\n")))
	}
}

// Guards against half a body without a length that looks whole although its server was killed, with a length that the router
// has added, or after a long part that was passed on.
func TestBodyOfAServerThatEnds(t *testing.T) {
	for _, length := range []int{400, 2 * maxBufferedBytes} {
		g := NewWithT(t)
		h := newGatewayHarness(t, []string{serveAndEnd(t, strings.Repeat("h", length))})
		response := h.do(h.request(http.MethodPost, "/callout/x", "a", "body"))
		g.Expect(response.err != nil || response.status == http.StatusBadGateway).To(BeTrue(), "%d bytes with status %d", len(response.body), response.status)
	}
}

// Guards against a response that looks whole although its server may have ended with it, and against a crash or a fault of the
// server that is recorded for it.
func TestResponseWhoseServerMayHaveEndedIsNotWhole(t *testing.T) {
	const event = "id: 1\ndata: a\n\n"
	for name, c := range map[string]struct{ path, body string }{
		"short body": {"/callout/x", "answer"},
		"long body":  {"/callout/x", strings.Repeat("b", 2*maxBufferedBytes)},
		"stream":     {"/chat/x", event},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			h := newGatewayHarness(t, []string{serveUnframed(t, closed, constant(c.body))})
			request := func(attempt string) *http.Request {
				if c.path == "/chat/x" {
					return h.stream(c.path, attempt)
				}
				return h.request(http.MethodPost, c.path, attempt, "body")
			}
			for i := range 5 {
				h.unproven.Store(true)
				response := h.do(request(fmt.Sprintf("broken-%d", i)))
				g.Expect(response.err != nil || response.status == http.StatusBadGateway).To(BeTrue(), "status %d", response.status)
				g.Expect(h.admission.WarmupReports([]string{"i-a"})).To(BeEmpty())
				h.unproven.Store(false)
				response = h.do(request(fmt.Sprintf("whole-%d", i)))
				g.Expect(response.err).NotTo(HaveOccurred())
				g.Expect(response.body).To(Equal(c.body))
			}
		})
	}
}
