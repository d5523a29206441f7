package serverdrain

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"gooseberrytide.example/gooseberrytide/internal/state/backends"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newServer(id string, startedAt int64) *backends.Server {
	return &backends.Server{ID: id, Service: "pool", Address: "10.0.0.1:80", StartedAt: startedAt}
}

func pool(n int) []*backends.Server {
	servers := make([]*backends.Server, n)
	for i := range servers {
		servers[i] = newServer(fmt.Sprintf("i-%d", i), 1)
	}
	return servers
}

// Guards against requests to a leaving server that the store lists as ready, or that is missing there for a while, and
// against a new incarnation that gets none.
func TestAnnouncementHoldsUntilTheIncarnationIsGone(t *testing.T) {
	g := NewWithT(t)
	r := New()
	first := newServer("i-0", 1)
	r.SetServers(start, backends.NewSet([]*backends.Server{first}))
	g.Expect(r.Receive(start, first)).To(BeTrue())
	g.Expect(r.Receive(start, first)).To(BeFalse(), "it is known")
	g.Expect(r.Draining(first)).To(BeTrue())
	r.SetServers(start, backends.NewSet(nil))
	copied := *first
	r.SetServers(start.Add(absenceRetention), backends.NewSet([]*backends.Server{&copied}))
	g.Expect(r.Draining(&copied)).To(BeTrue(), "an older copy of the store lists it again")
	second := newServer("i-0", 2)
	r.SetServers(start, backends.NewSet([]*backends.Server{second}))
	g.Expect(r.Draining(second)).To(BeFalse())
	g.Expect(r.Receive(start, first)).To(BeFalse(), "a late response of the first incarnation")
	g.Expect(r.Draining(second)).To(BeFalse())
}

// Guards against requests to a leaving server whose entry another writer has overwritten with that of another start, until
// the server writes it again.
func TestAnnouncementHoldsAfterAnEntryOfAnotherWriter(t *testing.T) {
	g := NewWithT(t)
	r := New()
	first, odd := newServer("i-0", 1), newServer("i-0", 9)
	r.SetServers(start, backends.NewSet([]*backends.Server{first}))
	r.Receive(start, first)
	r.SetServers(start, backends.NewSet([]*backends.Server{odd}))
	g.Expect(r.Announced("i-0")).To(BeFalse())
	g.Expect(r.Draining(first)).To(BeTrue(), "a request that was granted before")
	again := *first
	r.SetServers(start.Add(time.Second), backends.NewSet([]*backends.Server{&again}))
	g.Expect(r.Announced("i-0")).To(BeTrue())
	g.Expect(r.Received()).To(Equal([]Incarnation{IncarnationOf(first)}))
}

// Guards against servers that restart one after another and use up what the word of one router may take out of use.
func TestReplacedIncarnationsDoNotCountAsTakenOut(t *testing.T) {
	g := NewWithT(t)
	r := New()
	for startedAt := range int64(6) {
		server := newServer("i-0", startedAt+1)
		r.SetServers(start, backends.NewSet([]*backends.Server{server}))
		g.Expect(r.Report("router-a", []Incarnation{IncarnationOf(server)})).To(Equal([]string{"i-0"}))
	}
}

// Guards against announcements that are kept for servers that never come back.
func TestAnnouncementsOfGoneServersAreForgotten(t *testing.T) {
	g := NewWithT(t)
	r := New()
	server := newServer("i-0", 1)
	r.SetServers(start, backends.NewSet([]*backends.Server{server}))
	r.Receive(start, server)
	for _, age := range []time.Duration{0, absenceRetention + time.Second} {
		r.SetServers(start.Add(age), backends.NewSet(nil))
	}
	g.Expect(r.Len()).To(BeZero())
}

// Guards against a router whose false or repeated reports take all servers out of use.
func TestOneRouterCannotEmptyAService(t *testing.T) {
	g := NewWithT(t)
	r := New()
	servers := pool(8)
	r.SetServers(start, backends.NewSet(servers))
	var all []Incarnation
	for _, s := range servers {
		all = append(all, IncarnationOf(s))
	}
	for range 3 {
		r.Report("router-a", all)
	}
	g.Expect(r.Len()).To(Equal(2), "a quarter of the service")
	g.Expect(r.Report("router-b", all[:5])).To(HaveLen(3), "two routers agree on five servers")
	g.Expect(r.Len()).To(BeNumerically(">=", 5))
	g.Expect(r.Draining(servers[7])).To(BeFalse())
	r.Receive(start, servers[7])
	g.Expect(r.Draining(servers[7])).To(BeTrue(), "its own word is not bounded")
}

// Guards against reports of an earlier incarnation, and against a small service that ignores reports.
func TestReportsNameAnIncarnation(t *testing.T) {
	g := NewWithT(t)
	r := New()
	server := newServer("i-0", 2)
	r.SetServers(start, backends.NewSet([]*backends.Server{server}))
	g.Expect(r.Report("a", []Incarnation{{Server: "i-0", StartedAt: 1}, {Server: "i-9", StartedAt: 1}})).To(BeEmpty())
	g.Expect(r.Report("a", []Incarnation{{Server: "i-0", StartedAt: 2}})).To(Equal([]string{"i-0"}))
	g.Expect(r.Received()).To(BeEmpty(), "what others received is not reported again")
}

// Guards against a report that does not fit a datagram, and against one that lacks the latest announcements.
func TestReportedAnnouncementsAreTheLatest(t *testing.T) {
	g := NewWithT(t)
	r := New()
	servers := pool(maxReported + 4)
	r.SetServers(start, backends.NewSet(servers))
	for i, s := range servers {
		r.Receive(start.Add(time.Duration(i)*time.Second), s)
	}
	list := r.Received()
	g.Expect(list).To(HaveLen(maxReported))
	g.Expect(list[0].Server).To(Equal(servers[len(servers)-1].ID))
	shown := *servers[len(servers)-1]
	shown.Draining = true
	r.SetServers(start, backends.NewSet([]*backends.Server{servers[0], &shown}))
	g.Expect(r.Received()).To(Equal([]Incarnation{IncarnationOf(servers[0])}), "the store shows or lacks the others")
}
