package gateway

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"gooseberrytide.example/gooseberrytide/test/standin/platformengine"
)

// Guards against a graceful stop that closes the connections of requests whose server has not responded, so that their
// clients learn nothing.
func TestGracefulStopAnswersUnfinishedRequests(t *testing.T) {
	g := NewWithT(t)
	f := newTestFleet(t, 2)
	n := f.startRouter("r-a")
	g.Eventually(n.readinessStatus, "5s").Should(Equal(http.StatusOK))
	for _, e := range f.engines {
		e.SetMode(platformengine.Hang)
	}
	statuses := make(chan int, 2)
	for _, path := range []string{"/callout/x", "/digest/x"} {
		go func() {
			status, _ := n.call(path, "unfinished"+path, "farm-key")
			statuses <- status
		}()
	}
	g.Eventually(n.gateway.Active, "1s").Should(Equal(2))
	n.stop()
	g.Consistently(statuses, "1s").ShouldNot(Receive(), "requests end late in the grace period")
	g.Eventually(n.done, "2s").Should(Receive(BeNil()))
	g.Expect(n.gateway.Active()).To(BeZero(), "requests in progress when the process ends")
	for range 2 {
		g.Eventually(statuses, "100ms").Should(Receive(Equal(http.StatusBadGateway)))
	}
}

// Guards against a stream that is cut at the end of a graceful stop and looks complete, or is not counted.
func TestGracefulStopCountsTheStreamsItCuts(t *testing.T) {
	g := NewWithT(t)
	f := newTestFleet(t, 2)
	n := f.startRouter("r-a")
	g.Eventually(n.readinessStatus, "5s").Should(Equal(http.StatusOK))
	f.engines[0].Events, f.engines[0].Pause = 100, 40*time.Millisecond
	bodies := make(chan string, 1)
	go func() {
		_, body := n.call("/digest/x", "long", "farm-key")
		bodies <- body
	}()
	g.Eventually(n.gateway.Active, "1s").Should(Equal(1))
	n.stop()
	g.Eventually(n.done, "3s").Should(Receive(BeNil()))
	g.Expect(n.gateway.Active()).To(BeZero(), "requests in progress when the process ends")
	g.Eventually(bodies, "100ms").Should(Receive(ContainSubstring("unexpected EOF")))
	g.Expect(n.cutResponses()).To(Equal(map[string]float64{"stopping": 1}))
}

// Guards against a graceful stop that closes the connections of requests which were passed on and have no response.
func TestGracefulStopAnswersUnfinishedPassedRequests(t *testing.T) {
	g := NewWithT(t)
	f := newTestFleet(t, 2)
	small, large := f.startOverloaded()
	f.engines[0].SetMode(platformengine.Hang)
	statuses := make(chan int, 1)
	before := large.gateway.TotalRequests()
	go func() {
		status, _ := small.call("/digest/x", "unfinished", "farm-key")
		statuses <- status
	}()
	g.Eventually(func() int64 { return large.gateway.TotalRequests() - before }, "1s").Should(BeEquivalentTo(1))
	small.stop()
	g.Eventually(small.done, "3s").Should(Receive(BeNil()))
	g.Expect(small.activeRequests()).To(BeZero(), "requests in progress when the process ends")
	g.Eventually(statuses, "100ms").Should(Receive(Equal(http.StatusBadGateway)))
	g.Eventually(f.engines[0].Cancelled, "1s").Should(Equal(1), "the server is told")
}
