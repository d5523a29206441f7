package admission

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"gooseberrytide.example/gooseberrytide/internal/coordination/reservation"
	"gooseberrytide.example/gooseberrytide/internal/coordination/serverdrain"
	"gooseberrytide.example/gooseberrytide/internal/state/backends"
	"gooseberrytide.example/gooseberrytide/internal/state/routing"
)

// announceTest is a core with servers of one plain service.
type announceTest struct {
	core    *Core
	now     time.Time
	servers []*backends.Server
	service *routing.Service
	// retryAfter holds the retry times of refused requests.
	retryAfter []time.Duration
	reasons    []Reason
	granted    []*Ticket
	submitted  int
}

func newAnnounceTest(servers int) *announceTest {
	a := &announceTest{
		core: New(Options{ShareWindow: 4 * time.Second, Seed: 1}), now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		service: &routing.Service{Name: "app"},
	}
	for i := range servers {
		a.servers = append(a.servers, &backends.Server{
			ID: fmt.Sprintf("i-%d", i), Service: "app", Address: fmt.Sprintf("10.0.0.%d:80", i), Slots: 16, StartedAt: 1,
		})
	}
	a.core.SetServers(a.now, backends.NewSet(a.servers))
	return a
}

// submit submits n requests with an objective of 300 ms.
func (a *announceTest) submit(n int) {
	for range n {
		a.submitted++
		var t *Ticket
		var decided *Decision
		t = a.core.Submit(a.now, Request{
			ID: fmt.Sprint("r", a.submitted), Team: "farm", Kind: "callout", Service: a.service, Arrival: a.now,
			Objective: 300 * time.Millisecond, Deadline: a.now.Add(3 * time.Second),
		}, func(d Decision) {
			decided = &d
			if t != nil {
				a.record(t, d)
			}
		})
		if decided != nil {
			a.record(t, *decided)
		}
	}
}

func (a *announceTest) record(t *Ticket, d Decision) {
	if d.Server == nil {
		a.retryAfter = append(a.retryAfter, d.RetryAfter)
		a.reasons = append(a.reasons, d.Reason)
		return
	}
	a.granted = append(a.granted, t)
}

// finishAll completes the granted requests.
func (a *announceTest) finishAll() {
	for _, t := range a.granted {
		a.core.Finish(a.now, t, ResultOK)
	}
	a.granted = nil
}

func (a *announceTest) advance(d time.Duration) {
	for end := a.now.Add(d); a.now.Before(end); {
		a.now = a.now.Add(5 * time.Millisecond)
		a.core.Advance(a.now)
	}
}

// Guards against requests that are placed on a server after it has announced that it leaves, and against a request that
// was placed before and is sent afterwards.
func TestLeavingServerGetsNoFurtherRequests(t *testing.T) {
	g := NewWithT(t)
	a := newAnnounceTest(2)
	a.submit(8)
	g.Expect(a.granted).To(HaveLen(8))
	leaving := a.granted[0].server
	g.Expect(a.core.Announce(a.now, a.granted[0], Announcement{Leaving: true}).Leaving).To(BeTrue())
	g.Expect(a.core.Announce(a.now, a.granted[0], Announcement{Leaving: true}).Leaving).To(BeFalse(), "it is known")
	for _, ticket := range a.granted {
		g.Expect(a.core.MaySend(a.now, 0, ticket)).To(Equal(ticket.server.ID != leaving.ID))
	}
	a.core.SetServers(a.now, backends.NewSet(a.servers)) // the store still lists it as ready
	a.granted = nil
	a.submit(8)
	g.Expect(a.granted).NotTo(BeEmpty())
	for _, ticket := range a.granted {
		g.Expect(ticket.server.ID).NotTo(Equal(leaving.ID))
	}
	restarted := *leaving
	restarted.StartedAt++
	a.core.SetServers(a.now, backends.NewSet([]*backends.Server{&restarted}))
	a.granted = nil
	a.submit(1)
	g.Expect(a.granted).To(HaveLen(1), "the next incarnation is not bound")
}

// Guards against requests that are sent to a server before the pause has ended that it asked for, probes included, and
// against all routers sending what waits at the same moment when it ends.
func TestPausedServerGetsNothingBeforeItsTime(t *testing.T) {
	g := NewWithT(t)
	a := newAnnounceTest(1)
	a.submit(1)
	ticket := a.granted[0]
	a.core.Announce(a.now, ticket, Announcement{Pause: 2 * time.Second})
	a.core.Finish(a.now, ticket, ResultUnreachable) // an ejection shorter than the pause
	a.core.Announce(a.now, ticket, Announcement{Pause: time.Second})
	end := a.now.Add(2 * time.Second)
	a.granted = nil
	for a.now.Add(5 * time.Millisecond).Before(end) {
		a.submit(1)
		a.advance(5 * time.Millisecond)
		g.Expect(a.granted).To(BeEmpty(), "%v before the end", end.Sub(a.now))
	}
	a.advance(5 * time.Millisecond)
	for i, most := range []int{1, 2, 4, 8} {
		a.submit(16)
		g.Expect(len(a.granted)).To(BeNumerically("<=", most), "step %d", i)
		a.advance(reopenStep)
		a.finishAll()
	}
	a.advance(maxReopenSteps * reopenStep)
	a.finishAll()
	a.submit(16)
	usual := newAnnounceTest(1)
	usual.submit(16)
	g.Expect(len(a.granted)).To(Equal(len(usual.granted)), "the usual limits apply again")
}

