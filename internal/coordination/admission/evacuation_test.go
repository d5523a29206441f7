package admission

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"gooseberrytide.example/gooseberrytide/internal/coordination/reservation"
	"gooseberrytide.example/gooseberrytide/internal/state/backends"
	"gooseberrytide.example/gooseberrytide/internal/state/relay"
	"gooseberrytide.example/gooseberrytide/internal/state/routing"
)

// newEvacuationTest returns a core with servers in the failure domains a and b in turn.
func newEvacuationTest(servers int) *announceTest {
	a := newAnnounceTest(servers)
	for i, s := range a.servers {
		s.FailureDomain = []string{"a", "b"}[i%2]
	}
	a.core.SetServers(a.now, backends.NewSet(a.servers))
	return a
}

// Guards against requests that are placed in an evacuated domain, also on servers that register during the evacuation,
// and against requests that were granted before and are sent afterwards.
func TestEvacuatedServersGetNoRequests(t *testing.T) {
	g := NewWithT(t)
	a := newEvacuationTest(4)
	a.submit(8)
	g.Expect(a.granted).To(HaveLen(8))
	changes := a.core.SetEvacuated(a.now, []string{"a"})
	g.Expect(changes).To(HaveLen(1))
	g.Expect(changes[0].Servers).To(Equal(2))
	for _, ticket := range a.granted {
		g.Expect(a.core.MaySend(a.now, 0, ticket)).To(Equal(ticket.server.FailureDomain == "b"))
	}
	a.finishAll()
	late := &backends.Server{ID: "late", Service: "app", Address: "10.0.0.9:80", Slots: 16, FailureDomain: "a"}
	a.core.SetServers(a.now, backends.NewSet(append(a.servers, late)))
	a.submit(20)
	g.Expect(a.granted).To(HaveLen(20))
	for _, ticket := range a.granted {
		g.Expect(ticket.server.FailureDomain).To(Equal("b"))
	}
	a.finishAll()
	a.core.SetEvacuated(a.now, nil)
	a.submit(20)
	domains := make(map[string]bool)
	for _, ticket := range a.granted {
		domains[ticket.server.FailureDomain] = true
	}
	g.Expect(domains).To(HaveLen(2))
}

// Guards against requests that wait in the queue when their domain is evacuated, and are then granted there or held until
// their deadline.
func TestWaitingRequestsArePlacedAgain(t *testing.T) {
	g := NewWithT(t)
	a := newEvacuationTest(2)
	for _, s := range a.servers {
		a.core.healthOf(s.ID).reopensAt = a.now.Add(100 * time.Millisecond)
	}
	a.submit(4)
	g.Expect(a.granted).To(BeEmpty())
	a.advance(10 * time.Millisecond)
	a.core.SetEvacuated(a.now, []string{"a"})
	a.advance(300 * time.Millisecond)
	g.Expect(a.granted).NotTo(BeEmpty())
	for _, ticket := range a.granted {
		g.Expect(ticket.server.FailureDomain).To(Equal("b"))
	}
}

// Guards against requests that are held although their service has servers in evacuated domains only, and against clients
// that are not told when to return.
func TestServiceWithEvacuatedServersOnlyIsRefusedAtOnce(t *testing.T) {
	g := NewWithT(t)
	a := newEvacuationTest(2)
	for _, s := range a.servers {
		a.core.healthOf(s.ID).reopensAt = a.now.Add(100 * time.Millisecond)
	}
	a.submit(3)
	g.Expect(a.reasons).To(BeEmpty(), "they wait for the end of a short pause")
	a.advance(10 * time.Millisecond)
	a.core.SetEvacuated(a.now, []string{"a", "b"})
	a.submit(3)
	g.Expect(a.reasons).To(HaveLen(6))
	g.Expect(a.reasons).To(HaveEach(ReasonEvacuated))
	for _, d := range a.retryAfter {
		g.Expect(d).To(BeNumerically("~", time.Second, 310*time.Millisecond))
	}
}

// Guards against a trial of an ejected server in an evacuated domain.
func TestEvacuatedServersAreNotProbed(t *testing.T) {
	g := NewWithT(t)
	a := newEvacuationTest(2)
	a.core.healthOf("i-0").eject(a.now)
	a.core.SetEvacuated(a.now, []string{"a"})
	a.advance(maxEjection + time.Second)
	a.submit(10)
	g.Expect(a.granted).NotTo(BeEmpty())
	for _, ticket := range a.granted {
		g.Expect(ticket.server.ID).To(Equal("i-1"))
	}
}

