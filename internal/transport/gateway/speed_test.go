package gateway

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"gooseberrytide.example/gooseberrytide/internal/coordination/admission"
	"gooseberrytide.example/gooseberrytide/test/standin/platformengine"
)

// observeLimits makes the limits of engines follow from their observed speeds.
func observeLimits(o *admission.Options) { o.ObservedLimits = true }

// speedOf returns the observed speed of a service, or a zero value if it is not scheduled by it.
func (h *harness) speedOf(service string) admission.SpeedStatus {
	for _, s := range h.admission.Speeds() {
		if s.Service == service {
			return s
		}
	}
	return admission.SpeedStatus{}
}

// Guards against announcements that do not reach the admission controller, and against paces that are not learned from the
// events of streams.
func TestAnnouncedPacesAreUsed(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t, 2, observeLimits)
	for _, e := range h.engines {
		e.SetLoad("1,0,8,150")
	}
	for i := range 20 {
		h.do(h.stream("/digest/x", fmt.Sprint("a", i)))
	}
	speed := h.speedOf("pool")
	g.Expect(speed.Pace).To(BeNumerically("~", 1.5, 0.01))
	g.Expect(speed.Pause).To(BeNumerically(">", 0))
	g.Expect(speed.MaxRunning).To(BeNumerically(">", 0))
	g.Expect(h.logs.FilterMessage("backend servers announce their pace").Len()).To(Equal(1))
}

// Guards against a schedule by announcements that do not count: those of responses without a signature, invalid ones, and
// those without a pace.
func TestOtherAnnouncementsKeepTheConstants(t *testing.T) {
	for name, mode := range map[string]platformengine.Mode{
		"1,0,8,150": platformengine.Unsigned, "1,0,8,0": platformengine.Serve, "1,0,8": platformengine.Serve,
	} {
		g := NewWithT(t)
		h := newHarness(t, 2)
		h.setModes(mode)
		for _, e := range h.engines {
			e.SetLoad(name)
		}
		for i := range 5 {
			r := h.stream("/digest/x", fmt.Sprint("a", i))
			r.Header.Set("Deadline-Ms", "300")
			h.do(r)
		}
		g.Expect(h.admission.Speeds()).To(BeEmpty(), name)
	}
}

// Guards against a request that crashes an engine because it exceeds its memory. It is refused at once, and not sent.
func TestRequestAboveTheMemoryOfAnEngineIsRefused(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t, 1, observeLimits)
	h.engines[0].SetLoad("0,0,8,100")
	g.Expect(h.do(h.stream("/digest/x", "first")).status).To(Equal(http.StatusOK))
	arrivals, start := h.engines[0].Arrivals(), time.Now()
	r := h.stream("/digest/x", "large")
	r.Header.Set("Token-Usage", "100001,20")
	resp := h.do(r)
	g.Expect(resp.status).To(Equal(http.StatusServiceUnavailable))
	g.Expect(resp.header.Get("Retry-After")).NotTo(BeEmpty())
	g.Expect(time.Since(start)).To(BeNumerically("<", time.Second))
	g.Expect(h.engines[0].Arrivals()).To(Equal(arrivals))
}
