package admission

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"gooseberrytide.example/gooseberrytide/internal/coordination/reservation"
	"gooseberrytide.example/gooseberrytide/internal/state/backends"
	"gooseberrytide.example/gooseberrytide/internal/state/routing"
)

// newColdTest returns a core whose service has a warm-up of 12 requests a second for 3 s.
func newColdTest(servers int) *announceTest {
	a := newAnnounceTest(servers)
	a.core.SetServices([]routing.Service{{Name: "app", ColdPerSecond: 12, ColdDuration: 3 * time.Second}})
	return a
}

// writeCold makes the entry of a server say for how long it is cold.
func (a *announceTest) writeCold(server int, left time.Duration) {
	next := *a.servers[server]
	next.ColdNamed, next.ColdLeft = true, left
	a.servers[server] = &next
	a.core.SetServers(a.now, backends.NewSet(a.servers))
}

// Guards against a rate in force that is not the lower one of the limit that a server names and its warm-up.
func TestLowerRateIsInForce(t *testing.T) {
	g := NewWithT(t)
	a := newColdTest(1)
	_, limited := a.core.rate(a.now, "i-0")
	g.Expect(limited).To(BeFalse())
	a.nameLimit(0, 20)
	a.writeCold(0, 3*time.Second)
	rate, _ := a.core.rate(a.now, "i-0")
	g.Expect(rate).To(Equal(12.0))
	a.now = a.now.Add(time.Millisecond)
	a.nameLimit(0, 5)
	rate, _ = a.core.rate(a.now, "i-0")
	g.Expect(rate).To(Equal(5.0))
	rate, limited = a.core.rate(a.now.Add(time.Minute), "i-0")
	g.Expect(limited).To(BeTrue())
	g.Expect(rate).To(Equal(5.0), "the limit outlasts the warm-up")
}

// Guards against requests to a cold server that were granted before it was known to be cold, or without an answer of its
// owner.
func TestColdServerNeedsAPermit(t *testing.T) {
	g := NewWithT(t)
	a := newColdTest(1)
	a.submit(1)
	early := a.lastGranted()
	a.writeCold(0, 3*time.Second)
	g.Expect(a.core.MaySend(a.now, 0, early)).To(BeFalse())
	a.core.Finish(a.now, early, ResultCancelled)
	a.granted = nil
	a.submit(1)
	ticket := a.lastGranted()
	request, limit := a.core.reservationRequest(a.now, ticket)
	g.Expect(request.Server).To(Equal("i-0"))
	g.Expect(limit).NotTo(BeNil(), "the owner is asked for a permit")
	g.Expect(a.core.confirm(a.now, 0, ticket, reservation.Answer{}, reservation.Unanswered)).To(BeFalse())
	g.Expect(a.core.MaySend(a.now, 0, ticket)).To(BeFalse())
	a.granted = nil
	a.advance(unansweredHold + 10*time.Millisecond)
	g.Expect(a.granted).NotTo(BeEmpty(), "asked for again")
	ticket = a.lastGranted()
	permit := reservation.Answer{Granted: true, Limited: true, Owner: "r-1", PermitOnly: true}
	g.Expect(a.core.confirm(a.now, 0, ticket, permit, reservation.Answered)).To(BeTrue())
	g.Expect(a.core.MaySend(a.now, 0, ticket)).To(BeTrue())
}

// Guards against an owner that grants permits without a rate because it has not heard that the server is cold, and against
// a request for a permit that changes the limit which the owner knows.
func TestOwnerThatDoesNotKnowOfAWarmupGrantsNothing(t *testing.T) {
	g := NewWithT(t)
	owner, asker := newColdTest(1), newColdTest(1)
	asker.writeCold(0, 3*time.Second)
	entry, limited := asker.core.LimitEntry(asker.now, "i-0")
	g.Expect(limited).To(BeTrue())
	ask := func() reservation.PermitAnswer {
		answer, _ := owner.core.GrantPermit(owner.now, reservation.PermitRequest{Limit: entry})
		return answer
	}
	answer := ask()
	g.Expect(answer.Granted).To(BeFalse())
	g.Expect(answer.RetryMS).To(Equal(unansweredHold.Milliseconds()))
	owner.core.MergeWarmups(owner.now, asker.core.WarmupReports(asker.now, []string{"i-0"}))
	granted := 0
	for range 300 {
		owner.now = owner.now.Add(10 * time.Millisecond)
		if ask().Granted {
			granted++
		}
	}
	g.Expect(granted).To(BeNumerically("~", 36, 4), "12 a second for 3 s")
	owner.nameLimit(0, 5)
	ask()
	rate, _ := owner.core.rate(owner.now, "i-0")
	g.Expect(rate).To(Equal(5.0))
}

// Guards against requests that wait for a cold server until their deadline: the excess is refused with return times that
// fit its rate.
func TestExcessOverAColdServerIsRefused(t *testing.T) {
	g := NewWithT(t)
	a := newColdTest(1)
	a.core.SetFleet(1, 1)
	a.writeCold(0, 3*time.Second)
	a.core.holdBack(a.now, "i-0", time.Second)
	a.submit(12)
	g.Expect(a.reasons).To(HaveLen(12))
	g.Expect(a.reasons).To(HaveEach(ReasonLimited))
	g.Expect(a.retryAfter[11]).To(BeNumerically("~", 2*time.Second, 50*time.Millisecond))
}
