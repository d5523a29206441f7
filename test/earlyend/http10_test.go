package earlyend

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"

	. "github.com/onsi/gomega"
)

// sendHTTP10 sends a request for a stream that ends late, as a client of HTTP/1.0 whose responses end with their connection.
// It returns a reader of the response's body, after its first line.
func sendHTTP10(t *testing.T, front, attempt string) io.Reader {
	t.Helper()
	g := NewWithT(t)
	conn, err := net.Dial("tcp4", front)
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = conn.Close() })
	fmt.Fprintf(conn, "POST %s HTTP/1.0\r\nHost: %s\r\nAttempt-Id: %s\r\nModel: m\r\nToken-Usage: 100,10\r\n\r\n",
		call{"chat", "whole-late"}.path(), host, attempt)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.ContentLength).To(Equal(int64(-1)))
	line, err := bufio.NewReaderSize(resp.Body, 16).ReadString('\n')
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(line).To(Equal("id: 1\n"))
	return resp.Body
}

// Guards against a part of a response that looks whole to a client of HTTP/1.0, whose responses end with their connection,
// because the router was killed: its system closes connections in order.
func TestKilledRouterBreaksResponsesToHTTP10(t *testing.T) {
	g := NewWithT(t)
	r := startRouter(t)
	whole, err := io.ReadAll(sendHTTP10(t, r.Front, "whole"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(strings.HasSuffix(wholeStream("whole"), string(whole))).To(BeTrue(), string(whole))
	broken := sendHTTP10(t, r.Front, "broken")
	r.Signal(syscall.SIGKILL)
	_, err = io.ReadAll(broken)
	g.Expect(err).To(MatchError(syscall.ECONNRESET))
}