// Guards against a permit for a server that the owner knows to be evacuated, for a router that has not heard of it.
func TestOwnerGrantsNoPermitsForEvacuatedServers(t *testing.T) {
	g := NewWithT(t)
	a := newEvacuationTest(1)
	a.nameLimit(0, 50)
	entry, _ := a.core.limits.Entry(a.now, "i-0")
	a.advance(time.Second)
	answer, _ := a.core.GrantPermit(a.now, reservation.PermitRequest{Limit: entry})
	a.advance(time.Second)
	a.core.SetEvacuated(a.now, []string{"a"})
	g.Expect(answer.Granted).To(BeFalse(), "the first one follows an interval later")
	answer, _ = a.core.GrantPermit(a.now, reservation.PermitRequest{Limit: entry})
	g.Expect(answer.Granted).To(BeFalse())
	g.Expect(answer.RetryMS).To(BeNumerically(">", 0))
	a.core.SetEvacuated(a.now, nil)
	answer, _ = a.core.GrantPermit(a.now, reservation.PermitRequest{Limit: entry})
	g.Expect(answer.Granted).To(BeTrue())
}

// Guards against preferred engines that differ between routers, or lie in the evacuated domain, so that the prompts of the
// domain's engines are spread over all others.
func TestPreferredEnginesAreChosenWithoutEvacuatedOnes(t *testing.T) {
	g := NewWithT(t)
	service := &routing.Service{Name: "pool", Engine: &routing.Engine{Slots: 16, CacheTokens: 500_000}}
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	var servers []*backends.Server
	for i := range 9 {
		servers = append(servers, &backends.Server{
			ID: fmt.Sprintf("e-%d", i), Service: "pool", Address: fmt.Sprintf("10.0.0.%d:80", i), Slots: 16,
			FailureDomain: fmt.Sprint("d", i%3),
		})
	}
	choose := func(domain string, seed uint64, part uint64) string {
		c := New(Options{Domain: domain, ShareWindow: 4 * time.Second, Seed: seed})
		c.SetServers(now, backends.NewSet(servers))
		c.SetEvacuated(now, []string{"d1"})
		chosen := ""
		c.Submit(now, Request{
			ID: "r", Team: "farm", Service: service, Arrival: now, PromptTokens: 5000, Objective: time.Second,
			Parts: []relay.PromptPart{{ID: part, Tokens: 4500}, {ID: 1 << 40, Tokens: 500}}, Deadline: now.Add(5 * time.Second),
		}, func(d Decision) { chosen = d.Server.FailureDomain + "/" + d.Server.ID })
		return chosen
	}
	for part := range uint64(30) {
		first := choose("d0", 1, part)
		g.Expect(first).NotTo(HavePrefix("d1/"))
		g.Expect(choose("d2", 2, part)).To(Equal(first))
		g.Expect(choose("d1", 3, part)).To(Equal(first))
	}
}

// Guards against an evacuation under load that leaves requests waiting at engines which are out of use, or that fails
// requests which the other domains have room for.
func TestEvacuationUnderLoad(t *testing.T) {
	g := NewWithT(t)
	sim := newSimulation(4, 9, 0)
	var servers []*backends.Server
	for id := range sim.engines {
		var n int
		_, err := fmt.Sscanf(id, "e%d", &n)
		g.Expect(err).NotTo(HaveOccurred())
		servers = append(servers, &backends.Server{ID: id, Service: "pool", Slots: 64, FailureDomain: fmt.Sprint("d", n%3)})
	}
	for _, c := range sim.cores {
		c.SetServers(sim.now, backends.NewSet(servers))
	}
	sim.start(workload{
		team: "farm", router: -1, perSecond: 60, sessions: 20, shared: 2000, own: 500, output: 40, objective: time.Second,
	}, 6*time.Second)
	sim.after(2*time.Second, func() {
		for _, c := range sim.cores {
			c.SetEvacuated(sim.now, []string{"d1"})
		}
	})
	sim.run(5 * time.Second)
	for _, c := range sim.cores {
		for id := range c.OwnLoads() {
			g.Expect(c.servers.Get(id).FailureDomain).NotTo(Equal("d1"), "a request is 3 s after the start still there")
		}
	}
	sim.run(3 * time.Second)
	g.Expect(sim.stats["farm"].refused).To(BeZero())
	g.Expect(sim.stats["farm"].submitted).To(BeNumerically(">", 300))
}
