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

	"gooseberrytide.example/gooseberrytide/test/standin/endless"
)

// serveBroken starts a server that breaks a stream off in its second event, and answers a request that continues a stream
// with the given response after its Attempt-Id line.
func serveBroken(t *testing.T, resumed string) string {
	return endless.Serve(t, func(c net.Conn) {
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		id := "Attempt-Id: " + r.Header.Get("Attempt-Id") + "\r\n"
		if r.Header.Get("Last-Event-Id") == "" {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+id+"Instance-Signature: sig\r\nContent-Type: text/event-stream\r\n\r\n"+
				"id: 1\ndata: a\n\nid: 2\nda")
			return
		}
		status, rest, _ := strings.Cut(resumed, "\r\n")
		_, _ = io.WriteString(c, "HTTP/1.1 "+status+"\r\n"+id+rest)
	})
}

// Guards against the text or the head of an error in the middle of a stream, and against a stream that looks complete, when
// the server that is to continue a stream answers with an error. An empty response with status 200 and a length is none: it
// says that the stream had ended.
func TestErrorOfTheServerThatContinuesAStream(t *testing.T) {
	const signed = "Instance-Signature: sig\r\n"
	for _, resumed := range []string{
		"500 Internal Server Error\r\n" + signed + "Content-Length: 5\r\n\r\noops\n",
		"500 Internal Server Error\r\n" + signed + "\r\nid: 2\ndata: oops\n\n",
		"404 Not Found\r\n" + signed + "Content-Length: 5\r\n\r\noops\n",
		"400 Bad Request\r\n" + signed + "Content-Length: 0\r\n\r\n",
		"409 Conflict\r\n" + signed + "Transfer-Encoding: chunked\r\n\r\n5\r\noops\n\r\n0\r\n\r\n",
		"503 Service Unavailable\r\n" + signed + "Content-Length: 5\r\n\r\noops\n",
		"503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
		"421 Misdirected Request\r\nContent-Length: 0\r\n\r\n",
		"204 No Content\r\n" + signed + "\r\n",
		"206 Partial Content\r\n" + signed + "Content-Length: 18\r\n\r\nid: 2\ndata: oops\n\n",
		"302 Found\r\n" + signed + "Location: /\r\nContent-Length: 0\r\n\r\n",
		"200 OK\r\nContent-Length: 18\r\n\r\nid: 2\ndata: oops\n\n",
		"200 OK\r\n" + signed + "Content-Length: 5\r\n\r\noops\n",
		"200 OK\r\n" + signed + "Content-Length: 18\r\n\r\nid: 1\ndata: oops\n\n",
		"200 OK\r\n" + signed + "Content-Length: 18\r\n\r\nid: 4\ndata: oops\n\n",
		"200 OK\r\n" + signed + "Content-Length: 6\r\n\r\noops\n\n",
	} {
		t.Run(fmt.Sprintf("%.60q", resumed), func(t *testing.T) {
			g := NewWithT(t)
			h := newGatewayHarness(t, []string{serveBroken(t, resumed), serveBroken(t, resumed)})
			response := h.do(h.stream("/digest/x", "a"))
			g.Expect(response.status).To(Equal(http.StatusOK))
			g.Expect(response.err).To(HaveOccurred(), "the stream must not look complete")
			g.Expect(response.body).To(Equal("id: 1\ndata: a\n\n"))
		})
	}
}
