package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"gooseberrytide.example/gooseberrytide/test/standin/platformengine"
)

// Guards against the load of a request that stays counted after its client has left in the middle of the response: the
// server then gets less work than it could serve, until the router restarts.
func TestLoadOfAbandonedResponsesIsRemoved(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t, 1)
	h.setModes(platformengine.EndlessBody)
	conn, err := net.Dial("tcp4", strings.TrimPrefix(h.server.URL, "http://"))
	g.Expect(err).NotTo(HaveOccurred())
	r := h.request(http.MethodGet, "/lookup/x", "a", "")
	g.Expect(r.Write(conn)).To(Succeed())
	_, err = io.CopyN(io.Discard, bufio.NewReader(conn), maxBufferedBytes+1)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(h.admission.OwnLoads()).NotTo(BeEmpty())
	g.Expect(conn.Close()).To(Succeed())
	g.Eventually(h.admission.OwnLoads, "3s").Should(BeEmpty())
	g.Eventually(func() int { return h.logs.FilterField(zap.String("request", "a")).Len() }).Should(BeNumerically(">", 0))
}
