package gateway

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"gooseberrytide.example/gooseberrytide/internal/state/routing"
	"gooseberrytide.example/gooseberrytide/test/standin/platformengine"
)

// setColdRate makes the servers of both services cold for a time after their start.
func (h *harness) setColdRate(perSecond float64) {
	config := testConfig()
	config.Version++
	for i := range config.Services {
		config.Services[i].ColdPerSecond, config.Services[i].ColdDuration = perSecond, 3*time.Second
	}
	h.routing.Store(routing.NewTable(config))
	h.admission.SetServices(config.Services)
}

// Guards against a warm-up that an unsigned response, an invalid value or a server of another service sets, and against one
// that a refusal ends.
func TestUncertainResponsesDoNotChangeAWarmup(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t, 1)
	e := h.engines[0]
	call := func(attempt string) { h.do(h.stream("/digest/x", attempt)) }
	e.SetCold(time.Minute)
	call("without coldPerS")
	g.Expect(h.admission.Warmups()).To(BeEmpty())
	h.setColdRate(50)
	e.SetMode(platformengine.Unsigned)
	call("unsigned")
	g.Expect(h.admission.Warmups()).To(BeEmpty())
	e.SetMode(platformengine.Serve)
	time.Sleep(500 * time.Millisecond) // the ejection for the broken attempts
	call("signed")
	g.Expect(h.admission.Warmups()).To(HaveLen(1))
	e.SetCold(0)
	e.SetMode(platformengine.Full)
	g.Eventually(func() int {
		call(fmt.Sprint("full", time.Now().UnixNano()))
		return e.Arrivals()
	}, "3s").Should(BeNumerically(">=", 4))
	g.Expect(h.admission.Warmups()).To(HaveLen(1), "a refusal does not show that the server is warm")
	e.SetMode(platformengine.Serve)
	g.Eventually(func() int {
		call(fmt.Sprint("warm", time.Now().UnixNano()))
		return len(h.admission.Warmups())
	}, "3s").Should(BeZero())
}

// Guards against the whole load for a server that is back after its connections were refused.
func TestServerThatRefusedConnectionsIsColdWhenItIsBack(t *testing.T) {
	g := NewWithT(t)
	ended := httptest.NewServer(http.NotFoundHandler())
	address := ended.Listener.Addr().String()
	ended.Close()
	h := newGatewayHarness(t, []string{address})
	resp := h.do(h.request(http.MethodPost, "/lookup/x", "a", "x"))
	g.Expect(resp.status).To(Equal(http.StatusServiceUnavailable))
	g.Expect(h.admission.Warmups()).To(BeEmpty(), "the service has no coldPerS")
	h.setColdRate(12)
	g.Eventually(func() int {
		h.do(h.request(http.MethodPost, "/lookup/x", fmt.Sprint("b", time.Now().UnixNano()), "x"))
		return len(h.admission.Warmups())
	}, "5s").Should(Equal(1))
	g.Expect(h.admission.Warmups()[0].Source.String()).To(Equal("return"))
}
