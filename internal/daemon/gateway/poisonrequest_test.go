package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"gooseberrytide.example/gooseberrytide/internal/coordination/poison"
	"gooseberrytide.example/gooseberrytide/test/standin/platformengine"
)

const (
	// maxRequestArrivals is how often a request that ends its servers may reach servers: three that it ends, and three
	// more.
	maxRequestArrivals = 6
	// minSoundServed is the share of the sound requests that must be served once no further server may end.
	minSoundServed = 0.8
)

// requestKind is a kind of request that ends servers and comes again as the same request.
type requestKind struct {
	name    string
	service string
	method  string
	prefix  string
}

var requestKinds = []requestKind{
	{name: "idempotent", service: "app", method: http.MethodGet, prefix: "/lookup/"},
	{name: "runs once", service: "app", method: http.MethodPost, prefix: "/callout/"},
	{name: "stream with a last part of its own", service: "pool", method: http.MethodPost, prefix: "/digest/"},
}

// poisonTarget ends the path of the request that ends servers.
const poisonTarget = "bad"

// send sends the n-th request of a kind, or the one that ends servers, and returns the status; 0 if there is no whole
// response.
func (k requestKind) send(f *crashingFleet, n int, target string) int {
	body := ""
	if k.method == http.MethodPost {
		body = "body of " + target
	}
	router := f.nodes[n%len(f.nodes)]
	r, err := http.NewRequest(k.method, "http://"+router.settings.CallerListen+k.prefix+target, strings.NewReader(body))
	if err != nil {
		f.t.Error(err)
		return 0
	}
	r.Host = "shed.example"
	r.Header.Set("Attempt-Id", fmt.Sprintf("%d-%s", n, target))
	r.Header.Set("Authorization", "Bearer farm-key")
	r.Header.Set("Deadline-Ms", "3000")
	if k.service == "pool" {
		own := fmt.Sprintf("d%x", n)
		if target == poisonTarget {
			own = "bad"
		}
		r.Header.Set("Model", "m")
		r.Header.Set("Token-Usage", "1600,10")
		r.Header.Set("Prefix-Hash", "a1:800,c1:300,"+own+":300")
	}
	return statusOf(r)
}

// newFleet returns a fleet whose servers end on one request of the kind.
func (k requestKind) newFleet(t *testing.T, servers, routers int, keepPort bool) *crashingFleet {
	f := newHostFleet(t, k.service, servers, routers)
	for i, e := range f.engines {
		if keepPort {
			f.hosts[i].Port = platformengine.PortDropping
		}
		e.SetPoisonRequest(f.hosts[i].Crash, func(r *http.Request) bool {
			return r.URL.Path == k.prefix+poisonTarget
		})
	}
	for _, n := range f.nodes {
		NewWithT(t).Eventually(n.readinessStatus, "5s").Should(Equal(http.StatusOK))
	}
	return f
}

// playRequests sends sound requests, and one that ends servers again and again, 20 a second of each.
func (f *crashingFleet) playRequests(k requestKind, d time.Duration) {
	const period = 50 * time.Millisecond
	f.starts = time.Now()
	for n := 1; time.Since(f.starts) < d; n++ {
		f.wait.Add(1)
		go func() {
			defer f.wait.Done()
			f.recordSound(func() int { return k.send(f, n, fmt.Sprint(n)) })
		}()
		f.wait.Add(1)
		go func() {
			defer f.wait.Done()
			k.send(f, n+1, poisonTarget)
		}()
		time.Sleep(period)
	}
	f.wait.Wait()
}

// lastCrash returns the time of the last crash of a server.
func (f *crashingFleet) lastCrash() time.Time {
	var last time.Time
	for _, h := range f.hosts {
		if at := h.LastCrash(); at.After(last) {
			last = at
		}
	}
	return last
}

// Guards against a request that ends each server that begins to run it and that is sent to one server after another when it
// comes again, so that hardly any request of the service is served.
func TestRequestCrashesServerAfterServer(t *testing.T) {
	for _, k := range requestKinds {
		for _, servers := range []int{8, 3} {
			for _, keepPort := range []bool{false, true} {
				for _, routers := range []int{1, 3} {
					t.Run(fmt.Sprintf("%s, %d servers, port open %v, %d routers", k.name, servers, keepPort, routers), func(t *testing.T) {
						t.Parallel()
						g := NewWithT(t)
						f := k.newFleet(t, servers, routers, keepPort)
						f.playRequests(k, 6*time.Second)
						from := f.starts.Add(2 * time.Second)
						if last := f.lastCrash(); servers == 3 && last.After(from) {
							from = last
						}
						t.Logf("%d arrivals, %d crashes, the last after %v; sound served: %.2f of all, %.2f at the end",
							f.poisonArrivals(), f.crashes(), f.lastCrash().Sub(f.starts), f.served(0), f.servedSince(from))
						g.Expect(f.poisonArrivals()).To(BeNumerically("<=", maxRequestArrivals))
						g.Expect(f.servedSince(from)).To(BeNumerically(">=", minSoundServed))
					})
				}
			}
		}
	}
}

