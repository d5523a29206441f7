package offload

import (
	"io"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"gooseberrytide.example/gooseberrytide/internal/transport/sockopt"
)

// Guards against clients without a response because a pause closes the port while their connections, with whole
// requests, wait to be accepted.
func TestPauseDoesNotResetWaitingConnections(t *testing.T) {
	g := NewWithT(t)
	address := "127.0.0.1:0"
	p, err := newPortListener(func() (*sockopt.PlainListener, error) { return sockopt.ListenPlain(t.Context(), address) })
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = p.Close() }()
	address = p.Addr().String()
	conns := make([]net.Conn, 5)
	for n := range conns {
		conns[n] = dial(t, address)
		_, err := io.WriteString(conns[n], requestText("x"))
		g.Expect(err).NotTo(HaveOccurred())
	}
	time.Sleep(20 * time.Millisecond) // until the requests have arrived
	g.Expect(p.Pause(100 * time.Millisecond)).To(BeTrue())
	for range conns {
		go func() {
			if c, err := p.Accept(); err == nil {
				_, _ = io.WriteString(c, "x")
			}
		}()
	}
	for _, c := range conns {
		g.Expect(c.SetReadDeadline(time.Now().Add(time.Second))).To(Succeed())
		_, err := c.Read(make([]byte, 1))
		g.Expect(err).NotTo(HaveOccurred())
	}
}
