package clientconn

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"gooseberrytide.example/gooseberrytide/internal/coordination/memory"
	"gooseberrytide.example/gooseberrytide/internal/transport/sockopt"
)

// readHTTP10 sends a request as a client of HTTP/1.0, calls before, and reads the response up to its end.
func readHTTP10(t *testing.T, conn net.Conn, before func()) (int64, error) {
	t.Helper()
	g := NewWithT(t)
	fmt.Fprint(conn, "GET / HTTP/1.0\r\n\r\n")
	before()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.ContentLength).To(Equal(int64(-1)))
	return io.Copy(io.Discard, resp.Body)
}

// Guards against a complete response to HTTP/1.0 of which a part is still kept here when the process ends, or is killed: the
// system closes the connection, and the part must not look whole. Without such an end, it ends in order.
func TestUnsentRestOfAResponseToHTTP10(t *testing.T) {
	const size = 16 << 20
	for _, killed := range []bool{false, true} {
		t.Run(fmt.Sprintf("killed=%v", killed), func(t *testing.T) {
			g := NewWithT(t)
			conns := make(chan net.Conn, 1)
			p := startPort(t, func(w http.ResponseWriter, r *http.Request) {
				c := FromContext(r.Context())
				c.SetIncomplete(true)
				_, _ = io.WriteString(w, strings.Repeat("x", size))
				c.SetIncomplete(false)
				conns <- c
			}, func(o *Options) { o.Account = memory.NewAccount(64 << 20) })
			n, err := readHTTP10(t, p.dial(), func() {
				tcp, _ := sockopt.As[*net.TCPConn](<-conns)
				g.Eventually(p.tracker.Unread, time.Second).Should(Equal(1))
				if killed {
					_ = tcp.Close() // as the system does
				}
			})
			if killed {
				g.Expect(err).To(MatchError(syscall.ECONNRESET), "%d bytes", n)
				return
			}
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(n).To(BeEquivalentTo(size))
		})
	}
}

// Guards against the end of the sending side after an incomplete response: the HTTP server sends it, some time before it
// closes the connection, if it has not read the request's body.
func TestSendingSideOfAnIncompleteResponseDoesNotEnd(t *testing.T) {
	p := startPort(t, func(w http.ResponseWriter, r *http.Request) {
		c := FromContext(r.Context())
		c.SetIncomplete(true)
		_, _ = io.WriteString(w, "part")
		_ = http.NewResponseController(w).Flush()
		_ = c.CloseWrite()
		<-r.Context().Done()
	}, nil)
	conn := p.dial()
	NewWithT(t).Expect(conn.SetReadDeadline(time.Now().Add(200 * time.Millisecond))).To(Succeed())
	_, err := readHTTP10(t, conn, func() {})
	NewWithT(t).Expect(isTimeout(err)).To(BeTrue(), "%v", err)
}
