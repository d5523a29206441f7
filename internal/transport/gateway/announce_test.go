package gateway

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"gooseberrytide.example/gooseberrytide/test/standin/platformengine"
)

// Guards against requests to a server after one of its responses has said that it leaves.
func TestLeavingServerIsLeftAlone(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t, 2)
	h.engines[0].SetLeaving(true)
	for i := range 20 {
		h.do(h.request(http.MethodPost, "/callout/x", fmt.Sprint("a", i), ""))
	}
	g.Expect(h.engines[0].Arrivals()).To(Equal(1))
	g.Expect(h.counter("gooseberrytide_leaving_servers_total")).To(Equal(1.0))
	g.Expect(*h.leaving.Load()).To(Equal("i-a"))
	h.engines[0].SetLeaving(false)
	for i := range 10 {
		h.do(h.request(http.MethodPost, "/callout/x", fmt.Sprint("b", i), ""))
	}
	g.Expect(h.engines[0].Arrivals()).To(Equal(1), "a later response does not take it back")
}

// Guards against a healthy server that is taken out of use by a response that is not its own.
func TestUncertainResponsesDoNotDrainAServer(t *testing.T) {
	for _, mode := range []platformengine.Mode{platformengine.Unsigned, platformengine.Foreign} {
		g := NewWithT(t)
		h := newHarness(t, 1)
		h.setModes(mode)
		h.engines[0].SetLeaving(true)
		r := h.request(http.MethodPost, "/callout/x", "a", "")
		r.Header.Set("Deadline-Ms", "300")
		h.do(r)
		g.Expect(h.admission.Draining("i-a")).To(BeFalse(), "mode %d", mode)
	}
}

// Guards against requests to a server within the time for which it asked for none, and against a refusal that lets the
// client return within that time.
func TestPauseOfAServerIsKept(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t, 1)
	h.engines[0].SetRetryAfter("1.5")
	start := time.Now()
	for i := range 20 {
		resp := h.do(h.request(http.MethodPost, "/callout/x", fmt.Sprint("a", i), ""))
		g.Expect(resp.status).To(Equal(http.StatusServiceUnavailable))
		seconds, err := strconv.ParseFloat(resp.header.Get("Retry-After"), 64)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(seconds).To(BeNumerically(">=", 1.4-time.Since(start).Seconds()))
	}
	g.Expect(time.Since(start)).To(BeNumerically("<", time.Second), "refused at once")
	g.Expect(h.engines[0].Arrivals()).To(Equal(1))
	h.engines[0].SetRetryAfter("")
	time.Sleep(time.Until(start.Add(1600 * time.Millisecond)))
	g.Expect(h.do(h.request(http.MethodPost, "/callout/x", "later", "")).status).To(Equal(http.StatusOK))
}

// Guards against a client that is told to retry within the pause of the server that refused its request. The request is
// not sent to another server because the retry budget is used up.
func TestRetryTimeIsTheEndOfThePauseWithoutRetryBudget(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t, 3)
	h.gateway.opts.RetryBudget.SetBounds(0, 0)
	for _, e := range h.engines {
		e.SetRetryAfter("1.5")
	}
	resp := h.do(h.request(http.MethodPost, "/callout/x", "a", ""))
	g.Expect(resp.status).To(Equal(http.StatusServiceUnavailable))
	seconds, err := strconv.ParseFloat(resp.header.Get("Retry-After"), 64)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(seconds).To(BeNumerically(">=", 1.4))
	g.Expect(seconds).To(BeNumerically("<", 2.5))
	arrivals := 0
	for _, e := range h.engines {
		arrivals += e.Arrivals()
	}
	g.Expect(arrivals).To(Equal(1))
}

// Guards against a server that is out of use for good, or gets requests at once, because it asked for a senseless pause.
func TestSenselessPauses(t *testing.T) {
	for text, most := range map[string]time.Duration{
		"-1": time.Second, "soon": time.Second, "NaN": time.Second, "0": time.Second, "1e300": maxServerPause * 3 / 2,
		"Wed, 21 Oct 2026 07:28:00 GMT": time.Second,
	} {
		g := NewWithT(t)
		h := newHarness(t, 1)
		h.engines[0].SetRetryAfter(text)
		resp := h.do(h.request(http.MethodPost, "/callout/x", "a", ""))
		g.Expect(resp.status).To(Equal(http.StatusServiceUnavailable))
		seconds, err := strconv.ParseFloat(resp.header.Get("Retry-After"), 64)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(seconds).To(BeNumerically("<=", most.Seconds()), text)
		g.Expect(h.logs.FilterMessage("backend server asks for a pause that is not valid").Len()).To(Equal(1), text)
	}
}
