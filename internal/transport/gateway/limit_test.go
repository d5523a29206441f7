package gateway

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"gooseberrytide.example/gooseberrytide/test/standin/platformengine"
)

// limitedSeconds is how long requests are sent to engines with a limit.
const limitedSeconds = 4

// limitEngines makes all engines name a limit of 2 requests a second, and lets the gateway hear of it.
func (h *harness) limitEngines(g Gomega, path string) {
	for _, e := range h.engines {
		e.SetLimit("2")
	}
	g.Eventually(func() int {
		h.do(h.stream(path, fmt.Sprint("warm-up", time.Now().UnixNano())))
		return len(h.admission.Limits())
	}, "5s", "20ms").Should(Equal(len(h.engines)))
}

// Guards against sends that need no permit: retries, substitutes of quiet servers, resumed streams, and requests that the
// server turns away.
func TestEverySendToALimitedServerNeedsAPermit(t *testing.T) {
	for name, mode := range map[string]platformengine.Mode{
		"served": platformengine.Serve, "retried": platformengine.Reset, "failed": platformengine.Fail,
		"resumed": platformengine.Truncate, "turned away": platformengine.Full, "quiet": platformengine.Silent,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			h := newHarness(t, 3)
			go h.admission.Run(t.Context(), 5*time.Millisecond, 100*time.Millisecond)
			h.limitEngines(g, "/digest/x")
			for _, e := range h.engines {
				e.Silence = silence
				e.ResetArrivals()
			}
			h.setModes(mode)
			var calls sync.WaitGroup
			for i := range 40 * limitedSeconds {
				calls.Go(func() { h.do(h.stream("/digest/x", fmt.Sprint(name, i))) })
				time.Sleep(time.Second / 40)
			}
			calls.Wait()
			for _, e := range h.engines {
				// The last requests may be sent until their deadline; the tolerance and one permit come on top.
				g.Expect(e.Arrivals()).To(BeNumerically("<=", 2*(limitedSeconds+3)+1), e.ID)
			}
			granted := h.admission.PermitCounts().Granted
			g.Expect(granted).To(BeNumerically(">", 2*limitedSeconds))
		})
	}
}

// Guards against requests that wait at limited servers until their deadline, and against refusals whose clients all
// return at the same time.
func TestExcessOverLimitsIsRefusedEarly(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t, 2)
	go h.admission.Run(t.Context(), 5*time.Millisecond, 100*time.Millisecond)
	h.limitEngines(g, "/digest/x")
	var mu sync.Mutex
	var waits []time.Duration
	returns := make(map[string]bool)
	var calls sync.WaitGroup
	for i := range 80 {
		calls.Go(func() {
			start := time.Now()
			resp := h.do(h.stream("/digest/x", fmt.Sprint("excess", i)))
			mu.Lock()
			defer mu.Unlock()
			if resp.status == http.StatusServiceUnavailable {
				waits = append(waits, time.Since(start))
				returns[resp.header.Get("Retry-After")] = true
			}
		})
		time.Sleep(20 * time.Millisecond)
	}
	calls.Wait()
	g.Expect(len(waits)).To(BeNumerically(">", 40))
	g.Expect(slices.Max(waits)).To(BeNumerically("<", 600*time.Millisecond), "the objective is 0.5 s, the deadline 2.5 s")
	g.Expect(len(returns)).To(BeNumerically(">", len(waits)/2))
	g.Expect(h.logs.FilterMessage("refused").Len()).To(Equal(len(waits)))
}

// Guards against a limit that a response of another server, an unsigned one or an invalid value sets, and against one that
// such a response ends.
func TestUncertainResponsesDoNotChangeALimit(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t, 1)
	e := h.engines[0]
	call := func(attempt string) { h.do(h.stream("/digest/x", attempt)) }
	e.SetMode(platformengine.Unsigned)
	e.SetLimit("1")
	call("a")
	g.Expect(h.admission.Limits()).To(BeEmpty(), "unsigned")
	e.SetMode(platformengine.Serve)
	for i, text := range []string{"-1", "NaN", "five", "+Inf"} {
		e.SetLimit(text)
		call(fmt.Sprint("b", i))
		g.Expect(h.admission.Limits()).To(BeEmpty(), text)
	}
	g.Expect(h.counter("gooseberrytide_invalid_limits_total")).To(Equal(4.0))
	g.Expect(h.logs.FilterMessage("backend server names a limit that is not valid").Len()).To(Equal(1), "once a minute")
	e.SetLimit("50")
	g.Eventually(func() int {
		call(fmt.Sprint("c", time.Now().UnixNano()))
		return len(h.admission.Limits())
	}, "5s").Should(Equal(1))
	e.SetLimit("many")
	call("d")
	g.Expect(h.admission.Limits()).To(HaveLen(1), "an invalid value ends nothing")
	e.SetLimit("")
	g.Eventually(func() int {
		call(fmt.Sprint("e", time.Now().UnixNano()))
		return len(h.admission.Limits())
	}, "5s").Should(BeZero())
	g.Expect(h.logs.FilterMessage("backend server limit started").Len()).To(Equal(1))
	g.Expect(h.logs.FilterMessage("backend server limit ended").Len()).To(Equal(1))
}
