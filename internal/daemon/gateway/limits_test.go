package gateway

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"gooseberrytide.example/gooseberrytide/internal/transport/adminhttp"
	"gooseberrytide.example/gooseberrytide/test/standin/platformengine"
)

// limitWindow is the time over which the requests to a server with a limit are counted.
const limitWindow = 4 * time.Second

// maxArrivals is the number of requests that a server with a limit may get in limitWindow.
func maxArrivals(limit float64) int { return int(1.5*limit*limitWindow.Seconds()) + 5 }

// callers send requests for streams at a constant rate to routers in turn.
type callers struct {
	served, refused, failed atomic.Int64
	wg                      sync.WaitGroup
}

// send sends rate requests a second to the routers in turn, for d.
func (c *callers) send(nodes []*testNode, rate float64, d time.Duration) {
	period := time.Duration(float64(time.Second) / rate)
	begin := time.Now()
	for i := 0; time.Since(begin) < d; i++ {
		node, id := nodes[i%len(nodes)], fmt.Sprintf("%s-%d-%d", nodes[i%len(nodes)].settings.Router, begin.UnixNano(), i)
		c.wg.Add(1)
		go func() {
			defer c.wg.Done()
			switch status, _ := node.call("/digest/x", id, "farm-key"); status {
			case http.StatusOK:
				c.served.Add(1)
			case http.StatusServiceUnavailable:
				c.refused.Add(1)
			default:
				c.failed.Add(1)
			}
		}()
		time.Sleep(time.Until(begin.Add(time.Duration(i+1) * period)))
	}
}

// poolEngines returns the engines of the service "pool".
func (f *testFleet) poolEngines() []*platformengine.Engine {
	var list []*platformengine.Engine
	for i, e := range f.engines {
		if i%2 == 0 {
			list = append(list, e)
		}
	}
	return list
}

// arrivalsOf returns the times at which an engine got requests from a time on.
func arrivalsOf(e *platformengine.Engine, from time.Time) []time.Time {
	var list []time.Time
	for _, x := range e.Exchanges() {
		if !x.At.Before(from) {
			list = append(list, x.At)
		}
	}
	slices.SortFunc(list, time.Time.Compare)
	return list
}

// mostInWindow returns the largest number of the times that lie within limitWindow.
func mostInWindow(times []time.Time) int {
	most := 0
	for i, first := range times {
		n := 0
		for _, at := range times[i:] {
			if at.Sub(first) < limitWindow {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// startLimitedFleet returns a fleet of routers with model engines that record their requests and name a limit.
func startLimitedFleet(t *testing.T, routers, engines int, limit string) *testFleet {
	t.Helper()
	g := NewWithT(t)
	f := newTestFleet(t, 2*engines)
	f.revokeMS = 5000
	for i := range routers {
		f.startRouter(fmt.Sprintf("r-%d", i))
	}
	for _, n := range f.nodes {
		g.Eventually(n.readinessStatus, "8s").Should(Equal(http.StatusOK))
	}
	for _, e := range f.poolEngines() {
		e.Record()
		e.SetLimit(limit)
	}
	return f
}

// Guards against routers that each spend the whole limit which a server has named, and against a limit that is not used
// or not given up. Before, one server with a limit of 5 a second got some 268 requests in 4 s from four routers.
func TestServerGetsMoreThanItsLimitFromAllRouters(t *testing.T) {
	g := NewWithT(t)
	const limit, settleTime = 5, time.Second
	f := startLimitedFleet(t, 4, 4, "5")
	var load callers
	begin := time.Now()
	load.send(f.nodes, 100, 10*time.Second)
	end := time.Now()
	for _, e := range f.poolEngines() {
		arrivals := arrivalsOf(e, begin.Add(settleTime))
		g.Expect(mostInWindow(arrivals)).To(BeNumerically("<=", maxArrivals(limit)), e.ID)
		g.Expect(len(arrivals)).To(BeNumerically(">=", 40), "of 45 that %s permits", e.ID)
	}
	g.Expect(load.failed.Load()).To(BeZero())
	for _, e := range f.poolEngines() {
		e.SetLimit("")
	}
	load.send(f.nodes, 100, 3*time.Second)
	load.wg.Wait()
	var after callers
	after.send(f.nodes, 100, time.Second)
	after.wg.Wait()
	g.Expect(after.served.Load()).To(BeNumerically(">=", 98), "%v after the end", time.Since(end))
	g.Expect(after.failed.Load()).To(BeZero())
}

// Guards against operators who cannot see which servers have a limit, how old it is, and how much of it is used.
func TestOperatorsSeeLimits(t *testing.T) {
	g := NewWithT(t)
	f := startLimitedFleet(t, 2, 2, "5")
	var load callers
	load.send(f.nodes, 40, 3*time.Second)
	load.wg.Wait()
	used := make(map[string]float64)
	for _, n := range f.nodes {
		client := adminhttp.NewClient(n.peerAddress(metricsPortOffset), "")
		limits, err := client.Limits(t.Context())
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(limits).To(HaveLen(2))
		for _, l := range limits {
			g.Expect(l.PerSecond).To(Equal(5.0))
			g.Expect(l.InForce).To(Equal(5.0))
			g.Expect(l.AgeMS).To(BeNumerically("~", 3000, 1000))
			g.Expect(l.Owner).NotTo(BeEmpty())
			if l.Used != nil {
				used[l.Server] = *l.Used
			}
		}
		g.Expect(n.admission.PermitCounts().Granted).To(BeNumerically(">", 5))
	}
	g.Expect(used).To(HaveLen(2), "each server has one owner")
	for server, rate := range used {
		g.Expect(rate).To(BeNumerically("~", 2.3, 1), "%s: 5 a second for 3 s, with a time constant of 5 s", server)
	}
}
