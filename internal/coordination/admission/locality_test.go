package admission

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"gooseberrytide.example/gooseberrytide/internal/coordination/engineload"
	"gooseberrytide.example/gooseberrytide/internal/state/backends"
	"gooseberrytide.example/gooseberrytide/internal/state/routing"
)

// Load pattern: load that is uneven between failure domains. Guards against requests that leave their domain for a few
// milliseconds of backlog, and against requests that stay there when their domain is short of capacity.
func TestRequestsStayInTheirDomainWhileItHasCapacity(t *testing.T) {
	service := &routing.Service{Name: "pool", Engine: &routing.Engine{Slots: 12, CacheTokens: 500_000}}
	place := func(domainAware bool, backlog time.Duration) string {
		g := NewWithT(t)
		now := time.Unix(1_000_000, 0)
		c := New(Options{Domain: "near", DomainAware: domainAware, ShareWindow: 4 * time.Second, Seed: 1})
		c.SetServers(now, backends.NewSet([]*backends.Server{
			{ID: "a", Service: "pool", Slots: 12, FailureDomain: "near"},
			{ID: "b", Service: "pool", Slots: 12, FailureDomain: "remote"},
		}))
		c.SetPeerLoads(now, "other", map[string]engineload.Load{"a": {PendingTokens: prefillTokens(backlog, 1)}})
		var server *backends.Server
		c.Submit(now, Request{
			ID: "r", Team: "t", Service: service, PromptTokens: 1000, OutputTokens: 100, Arrival: now,
			Objective: 500 * time.Millisecond, Deadline: now.Add(8 * time.Second),
		}, func(d Decision) { server = d.Server })
		g.Expect(server).NotTo(BeNil())
		return server.ID
	}
	g := NewWithT(t)
	g.Expect(place(true, 30*time.Millisecond)).To(Equal("a"))
	g.Expect(place(true, 70*time.Millisecond)).To(Equal("b"), "a tenth of the objective is exceeded")
	g.Expect(place(false, 30*time.Millisecond)).To(Equal("b"))
}
