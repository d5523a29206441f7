package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"

	. "github.com/onsi/gomega"

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
