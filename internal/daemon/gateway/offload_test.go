package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"gooseberrytide.example/gooseberrytide/internal/coordination/balance"
	"gooseberrytide.example/gooseberrytide/internal/coordination/gossip"
)

// smallCores are the CPU cores of a router that a few requests per second overload.
const smallCores = 0.02

// overload sends requests for model engines to a router for which its CPU cores do not suffice.
func (n *testNode) overload(prefix string, requests int) {
	for i := range requests {
		n.call("/digest/x", fmt.Sprintf("%s-%d", prefix, i), "farm-key")
	}
}

// noDelay is a delayMeter of a process whose goroutines never wait for a processor. With it, refusals do not depend on
// the other work of the machine that runs the tests.
type noDelay struct{}

// Sample implements delayMeter.
func (noDelay) Sample() {}

// Load implements delayMeter.
func (noDelay) Load() time.Duration { return 0 }

// startOverloaded starts a small router that has more requests than it can handle, and a large one.
func (f *testFleet) startOverloaded() (small, large *testNode) {
	f.t.Helper()
	g := NewWithT(f.t)
	small, large = f.startRouterWithCores("r-small", smallCores), f.startRouter("r-large")
	for _, n := range []*testNode{small, large} {
		g.Eventually(n.readinessStatus, "5s").Should(Equal(http.StatusOK))
	}
	g.Eventually(small.directoryAnswer, "3s").Should(ContainSubstring(large.settings.CallerListen))
	small.overload("first", 40)
	g.Eventually(small.offload.Active, "2s").Should(BeTrue())
	g.Eventually(func() []balance.Candidate { return small.offload.targets.Load().Near }, "2s").Should(HaveLen(1))
	// A request on a connection that was accepted earlier is not passed on.
	http.DefaultClient.CloseIdleConnections()
	return small, large
}

// Guards against a router whose clients keep to it, and that spends its processor time on requests which idle routers
// could serve.
func TestOverloadedRouterPassesRequestsOn(t *testing.T) {
	g := NewWithT(t)
	f := newTestFleet(t, 2)
	small, large := f.startOverloaded()
	before := large.gateway.TotalRequests()
	for i := range 20 {
		status, body := small.call("/digest/x", fmt.Sprintf("passed-%d", i), "farm-key")
		g.Expect(status).To(Equal(http.StatusOK), body)
		g.Expect(strings.Count(body, "id: ")).To(Equal(5))
	}
	g.Expect(large.gateway.TotalRequests() - before).To(BeNumerically(">=", 18))
	status, body := small.call("/callout/x", "plain", "farm-key")
	g.Expect(status).To(Equal(http.StatusOK), body)
	g.Expect(large.gateway.TotalRequests()-before).To(BeNumerically("<=", 20), "plain services are served here")
	for i := range 20 {
		g.Expect(f.engines[0].Runs(fmt.Sprintf("passed-%d", i))).To(Equal(1))
	}
}

// Guards against a graceful stop that cuts off responses of requests that were passed on.
func TestGracefulStopCompletesPassedRequests(t *testing.T) {
	g := NewWithT(t)
	f := newTestFleet(t, 2)
	small, large := f.startOverloaded()
	f.engines[0].Events, f.engines[0].Pause = 20, 40*time.Millisecond
	bodies := make(chan string, 1)
	before := large.gateway.TotalRequests()
	go func() {
		_, body := small.call("/digest/x", "long", "farm-key")
		bodies <- body
	}()
	g.Eventually(func() int64 { return large.gateway.TotalRequests() - before }, "1s").Should(BeEquivalentTo(1))
	small.stop()
	g.Eventually(bodies, "3s").Should(Receive(WithTransform(func(body string) int {
		return strings.Count(body, "id: ")
	}, Equal(20))))
	g.Eventually(small.done, "5s").Should(Receive(BeNil()))
}

// stopTimeout is the grace period of the test's routers, with time for a busy machine.
const stopTimeout = 10 * time.Second

// Guards against a request that is passed on to a router that drains or has stopped, and is lost.
func TestStoppedRouterTakesNoPassedRequests(t *testing.T) {
	g := NewWithT(t)
	f := newTestFleet(t, 2)
	small, large := f.startOverloaded()
	large.stop()
	stopped := false
	deadline := time.Now().Add(stopTimeout)
	for i := 0; !stopped; i++ {
		status, body := small.call("/digest/x", fmt.Sprintf("stop-%d", i), "farm-key")
		g.Expect(status).To(Or(Equal(http.StatusOK), Equal(http.StatusServiceUnavailable)), body)
		g.Expect(time.Now()).To(BeTemporally("<", deadline), "the large router still runs")
		select {
		case err := <-large.done:
			g.Expect(err).NotTo(HaveOccurred())
			stopped = true
		default:
		}
	}
	g.Eventually(func() int {
		status, _ := small.call("/digest/x", "alone", "farm-key")
		return status
	}, "3s").Should(Equal(http.StatusOK), "the small router serves while no other does")
}

// Guards against clients that see a change of the configuration at a router and are then served by an older one.
func TestRouterWithAnOlderConfigurationIsNoTarget(t *testing.T) {
	g := NewWithT(t)
	f := newTestFleet(t, 2)
	small, large := f.startOverloaded()
	g.Eventually(small.offload.candidates, "2s").Should(HaveLen(1))
	newer := *small.routing.Load()
	newer.Version++
	small.routing.Store(&newer)
	g.Expect(small.offload.candidates()).To(BeEmpty())
	large.routing.Store(&newer)
	g.Eventually(small.offload.candidates, "2s").Should(HaveLen(1))
	report := gossip.Report{Router: "r-large", Incarnation: large.incarnation, Seq: 1 << 62, ConfigVersion: newer.Version}
	small.handleReport(&report)
	g.Expect(small.offload.candidates()).To(BeEmpty(), "a router that is not ready")
}

// Guards against refusals that begin or end all at once.
func TestRefusalsGrowWithTheWait(t *testing.T) {
	g := NewWithT(t)
	g.Expect(refusalProbability(0)).To(BeNumerically("<=", 0))
	g.Expect(refusalProbability((minRefusalDelay + maxRefusalDelay) / 2)).To(BeNumerically("~", 0.5, 0.01))
	g.Expect(refusalProbability(2 * maxRefusalDelay)).To(BeNumerically(">=", 1))
}

// Guards against a router that drains while its port is closed for a pause, and refuses the connections of clients that
// do not know other addresses yet.
func TestPausedPortOpensAgainWhileDraining(t *testing.T) {
	g := NewWithT(t)
	f := newTestFleet(t, 2)
	n := f.startRouter("r-a")
	g.Eventually(n.readinessStatus, "5s").Should(Equal(http.StatusOK))
	const pause = 100 * time.Millisecond
	g.Expect(n.offload.inspector.Pause(pause)).To(BeTrue())
	n.stop()
	g.Eventually(func() int {
		status, _ := n.call("/callout/x", "draining", "farm-key")
		return status
	}, 4*pause).Should(Equal(http.StatusOK))
	g.Eventually(n.done, "5s").Should(Receive(BeNil()))
}
