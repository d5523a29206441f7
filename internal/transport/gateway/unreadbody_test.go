package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a refusal that the client loses because the connection is closed, and therefore reset, while the
// client still sends the body.
func TestRefusalReachesAClientThatStillSends(t *testing.T) {
	for _, connection := range []string{"keep-alive", "close"} {
		t.Run(connection, func(t *testing.T) {
			g := NewWithT(t)
			h := newHarness(t, 1)
			h.delay.Store(int64(2 * maxSchedulingDelay)) // requests for model engines are refused before their body is read
			conn, err := net.Dial("tcp4", strings.TrimPrefix(h.server.URL, "http://"))
			g.Expect(err).NotTo(HaveOccurred())
			t.Cleanup(func() { _ = conn.Close() })
			const half = 64 << 10
			_, err = io.WriteString(conn, "POST /digest/x HTTP/1.1\r\nHost: "+testHost+"\r\nAttempt-Id: a\r\nAuthorization: Bearer "+
				testKey+"\r\nConnection: "+connection+"\r\nContent-Length: 131072\r\n\r\n"+strings.Repeat("b", half))
			g.Expect(err).NotTo(HaveOccurred())
			time.Sleep(50 * time.Millisecond) // the refusal is sent meanwhile
			_, err = io.WriteString(conn, strings.Repeat("b", half))
			g.Expect(err).NotTo(HaveOccurred())
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
		})
	}
}
