package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"gooseberrytide.example/gooseberrytide/internal/transport/sockopt"
	"gooseberrytide.example/gooseberrytide/test/standin/endless"
)

const brokenEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"

// breakableResponses are whole responses to the attempt a, by name. Those without a length can be told from whole ones only up
// to the end of their head.
func breakableResponses() map[string]struct {
	text     string
	unframed bool
} {
	const head = "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nInstance-Signature: sig\r\n"
	chunks := fmt.Sprintf("%x\r\n%s\r\n0\r\n", len(brokenEvents), brokenEvents)
	return map[string]struct {
		text     string
		unframed bool
	}{
		"length":             {text: fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(brokenEvents), brokenEvents)},
		"chunks":             {text: head + "Transfer-Encoding: chunked\r\n\r\n" + chunks + "\r\n"},
		"chunks and trailer": {text: head + "Transfer-Encoding: chunked\r\nTrailer: X\r\n\r\n" + chunks + "X: y\r\n\r\n"},
		"after early hints":  {text: "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + head + "Transfer-Encoding: chunked\r\n\r\n" + chunks + "\r\n"},
		"no length":          {text: head + "Connection: close\r\n\r\n", unframed: true},
		"bare line feeds":    {text: strings.ReplaceAll(head+"Connection: close\r\n\r\n", "\r\n", "\n"), unframed: true},
	}
}

// serveBeginning starts a server that sends the beginning of a response and closes or resets the connection.
func serveBeginning(t *testing.T, text string, end ending) string {
	return endless.Serve(t, func(c net.Conn) {
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(c, text)
		if end == reset {
			sockopt.Reset(c)
		}
	})
}

// Guards against a response that its server breaks off, at any byte of its head or its body, and that the client takes for a
// whole one.
func TestResponsesThatBreakOffAnywhere(t *testing.T) {
	for name, response := range breakableResponses() {
		for endName, end := range map[string]ending{"closed": closed, "reset": reset} {
			t.Run(name+", "+endName, func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				for _, path := range []string{"/callout/x", "/lookup/x", "/chat/x", "/digest/x"} {
					for n := range len(response.text) {
						h := newGatewayHarness(t, []string{serveBeginning(t, response.text[:n], end)})
						got := h.do(h.stream(path, "a"))
						broken := got.err != nil || got.status != http.StatusOK
						g.Expect(broken).To(BeTrue(), "%s after %q: %+v", path, response.text[:n], got)
					}
					if end == closed && !response.unframed {
						h := newGatewayHarness(t, []string{serveBeginning(t, response.text, end)})
						whole := h.do(h.stream(path, "a"))
						g.Expect(whole.err).NotTo(HaveOccurred())
						g.Expect(whole.body).To(Equal(brokenEvents))
					}
				}
			})
		}
	}
}
