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
)

// Guards against a refusal that the client loses because the connection is closed, and therefore reset, while the
// client still sends the body, also if it pauses.
func TestRefusalReachesAClientThatStillSends(t *testing.T) {
	for _, connection := range []string{"keep-alive", "close"} {
		for _, pause := range []time.Duration{50 * time.Millisecond, discardBodyTimeout + time.Second} {
			for _, half := range []int{64 << 10, 2 * maxServerDiscard} {
				t.Run(fmt.Sprintf("%s, pause of %v, half of %d bytes", connection, pause, half), func(t *testing.T) {
					t.Parallel()
					g := NewWithT(t)
					h := newHarness(t, 1)
					h.delay.Store(int64(2 * maxSchedulingDelay)) // requests for model engines are refused before their body is read
					conn, err := net.Dial("tcp4", strings.TrimPrefix(h.server.URL, "http://"))
					g.Expect(err).NotTo(HaveOccurred())
					t.Cleanup(func() { _ = conn.Close() })
					part := strings.Repeat("b", half)
					_, err = fmt.Fprintf(conn, "POST /digest/x HTTP/1.1\r\nHost: %s\r\nAttempt-Id: a\r\nAuthorization: Bearer %s\r\n"+
						"Connection: %s\r\nContent-Length: %d\r\n\r\n%s", testHost, testKey, connection, 2*half, part)
					g.Expect(err).NotTo(HaveOccurred())
					time.Sleep(pause) // the refusal is sent meanwhile
					_, err = io.WriteString(conn, part)
					g.Expect(err).NotTo(HaveOccurred())
					resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
					g.Expect(err).NotTo(HaveOccurred())
					g.Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
				})
			}
		}
	}
}
