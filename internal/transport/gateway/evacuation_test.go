package gateway

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"gooseberrytide.example/gooseberrytide/internal/state/backends"
	"gooseberrytide.example/gooseberrytide/test/standin/platformengine"
)

// setDomains puts the servers of the harness into failure domains, in order.
func (h *harness) setDomains(domains ...string) {
	for _, s := range h.servers {
		s.FailureDomain = domains[int(s.ID[len(s.ID)-1]-'a')]
	}
	h.admission.SetServers(backends.NewSet(h.servers))
}

// Guards against first sends to an evacuated domain on routes of each kind.
func TestEvacuatedServersGetNoFirstSends(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t, 3)
	h.setDomains("a", "a", "b")
	h.admission.SetEvacuated([]string{"a"})
	for i := range 30 {
		path := []string{"/lookup/x", "/callout/x"}[i%2]
		g.Expect(h.do(h.request(http.MethodPost, path, fmt.Sprint("p", i), "x")).status).To(Equal(http.StatusOK))
		g.Expect(h.do(h.stream("/digest/x", fmt.Sprint("s", i))).status).To(Equal(http.StatusOK))
	}
	g.Expect(h.engines[0].Arrivals() + h.engines[1].Arrivals()).To(BeZero())
	g.Expect(h.engines[2].Arrivals()).To(Equal(60))
}

// Guards against retries of failed requests, and streams that are resumed, at servers of an evacuated domain.
func TestRetriesLeaveTheEvacuatedDomain(t *testing.T) {
	for name, mode := range map[string]platformengine.Mode{
		"no response": platformengine.Reset, "broken stream": platformengine.Truncate,
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			h := newHarness(t, 3)
			h.setDomains("a", "b", "c")
			h.admission.SetEvacuated([]string{"a"})
			h.engines[1].SetMode(mode)
			for i := range 10 {
				r := h.stream("/digest/x", fmt.Sprint("s", i))
				r.Header.Set("Prefix-Hash", fmt.Sprintf("%x:60,b2:40", i+1))
				g.Expect(h.do(r).status).To(Equal(http.StatusOK))
			}
			g.Expect(h.engines[1].Arrivals()).To(BeNumerically(">", 0))
			g.Expect(h.engines[0].Arrivals()).To(BeZero())
		})
	}
}

// Guards against a substitute, or a stream that goes on, in a domain that is evacuated while the first server is silent.
func TestSubstitutesLeaveTheEvacuatedDomain(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t, 3)
	h.setDomains("b", "a", "c")
	h.admission.SetEvacuated([]string{"a", "c"})
	h.engines[0].SetMode(platformengine.Silent)
	h.engines[0].Silence = 10 * time.Second
	time.AfterFunc(500*time.Millisecond, func() { h.admission.SetEvacuated([]string{"a"}) })
	r := h.stream("/digest/x", "silent")
	r.Header.Set("Deadline-Ms", "5500")
	g.Expect(h.do(r).status).To(Equal(http.StatusOK))
	g.Expect(h.engines[0].Arrivals()).To(Equal(1))
	g.Expect(h.engines[1].Arrivals()).To(BeZero())
	g.Expect(h.engines[2].Arrivals()).To(Equal(1))
}

// Guards against a request that is cut because its server's domain is evacuated while it runs.
func TestRunningRequestsContinueInTheEvacuatedDomain(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t, 1)
	h.setDomains("a")
	h.engines[0].Pause = 100 * time.Millisecond
	time.AfterFunc(150*time.Millisecond, func() { h.admission.SetEvacuated([]string{"a"}) })
	resp := h.do(h.stream("/digest/x", "running"))
	g.Expect(resp.err).NotTo(HaveOccurred())
	g.Expect(resp.body).To(ContainSubstring("t5"))
}

// Guards against a request that reaches a server because its domain was evacuated after the grant, while the connection was
// opened, and against one that fails because of it.
func TestGrantedRequestsArePlacedAgainBeforeTheSend(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t, 2)
	h.setDomains("a", "b")
	go h.admission.Run(t.Context(), 5*time.Millisecond, 100*time.Millisecond)
	const requests = 40
	done := make(chan int, requests)
	for i := range requests {
		go func() { done <- h.do(h.request(http.MethodPost, "/callout/x", fmt.Sprint("c", i), "x")).status }()
	}
	time.Sleep(time.Millisecond)
	h.admission.SetEvacuated([]string{"a"})
	before := h.engines[0].Arrivals()
	for range requests {
		g.Expect(<-done).To(Equal(http.StatusOK))
	}
	for i := range requests {
		g.Expect(h.totalRuns(fmt.Sprint("c", i))).To(Equal(1))
	}
	// Requests that passed the check just before may still arrive.
	g.Expect(h.engines[0].Arrivals()-before).To(BeNumerically("<=", 16), "at most the requests that were in flight")
}

// Guards against a refusal without a reason or a return time when all servers are evacuated, and against one that waits.
func TestRefusalWhileAllServersAreEvacuated(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t, 2)
	h.setDomains("a", "b")
	h.admission.SetEvacuated([]string{"a", "b"})
	for i, r := range []*http.Request{h.request(http.MethodPost, "/callout/x", "p", "x"), h.stream("/digest/x", "s")} {
		begin := time.Now()
		resp := h.do(r)
		g.Expect(resp.status).To(Equal(http.StatusServiceUnavailable))
		g.Expect(time.Since(begin)).To(BeNumerically("<", 200*time.Millisecond))
		seconds, err := strconv.ParseFloat(resp.header.Get("Retry-After"), 64)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(seconds).To(BeNumerically("~", 1, 0.31))
		g.Expect(h.logs.FilterField(zap.String("reason", "servers-evacuated")).Len()).To(Equal(i + 1))
	}
	g.Expect(h.totalRuns("p") + h.totalRuns("s")).To(BeZero())
}
