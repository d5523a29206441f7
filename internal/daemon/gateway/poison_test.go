package gateway

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"gooseberrytide.example/gooseberrytide/internal/protocol/admin"
	"gooseberrytide.example/gooseberrytide/internal/transport/adminhttp"
	"gooseberrytide.example/gooseberrytide/test/standin/platformengine"
)

const (
	// poisonPart is the part of prompts that ends each engine that begins to write a response to it.
	poisonPart = "bad"
	// maxPoisonArrivals is how many requests with the part may reach engines: five that end one, and three more.
	maxPoisonArrivals = 8
	engineDownTime    = time.Second
)

// crashingFleet is a fleet whose engines end on a part of a prompt.
type crashingFleet struct {
	*testFleet
	hosts []*platformengine.Host

	mu    sync.Mutex
	sound []soundRequest
	wait  sync.WaitGroup
	// starts is when the requests begin.
	starts time.Time
}

// soundRequest is a request that ends no engine, with the status of its response; 0 if there was no whole one.
type soundRequest struct {
	at     time.Time
	status int
}

func newCrashingFleet(t *testing.T, engines, routers int) *crashingFleet {
	t.Helper()
	f := newHostFleet(t, "pool", engines, routers)
	for i, e := range f.engines {
		e.Prefill, e.Pause = 30*time.Millisecond, 20*time.Millisecond
		e.SetPoison(f.hosts[i].Crash, poisonPart)
	}
	return f
}

// newHostFleet returns a fleet whose engines belong to one service and can end.
func newHostFleet(t *testing.T, service string, engines, routers int) *crashingFleet {
	t.Helper()
	f := &crashingFleet{testFleet: newTestFleet(t, 0), starts: time.Now()}
	f.revokeMS = 5000
	for i := range engines {
		e := platformengine.New(fmt.Sprintf("i-%d", i))
		var host *platformengine.Host
		register := func(startedAt int64) {
			f.store.Put("servers/"+e.ID, fmt.Appendf(nil,
				`{"service":%q,"address":%q,"zone":"a","slots":8,"state":"ready","born":%d}`, service, host.Address(), startedAt))
		}
		host, err := platformengine.StartHost(e, engineDownTime, register)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(host.Close)
		register(time.Now().UnixMilli())
		f.engines = append(f.engines, e)
		f.hosts = append(f.hosts, host)
	}
	for i := range routers {
		f.startRouter(fmt.Sprintf("r-%d", i))
	}
	return f
}

// poisonArrivals returns the number of requests with the part that reached engines.
func (f *crashingFleet) poisonArrivals() int {
	n := 0
	for _, e := range f.engines {
		n += e.Poisoned()
	}
	return n
}

func (f *crashingFleet) crashes() int {
	n := 0
	for _, h := range f.hosts {
		n += h.Crashes()
	}
	return n
}

// prompt returns the parts of the n-th prompt. The first part is common to all prompts, the second to every fifth one,
// the last is its own.
func prompt(n int, poison bool) string {
	parts := []string{"a1:800", fmt.Sprintf("c%d:300", n%5)}
	if poison {
		at := 1 + n%2 // next to the first or to the last part
		parts = append(parts[:at:at], append([]string{poisonPart + ":200"}, parts[at:]...)...)
	}
	return strings.Join(append(parts, fmt.Sprintf("d%x:300", n)), ",")
}

// send sends the n-th request and returns the status; 0 if there is no whole response.
func (f *crashingFleet) send(n int, poison bool) int {
	router := f.nodes[n%len(f.nodes)]
	r, err := http.NewRequest(http.MethodPost, "http://"+router.settings.CallerListen+"/digest/x", strings.NewReader("body"))
	if err != nil {
		f.t.Error(err)
		return 0
	}
	r.Host = "shed.example"
	r.Header.Set("Attempt-Id", attemptID(n, poison))
	r.Header.Set("Authorization", "Bearer farm-key")
	r.Header.Set("Deadline-Ms", "3000")
	r.Header.Set("Model", "m")
	r.Header.Set("Token-Usage", "1600,10")
	r.Header.Set("Prefix-Hash", prompt(n, poison))
	return statusOf(r)
}

// attemptID returns the ID of the n-th request.
func attemptID(n int, poison bool) string { return fmt.Sprintf("%d-%v", n, poison) }