// Guards against a part of prompts that goes on to end engines behind a port that stays open while an engine is down.
func TestPoisonPartBehindAnOpenPort(t *testing.T) {
	g := NewWithT(t)
	f := newCrashingFleet(t, 8, 1)
	for _, h := range f.hosts {
		h.Port = platformengine.PortDropping
	}
	g.Eventually(f.nodes[0].readinessStatus, "5s").Should(Equal(http.StatusOK))
	f.starts = time.Now()
	f.play(6*time.Second, true)
	t.Logf("%d arrivals, %d crashes; sound served: %.2f", f.poisonArrivals(), f.crashes(), f.served(2))
	g.Expect(f.poisonArrivals()).To(BeNumerically("<=", maxPoisonArrivals))
	g.Expect(f.served(2)).To(BeNumerically(">=", minSoundServed))
}

// Guards against equal sound requests that are refused after the servers that ran them have ended for another reason.
func TestEqualSoundRequestsAreServedAfterCrashes(t *testing.T) {
	k := requestKinds[0]
	for _, ended := range []int{2, 3} {
		for _, keepPort := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d of 3 servers, port open %v", ended, keepPort), func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				f := k.newFleet(t, 3, 1, keepPort)
				for _, e := range f.engines {
					e.SetMode(platformengine.Silent)
					e.Silence = 60 * time.Millisecond
				}
				play := func(d time.Duration, record bool) {
					for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
						f.wait.Add(1)
						go func() {
							defer f.wait.Done()
							n := int(time.Since(f.starts) / time.Millisecond)
							if record {
								f.recordSound(func() int { return k.send(f, n, "same") })
								return
							}
							k.send(f, n, "same")
						}()
					}
				}
				f.starts = time.Now()
				time.AfterFunc(500*time.Millisecond, func() {
					for _, h := range f.hosts[:ended] {
						h.Crash()
					}
				})
				play(500*time.Millisecond+engineDownTime+500*time.Millisecond, false)
				play(1500*time.Millisecond, true)
				f.wait.Wait()
				g.Expect(len(f.sound)).To(BeNumerically(">=", 60))
				g.Expect(f.served(0)).To(Equal(1.0))
			})
		}
	}
}

// Guards against a popular request that is blocked, or held for longer than a trial takes, because servers end, reset or
// fall silent for another reason while it is on all of them, also while a poisonous request is sent beside it.
func TestPopularRequestIsNotBlocked(t *testing.T) {
	const playTime = 4 * time.Second
	k := requestKinds[0]
	everyServer := func(f *crashingFleet, pause time.Duration, do func(i int)) {
		for i := range f.hosts {
			do(i)
			time.Sleep(pause)
		}
	}
	for name, disturb := range map[string]func(*crashingFleet){
		"all servers end at once": func(f *crashingFleet) { everyServer(f, 0, func(i int) { f.hosts[i].Crash() }) },
		"servers end in turn": func(f *crashingFleet) {
			everyServer(f, 300*time.Millisecond, func(i int) { f.hosts[i].Crash() })
			everyServer(f, 300*time.Millisecond, func(i int) { f.hosts[i].Crash() })
		},
		"a server resets": func(f *crashingFleet) { // for a time that the retry budget allows
			f.engines[0].SetMode(platformengine.Reset)
			time.Sleep(time.Second)
			f.engines[0].SetMode(platformengine.Silent)
		},
		"a server hangs": func(f *crashingFleet) { f.engines[0].SetMode(platformengine.Hang) },
		"a server fails": func(f *crashingFleet) { f.engines[0].SetMode(platformengine.Fail) },
		"servers leave": func(f *crashingFleet) {
			everyServer(f, 200*time.Millisecond, func(i int) { f.store.Remove(fmt.Sprintf("servers/i-%d", i)) })
		},
	} {
		for _, beside := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, poisonous request beside it: %v", name, beside), func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				f := k.newFleet(t, 6, 2, false)
				for _, e := range f.engines {
					e.Silence = 40 * time.Millisecond
					e.SetMode(platformengine.Silent)
				}
				f.starts = time.Now()
				f.wait.Go(func() {
					time.Sleep(500 * time.Millisecond)
					disturb(f)
				})
				for n := 0; time.Since(f.starts) < playTime; n++ {
					f.wait.Go(func() { f.recordSound(func() int { return k.send(f, n, "popular") }) })
					if beside && n%3 == 0 {
						f.wait.Go(func() { k.send(f, n, poisonTarget) })
					}
					time.Sleep(20 * time.Millisecond)
				}
				f.wait.Wait()
				for _, n := range f.nodes {
					for _, s := range n.poison.guard.List() {
						if s.State == poison.Blocked {
							g.Expect(s.Path).To(Equal(k.prefix + poisonTarget))
						}
					}
				}
				if name != "servers leave" {
					t.Logf("served %.2f of all, %.2f in the last second", f.served(0), f.served(3))
					g.Expect(f.served(3)).To(BeNumerically(">=", 0.95))
				}
			})
		}
	}
}