// Guards against callers that are told to return before any server takes requests again, or all at the same moment, and
// against requests that wait although they cannot be served in time.
func TestCallersReturnAfterThePauseOfAllServers(t *testing.T) {
	g := NewWithT(t)
	a := newAnnounceTest(2)
	a.submit(8)
	for _, ticket := range a.granted {
		pause := 3 * time.Second
		if ticket.server.ID == "i-1" {
			pause = 2 * time.Second
		}
		a.core.Announce(a.now, ticket, Announcement{Pause: pause})
		a.core.Finish(a.now, ticket, ResultFull)
	}
	a.submit(20)
	a.advance(10 * time.Millisecond)
	g.Expect(a.retryAfter).To(HaveLen(20), "refused at once")
	different := make(map[time.Duration]bool)
	for i, d := range a.retryAfter {
		g.Expect(a.reasons[i]).To(Equal(ReasonPaused))
		g.Expect(d).To(BeNumerically("~", 2300*time.Millisecond, 320*time.Millisecond))
		g.Expect(d).To(BeNumerically(">=", 1990*time.Millisecond))
		different[d] = true
	}
	g.Expect(len(different)).To(BeNumerically(">", 10))
}

// Guards against refusals while the only server is in a pause that is shorter than the request can wait.
func TestRequestsWaitForAShortPause(t *testing.T) {
	g := NewWithT(t)
	a := newAnnounceTest(1)
	a.submit(1)
	a.core.Announce(a.now, a.granted[0], Announcement{Pause: 50 * time.Millisecond})
	a.core.Finish(a.now, a.granted[0], ResultFull)
	a.granted = nil
	a.submit(1)
	a.advance(60 * time.Millisecond)
	g.Expect(a.reasons).To(BeEmpty())
	g.Expect(a.granted).To(HaveLen(1))
}

// Guards against a pause that lasts longer by the time for which the VM was suspended.
func TestPauseCountsSuspendedTime(t *testing.T) {
	g := NewWithT(t)
	a := newAnnounceTest(1)
	a.submit(1)
	a.core.Announce(a.now, a.granted[0], Announcement{Pause: 10 * time.Second})
	a.core.Finish(a.now, a.granted[0], ResultFull)
	a.core.SkipSuspended(10 * time.Second)
	a.granted = nil
	a.submit(1)
	a.advance(5 * time.Millisecond)
	g.Expect(a.granted).To(HaveLen(1))
}

// Guards against owners that grant capacity of a leaving server, and against a request that asks for it again and again.
func TestOwnersDenyLeavingServers(t *testing.T) {
	g := NewWithT(t)
	owner, a := newAnnounceTest(2), newAnnounceTest(2)
	incarnation := []serverdrain.Incarnation{serverdrain.IncarnationOf(owner.servers[0])}
	g.Expect(owner.core.ReportDraining("r", incarnation)).To(Equal([]string{"i-0"}))
	answer := owner.core.Reserve(owner.now, reservation.Request{
		ID: 7, Router: "q", Server: "i-0", Limits: reservation.Limits{Running: 9, PendingTokens: -1},
	})
	g.Expect(answer.Granted).To(BeFalse())
	g.Expect(answer.Draining).To(BeTrue())
	for len(a.granted) == 0 || a.granted[len(a.granted)-1].server.ID != "i-0" {
		a.submit(1)
	}
	ticket := a.granted[len(a.granted)-1]
	g.Expect(a.core.confirm(a.now, 0, ticket, answer, reservation.Answered)).To(BeFalse())
	g.Expect(ticket.server.ID).To(Equal("i-1"), "it is placed elsewhere, though this router has not heard of the leaving")
}

// Guards against requests to a server that has asked for a pause, does not reach the store, and comes back there with the
// same start; and against a pause that binds the next incarnation.
func TestPauseHoldsWhileTheEntryHasLapsed(t *testing.T) {
	g := NewWithT(t)
	a := newAnnounceTest(1)
	a.submit(2)
	first, second := a.granted[0], a.granted[1]
	lapse := func() { a.core.SetServers(a.now, backends.NewSet(nil)) }
	comeBack := func(s backends.Server) { a.core.SetServers(a.now, backends.NewSet([]*backends.Server{&s})) }
	a.core.Announce(a.now, first, Announcement{Pause: 2 * time.Second})
	lapse()
	g.Expect(a.core.MaySend(a.now, 0, second)).To(BeFalse())
	a.core.Announce(a.now, second, Announcement{Pause: 3 * time.Second})
	a.core.Finish(a.now, first, ResultCancelled)
	a.core.Finish(a.now, second, ResultCancelled)
	comeBack(*first.server)
	a.granted = nil
	a.submit(1)
	a.advance(2900 * time.Millisecond)
	g.Expect(a.granted).To(BeEmpty())
	restarted := *first.server
	restarted.StartedAt++
	comeBack(restarted)
	a.submit(1)
	g.Expect(a.granted).NotTo(BeEmpty(), "the next incarnation is not bound")
	for _, ticket := range a.granted {
		a.core.Finish(a.now, ticket, ResultCancelled)
	}
	comeBack(*first.server)
	a.granted = nil
	a.submit(1)
	g.Expect(a.granted).To(BeEmpty(), "the entry of the next start was that of another writer")
	a.advance(200 * time.Millisecond)
	g.Expect(a.granted).NotTo(BeEmpty())
	lapse()
	a.advance(maxReopenSteps * reopenStep)
	g.Expect(a.core.pauses).To(BeEmpty())
}
