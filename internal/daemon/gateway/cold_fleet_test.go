package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"gooseberrytide.example/gooseberrytide/internal/state/backends"
	"gooseberrytide.example/gooseberrytide/internal/state/routing"
)

const (
	// coldRate and coldTime are coldPerS and coldStartS of the service.
	coldRate = 12.0
	coldTime = 3 * time.Second
	// maxColdArrivals is the number of requests that a cold server may get within coldWindow: coldPerS * coldOverrun +
	// coldSlack.
	maxColdArrivals = 23
	coldWindow      = time.Second
	// coldDemand is the demand on the two servers, in requests per second: several times what they take while cold.
	coldDemand = 160
)

// newColdFleet starts routers and servers that are warm and record their requests. The caller must call close.
func newColdFleet(g Gomega, routers, servers int) *limitedFleet {
	f := &limitedFleet{
		g: g, servers: startPlainServers(servers), counts: callCounts{byStatus: make(map[int]int)},
		random: rand.New(rand.NewPCG(2, uint64(routers))),
	}
	start := time.Now()
	f.reportFleet = newPreparedReportFleet(g, routers, func(ctx context.Context, n *Node) {
		n.admission.UseClock(func() time.Duration { return time.Since(start) })
		f.servers.serve(ctx, n)
		n.routing.Store(coldTable(n.routing.Load()))
		n.onConfig(n.routing.Load())
	})
	time.Sleep(settleTime)
	for _, e := range f.servers.engines {
		e.Record()
	}
	return f
}

// coldTable returns the configuration of plainServers.serve for a service whose servers may be cold.
func coldTable(warm *routing.Table) *routing.Table {
	return routing.NewTable(&routing.Config{
		Version:  warm.Version + 1,
		Routes:   []routing.Route{*warm.Route("shed.example", "/")},
		Services: []routing.Service{{Name: plainService, ColdPerSecond: coldRate, ColdDuration: coldTime}},
		Limits:   warm.Limits,
	})
}

// restartServers makes the servers restart, and their entries say that they are cold. The entries reach the routers within
// the given time.
func (f *limitedFleet) restartServers(spread time.Duration) {
	f.servers.set = f.restartedSet()
	for _, n := range f.nodes {
		time.AfterFunc(time.Duration(f.random.Int64N(int64(spread)+1)), func() {
			n.servers.Store(f.servers.set)
			n.onServers(f.servers.set)
		})
	}
}

// restartedSet returns the next incarnations of the servers, which are cold.
func (f *limitedFleet) restartedSet() *backends.Set {
	var list []*backends.Server
	for _, server := range f.servers.set.All() {
		next := *server
		next.StartedAt++
		next.ColdNamed, next.ColdLeft = true, coldTime
		list = append(list, &next)
	}
	return backends.NewSet(list)
}

// expectCold expects that no server got more in any coldWindow between two times than a cold one tolerates.
func (f *limitedFleet) expectCold(from, to time.Time) {
	for _, e := range f.servers.engines {
		arrivals := slices.DeleteFunc(arrivalsOf(e, from), func(at time.Time) bool { return !at.Before(to) })
		for i, first := range arrivals {
			n := 0
			for _, at := range arrivals[i:] {
				if at.Sub(first) < coldWindow {
					n++
				}
			}
			f.g.Expect(n).To(BeNumerically("<=", maxColdArrivals), "%s, %v after the start", e.ID, first.Sub(from))
		}
	}
}

// Guards against routers that each spend the whole rate of a cold server, against a rate that is not used, and against
// servers that stay cold.
func TestColdServersGetTheirRateFromAllRouters(t *testing.T) {
	t.Parallel()
	for _, routers := range []int{1, 8, 65} {
		t.Run(fmt.Sprint(routers, " routers"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				f := newColdFleet(g, routers, 2)
				defer f.close()
				names := f.routerNames(routers)
				f.call(names, coldDemand, time.Second)
				f.restartServers(0)
				restarted := time.Now()
				f.call(names, coldDemand, coldTime)
				f.expectCold(restarted.Add(2*plainServerWork), restarted.Add(coldTime))
				g.Expect(f.arrivedSince(restarted)).To(BeNumerically(">=", int(0.8*coldRate*coldTime.Seconds())))
				f.call(names, coldDemand, 3*time.Second)
				f.calls.Wait()
				f.counts.byStatus = make(map[int]int)
				f.call(names, coldDemand, time.Second)
				f.calls.Wait()
				g.Expect(f.counts.byStatus).To(Equal(map[int]int{http.StatusOK: coldDemand}))
				for _, n := range f.nodes {
					g.Expect(n.admission.Warmups()).To(BeEmpty())
				}
			})
		})
	}
}

