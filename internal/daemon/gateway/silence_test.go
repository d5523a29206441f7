package gateway

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"gooseberrytide.example/gooseberrytide/internal/coordination/poison"
	"gooseberrytide.example/gooseberrytide/test/standin/platformengine"
)

const (
	// crashesUntilKnown is the number of crashes, and evidenceTime the time after the last of them, after which hardly
	// any request with the part may reach engines; maxLateArrivals is how many may.
	crashesUntilKnown = 5
	evidenceTime      = 3 * time.Second
	maxLateArrivals   = 3
	// silentDownTime is how long a silent engine is down.
	silentDownTime = 2 * time.Second
)

// poisonSends holds the times at which requests with the part were sent, by attempt ID.
type poisonSends struct {
	mu    sync.Mutex
	times map[string]time.Time
}

// playSilent sends sound requests, 20 a second, and has one caller for each router who sends requests with the part, each
// one 200 ms after the last has ended.
func (f *crashingFleet) playSilent(d time.Duration) *poisonSends {
	sends := &poisonSends{times: make(map[string]time.Time)}
	end := time.Now().Add(d)
	for i := range f.nodes {
		f.wait.Go(func() {
			for n := len(f.nodes)*1000 + i; time.Now().Before(end); n += len(f.nodes) {
				sends.mu.Lock()
				sends.times[attemptID(n, true)] = time.Now()
				sends.mu.Unlock()
				f.send(n, true)
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	f.play(d, false)
	return sends
}

// late returns the number of arrivals of requests that were sent later than evidenceTime after the crash with the number
// crashesUntilKnown.
func (f *crashingFleet) late(sends *poisonSends) int {
	var crashes []time.Time
	for _, h := range f.hosts {
		crashes = append(crashes, h.CrashTimes()...)
	}
	if len(crashes) < crashesUntilKnown {
		return 0
	}
	slices.SortFunc(crashes, time.Time.Compare)
	known := crashes[crashesUntilKnown-1].Add(evidenceTime)
	n := 0
	for attempt, at := range sends.times {
		if !at.After(known) {
			continue
		}
		for _, e := range f.engines {
			n += e.Runs(attempt)
		}
	}
	return n
}

func (f *crashingFleet) awaitReady(g Gomega) {
	for _, n := range f.nodes {
		g.Eventually(n.readinessStatus, "5s").Should(Equal(http.StatusOK))
	}
	f.starts = time.Now()
}

// Guards against a part of prompts that is not found because the engines that it ends do not refuse connections: they
// hang, or their port accepts connections and resets, drops or ignores them.
func TestPoisonPartSilencesServerAfterServer(t *testing.T) {
	ports := []platformengine.PortMode{
		platformengine.PortClosed, platformengine.PortDropping, platformengine.PortResetting, platformengine.PortSilent,
		platformengine.PortDark,
	}
	for _, port := range ports {
		for _, engines := range []int{3, 12} {
			for _, routers := range []int{1, 3} {
				t.Run(fmt.Sprintf("port %v, %d engines, %d routers", port, engines, routers), func(t *testing.T) {
					t.Parallel()
					g := NewWithT(t)
					f := newCrashingFleet(t, engines, routers)
					for _, h := range f.hosts {
						h.Port, h.DownTime = port, silentDownTime
					}
					f.awaitReady(g)
					f.play(time.Second, false)
					sends := f.playSilent(14 * time.Second)
					from := f.lastCrash().Add(silentDownTime + time.Second)
					t.Logf("%d arrivals with the part, %d late; %d crashes, the last after %v; sound served: %.2f of all, %.2f at the end",
						f.poisonArrivals(), f.late(sends), f.crashes(), f.lastCrash().Sub(f.starts), f.served(1), f.servedSince(from))
					g.Expect(f.late(sends)).To(BeNumerically("<=", maxLateArrivals))
					g.Expect(from).To(BeTemporally("<", f.starts.Add(13*time.Second)), "engines still end")
					g.Expect(f.servedSince(from)).To(BeNumerically(">=", minSoundServed))
				})
			}
		}
	}
}

// Guards against sound requests that are blocked because links to servers, to the servers of a domain or to all servers
// fail again and again, while the servers live.
func TestFailingLinksBlockNothing(t *testing.T) {
	const interruption = 1500 * time.Millisecond
	for name, failed := range map[string]int{"one server": 1, "a domain": 4, "the router's own network": 12} {
		for _, routers := range []int{1, 3} {
			t.Run(fmt.Sprintf("%s, %d routers", name, routers), func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				f := newCrashingFleet(t, 12, routers)
				f.awaitReady(g)
				f.wait.Go(func() {
					for i := range 3 {
						time.Sleep(time.Second)
						for j := range failed {
							f.hosts[(4*i+j)%len(f.hosts)].Interrupt(interruption)
						}
						time.Sleep(interruption)
					}
				})
				f.play(9*time.Second, false)
				t.Logf("sound served: %.2f of all, %.2f at the end", f.served(0), f.served(8))
				g.Expect(f.served(8)).To(BeNumerically(">=", 0.95))
				for _, n := range f.nodes {
					g.Expect(n.poison.guard.List()).NotTo(ContainElement(HaveField("State", poison.Blocked)))
				}
			})
		}
	}
}
