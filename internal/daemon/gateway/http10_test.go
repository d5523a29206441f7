package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"gooseberrytide.example/gooseberrytide/internal/transport/clientconn"
	"gooseberrytide.example/gooseberrytide/test/standin/platformengine"
)

// Guards against a stream that is broken off and looks complete to a client of HTTP/1.0, whose responses end with their
// connection.
func TestBrokenStreamToHTTP10IsReset(t *testing.T) {
	g := NewWithT(t)
	f := newTestFleet(t, 2)
	n := f.startRouter("r-a")
	g.Eventually(n.readinessStatus, "5s").Should(Equal(http.StatusOK))
	f.engines[0].SetMode(platformengine.Truncate)
	conn, err := net.Dial("tcp4", n.settings.CallerListen)
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = conn.Close() })
	fmt.Fprint(conn, "POST /digest/x HTTP/1.0\r\nHost: shed.example\r\nAttempt-Id: old\r\nAuthorization: Bearer farm-key\r\n"+
		"Model: m\r\nToken-Usage: 100,10\r\n\r\n")
	text, err := io.ReadAll(conn)
	g.Expect(string(text)).To(ContainSubstring("id: 1\n"))
	g.Expect(err).To(MatchError(syscall.ECONNRESET))
}

// Guards against a part of the metrics, or of another response of the ports that are not the callers', that looks complete to
// a client of HTTP/1.0 because the handler panicked or the router was killed.
func TestBrokenResponseOfInternalPortToHTTP10IsReset(t *testing.T) {
	f := newTestFleet(t, 1)
	n, err := New(f.readSettings(f.writeSettings("r-a", 1)), zap.NewNop())
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	for _, name := range []string{metricsListener, relayListener, "directory", "readiness"} {
		for _, killed := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, killed=%v", name, killed), func(t *testing.T) {
				g := NewWithT(t)
				listener, err := net.Listen("tcp4", "127.0.0.1:0")
				g.Expect(err).NotTo(HaveOccurred())
				s := n.newServer(name, n.trackerOf(name).Listener(listener), http.HandlerFunc(
					func(w http.ResponseWriter, r *http.Request) {
						_, _ = io.WriteString(w, "a 1\n")
						_ = http.NewResponseController(w).Flush()
						if killed { // the system closes the sockets of a process that is killed
							_ = clientconn.FromContext(r.Context()).Conn.Close()
						}
						panic(http.ErrAbortHandler)
					}))
				go func() { _ = s.run() }()
				t.Cleanup(func() { _ = s.http.Close() })
				conn, err := net.Dial("tcp4", listener.Addr().String())
				g.Expect(err).NotTo(HaveOccurred())
				t.Cleanup(func() { _ = conn.Close() })
				fmt.Fprint(conn, "GET / HTTP/1.0\r\n\r\n")
				text, err := io.ReadAll(conn)
				g.Expect(err).To(MatchError(syscall.ECONNRESET), "%q", text)
			})
		}
	}
}