// Guards against requests to a restarted server from routers that learn of its entry late: the owner of the server knows,
// or another router tells.
func TestLateEntriesOfColdServers(t *testing.T) {
	t.Parallel()
	for _, routers := range []int{8, 65} {
		t.Run(fmt.Sprint(routers, " routers"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				f := newColdFleet(g, routers, 2)
				defer f.close()
				names := f.routerNames(routers)
				f.call(names, coldDemand, time.Second)
				const spread = time.Second
				f.restartServers(spread)
				restarted := time.Now()
				f.call(names, coldDemand, coldTime+spread)
				// The servers are restarted for a router as soon as one of them, or an owner, has told it.
				f.expectCold(restarted.Add(500*time.Millisecond), restarted.Add(coldTime))
			})
		})
	}
}

// Guards against routers that go on sending to a server which becomes cold while it runs and says so in its responses.
func TestServersThatBecomeColdSayItInResponses(t *testing.T) {
	t.Parallel()
	for _, routers := range []int{1, 8, 65} {
		t.Run(fmt.Sprint(routers, " routers"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				f := newColdFleet(g, routers, 2)
				defer f.close()
				names := f.routerNames(routers)
				f.call(names, coldDemand, time.Second)
				for _, e := range f.servers.engines {
					e.SetCold(coldTime)
				}
				cold := time.Now()
				f.call(names, coldDemand, coldTime)
				// The requests that run and one flush of the router that heard it.
				f.expectCold(cold.Add(100*time.Millisecond), cold.Add(coldTime))
			})
		})
	}
}

// Guards against a new owner, or two owners for a moment, that spend the rate again while the servers are cold.
func TestColdRateIsKeptWhenOwnersChange(t *testing.T) {
	t.Parallel()
	for _, routers := range []int{8, 65} {
		t.Run(fmt.Sprint(routers, " routers"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				f := newColdFleet(g, routers, 2)
				defer f.close()
				names := f.routerNames(routers)
				f.restartServers(0)
				restarted := time.Now()
				f.call(names, coldDemand, 500*time.Millisecond)
				lost := f.ownerOf("i-0")
				f.kill(lost)
				callers := slices.DeleteFunc(slices.Clone(names), func(name string) bool { return name == lost })
				f.call(callers, coldDemand, 2500*time.Millisecond)
				f.expectCold(restarted.Add(2*plainServerWork), restarted.Add(coldTime))
			})
		})
	}
}

// Guards against two parts of a fleet that do not hear from each other and each spend the whole rate, also if the servers
// become cold during the partition.
func TestDividedFleetKeepsTheColdRate(t *testing.T) {
	t.Parallel()
	for _, part := range []int{1, 4} {
		t.Run(fmt.Sprint(part, " of 8 routers cut off"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				f := newColdFleet(g, 8, 2)
				defer f.close()
				names := f.routerNames(8)
				inPart := func(name string) bool { return slices.Index(names, name) < part }
				f.call(names, coldDemand, time.Second)
				f.setLost(func(from, to string) bool { return inPart(from) != inPart(to) })
				f.restartServers(0)
				restarted := time.Now()
				f.call(names, coldDemand, coldTime)
				f.expectCold(restarted.Add(2*plainServerWork), restarted.Add(coldTime))
			})
		})
	}
}

// Guards against a router that has just started, knows the servers from their entries only, and takes them for warm
// although they have said otherwise in responses.
func TestStartedRouterLearnsOfColdServers(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newColdFleet(g, 8, 2)
		defer f.close()
		names := f.routerNames(8)
		for _, e := range f.servers.engines {
			e.SetCold(coldTime + 2*time.Second)
		}
		f.call(names, coldDemand, time.Second)
		f.start("r-new", largeCores)
		f.publish()
		time.Sleep(1200 * time.Millisecond) // the owner repeats it each second
		g.Expect(f.nodes["r-new"].admission.Warmups()).To(HaveLen(2))
	})
}

// Guards against the whole load at the end of an evacuation, when the servers of the domain are cold.
func TestServersAreColdAfterTheirEvacuation(t *testing.T) {
	t.Parallel()
	for _, routers := range []int{8, 65} {
		t.Run(fmt.Sprint(routers, " routers"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				f := newColdFleet(g, routers, 2)
				defer f.close()
				names := f.routerNames(routers)
				evacuate := func(domains ...string) {
					for _, n := range f.nodes {
						time.AfterFunc(time.Duration(f.random.Int64N(int64(500*time.Millisecond))), func() { n.onEvacuations(domains) })
					}
				}
				evacuate("a")
				f.call(names, coldDemand, time.Second)
				idle := time.Now()
				f.call(names, coldDemand, time.Second)
				g.Expect(f.arrivedSince(idle)).To(BeZero())
				evacuate()
				ended := time.Now()
				f.call(names, coldDemand, coldTime)
				f.expectCold(ended, ended.Add(coldTime))
				g.Expect(f.arrivedSince(ended)).To(BeNumerically(">=", 20))
			})
		})
	}
}