// statusOf sends a request and returns the status; 0 if there is no whole response.
func statusOf(r *http.Request) int {
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// play sends sound requests, and others with the part, 20 a second of each.
func (f *crashingFleet) play(d time.Duration, poison bool) {
	const period = 50 * time.Millisecond
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(period) {
		n := int(time.Since(f.starts) / time.Millisecond)
		f.wait.Add(1)
		go func() {
			defer f.wait.Done()
			f.recordSound(func() int { return f.send(n, false) })
		}()
		if !poison {
			continue
		}
		f.wait.Add(1)
		go func() {
			defer f.wait.Done()
			f.send(n+1, true)
		}()
	}
	f.wait.Wait()
}

// recordSound sends a sound request and records its status.
func (f *crashingFleet) recordSound(send func() int) {
	at := time.Now()
	status := send()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sound = append(f.sound, soundRequest{at: at, status: status})
}

// served returns the fraction of the sound requests sent from the given second on that were served.
func (f *crashingFleet) served(from int) float64 {
	return f.servedSince(f.starts.Add(time.Duration(from) * time.Second))
}

// servedSince returns the fraction of the sound requests sent from a time on that were served.
func (f *crashingFleet) servedSince(from time.Time) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	sent, served := 0, 0
	for _, r := range f.sound {
		if r.at.Before(from) {
			continue
		}
		sent++
		if r.status == http.StatusOK {
			served++
		}
	}
	return float64(served) / float64(max(sent, 1))
}

// Guards against requests that go on to further engines although one part of their prompts has ended each engine that
// began to write a response to it.
func TestPoisonPartCrashesServerAfterServer(t *testing.T) {
	for _, routers := range []int{1, 3} {
		t.Run(fmt.Sprintf("%d routers", routers), func(t *testing.T) {
			g := NewWithT(t)
			f := newCrashingFleet(t, 8, routers)
			for _, n := range f.nodes {
				g.Eventually(n.readinessStatus, "5s").Should(Equal(http.StatusOK))
			}
			f.starts = time.Now()
			f.play(time.Second, false)
			g.Expect(f.served(0)).To(BeNumerically(">=", 0.95), "before the first crash")
			f.play(6*time.Second, true)
			t.Logf("%d arrivals with the part, %d crashes, sound served: %.2f of all, %.2f after 3 s",
				f.poisonArrivals(), f.crashes(), f.served(1), f.served(4))
			g.Expect(f.poisonArrivals()).To(BeNumerically("<=", maxPoisonArrivals))
			g.Expect(f.served(4)).To(BeNumerically(">=", 0.95))
		})
	}
}

// Guards against a block that operators cannot see or lift on all routers, and unclear errors of that.
func TestOperatorListsAndLiftsParts(t *testing.T) {
	g := NewWithT(t)
	f := newCrashingFleet(t, 8, 2)
	for _, n := range f.nodes {
		g.Eventually(n.readinessStatus, "5s").Should(Equal(http.StatusOK))
	}
	f.starts = time.Now()
	f.play(time.Second, false)
	f.play(2*time.Second, true)
	var clients []*adminhttp.Client
	for _, n := range f.nodes {
		client := adminhttp.NewClient(n.peerAddress(metricsPortOffset), "")
		clients = append(clients, client)
		g.Eventually(func() ([]admin.Suspect, error) { return client.Suspects(t.Context()) }, "2s").Should(ContainElement(And(
			HaveField("ID", poisonPart), HaveField("State", admin.SuspectBlocked), HaveField("Teams", []string{"farm"}),
			HaveField("Crashes", BeNumerically(">=", 3)))))
	}
	g.Expect(clients[0].LiftSuspect(t.Context(), "xyz")).To(MatchError(ContainSubstring("400")))
	g.Expect(clients[0].LiftSuspect(t.Context(), "fff")).To(MatchError(ContainSubstring("404")))
	g.Expect(clients[0].LiftSuspect(t.Context(), poisonPart)).To(Succeed())
	for _, client := range clients {
		g.Eventually(func() ([]admin.Suspect, error) { return client.Suspects(t.Context()) }, "2s").ShouldNot(
			ContainElement(HaveField("ID", poisonPart)))
	}
}
