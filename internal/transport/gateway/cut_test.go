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

	"gooseberrytide.example/gooseberrytide/test/standin/platformengine"
)

// cutResponses returns the responses that the gateway has cut, by cause.
func (h *harness) cutResponses() map[string]float64 {
	h.t.Helper()
	families, err := h.registry.Gather()
	if err != nil {
		h.t.Fatal(err)
	}
	cut := make(map[string]float64)
	for _, family := range families {
		if family.GetName() != "gooseberrytide_cut_responses_total" {
			continue
		}
		for _, m := range family.GetMetric() {
			cut[m.GetLabel()[0].GetValue()] = m.GetCounter().GetValue()
		}
	}
	return cut
}

// Guards against clients that leave in the middle of a long response and are counted as responses that were cut.
func TestClientsThatLeaveAreNotCounted(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t, 1)
	h.setModes(platformengine.EndlessBody)
	conn, err := net.Dial("tcp4", strings.TrimPrefix(h.server.URL, "http://"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(h.request(http.MethodGet, "/lookup/x", "a", "").Write(conn)).To(Succeed())
	_, err = io.CopyN(io.Discard, bufio.NewReader(conn), maxBufferedBytes+1)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(conn.Close()).To(Succeed())
	g.Eventually(h.gateway.Active, "1s").Should(BeZero())
	g.Expect(h.cutResponses()).To(BeEmpty())
	g.Expect(h.logs.FilterMessage("client-left").Len()).To(Equal(1))
}

// Guards against a long response that passes the deadline and is counted as a fault of the server.
func TestLongResponseAtTheDeadlineIsCounted(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t, 1)
	h.setModes(platformengine.EndlessBody)
	r := h.request(http.MethodGet, "/lookup/x", "a", "")
	r.Header.Set("Deadline-Ms", "500")
	g.Expect(h.do(r).err).To(HaveOccurred())
	g.Eventually(h.gateway.Active, "1s").Should(BeZero())
	g.Expect(h.cutResponses()).To(Equal(map[string]float64{"deadline": 1}))
}

// Guards against a connection that is closed because its client does not read, and is not counted.
func TestClientThatDoesNotReadIsCounted(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t, 1)
	h.engines[0].Events = 1_000_000
	conn, err := net.Dial("tcp4", strings.TrimPrefix(h.server.URL, "http://"))
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = conn.Close() })
	r := h.stream("/digest/x", "a")
	r.Header.Set("Deadline-Ms", "20000")
	g.Expect(r.Write(conn)).To(Succeed())
	g.Eventually(h.cutResponses, 4*writeTimeout).Should(Equal(map[string]float64{"client-blocked": 1}))
}

// Guards against a panic that closes a connection and is not counted.
func TestPanicIsCounted(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t, 1)
	h.gateway.opts.SchedulingDelay = func() time.Duration { panic("test") }
	g.Expect(h.do(h.request(http.MethodPost, "/callout/x", "a", "")).err).To(HaveOccurred())
	g.Eventually(h.cutResponses).Should(Equal(map[string]float64{"panic": 1}))
}
