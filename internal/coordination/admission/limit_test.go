package admission

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"gooseberrytide.example/gooseberrytide/internal/coordination/ratelimit"
	"gooseberrytide.example/gooseberrytide/internal/coordination/reservation"
	"gooseberrytide.example/gooseberrytide/internal/coordination/serverlimit"
	"gooseberrytide.example/gooseberrytide/internal/state/backends"
	"gooseberrytide.example/gooseberrytide/internal/state/relay"
	"gooseberrytide.example/gooseberrytide/internal/state/routing"
)

// nameLimit makes a server name a limit in a response that arrives now.
func (a *announceTest) nameLimit(server int, rate float64) {
	s := serverlimit.Statement{Limited: true, Rate: rate, SentAt: a.now.Add(-time.Millisecond), ReceivedAt: a.now}
	a.core.limits.Receive(a.servers[server], s)
}

// lastGranted returns the last granted request.
func (a *announceTest) lastGranted() *Ticket { return a.granted[len(a.granted)-1] }

// Guards against a permit that is used after it has run out because the router was suspended or a connection took long to
// open, and against one that a limit which was named after the grant does not require.
func TestLapsedPermitIsNotUsed(t *testing.T) {
	g := NewWithT(t)
	a := newAnnounceTest(1)
	a.submit(1)
	early := a.granted[0]
	a.nameLimit(0, 5)
	g.Expect(a.core.MaySend(a.now, 0, early)).To(BeFalse(), "granted before the limit was known")
	a.submit(1)
	ticket := a.lastGranted()
	const clock = 10 * time.Second
	answer := reservation.Answer{Granted: true, Limited: true, Owner: "r-1", PermitOnly: true}
	g.Expect(a.core.confirm(a.now, clock, ticket, answer, reservation.Answered)).To(BeTrue())
	// The clock of the process stands still during a suspension.
	g.Expect(a.core.MaySend(a.now, clock+ratelimit.Lifetime, ticket)).To(BeFalse())
	g.Expect(a.core.permitCounts.Lapsed).To(BeEquivalentTo(1))
	g.Expect(a.core.MaySend(a.now, clock, ticket)).To(BeFalse(), "it has lapsed for good")
	a.core.Finish(a.now, ticket, ResultCancelled)
	g.Expect(a.core.TakeReturns()).To(BeEmpty(), "its owner may have granted the next one meanwhile")
	a.submit(1)
	ticket = a.lastGranted()
	g.Expect(a.core.confirm(a.now, clock, ticket, answer, reservation.Answered)).To(BeTrue())
	g.Expect(a.core.MaySend(a.now, clock+ratelimit.Lifetime-1, ticket)).To(BeTrue())
}

// Guards against permits that are lost because the request that asked for them is not sent, and against one that is given
// back although the request was sent.
func TestUnusedPermitsAreGivenBack(t *testing.T) {
	g := NewWithT(t)
	a := newAnnounceTest(1)
	a.nameLimit(0, 5)
	answer := reservation.Answer{Granted: true, Limited: true, Owner: "r-1", PermitOnly: true}
	for _, sent := range []bool{false, true} {
		a.submit(1)
		ticket := a.lastGranted()
		g.Expect(a.core.confirm(a.now, 0, ticket, answer, reservation.Answered)).To(BeTrue())
		if sent {
			g.Expect(a.core.MaySend(a.now, 0, ticket)).To(BeTrue())
		}
		a.core.Finish(a.now, ticket, ResultCancelled)
		want := []PermitReturn{{Owner: "r-1", Message: reservation.PermitReturn{Server: "i-0", StartedAt: 1, Count: 1}}}
		if sent {
			want = nil
		}
		g.Expect(a.core.TakeReturns()).To(Equal(want))
	}
	owner := newAnnounceTest(1)
	owner.nameLimit(0, 5)
	granted := 0
	take := func() {
		if ok, _ := owner.core.takePermit(owner.now, "i-0", false); ok {
			granted++
		}
	}
	take()
	owner.now = owner.now.Add(time.Second)
	for range 5 {
		take()
	}
	g.Expect(granted).To(Equal(2))
	for _, m := range []reservation.PermitReturn{
		{Server: "i-0", StartedAt: 1, Count: 1}, {Server: "i-0", StartedAt: 2, Count: 5}, {Server: "i-9", StartedAt: 1, Count: 5},
		{Server: "i-0", StartedAt: 1, Count: -5},
	} {
		owner.core.ReceiveReturn(owner.now, m)
	}
	for range 5 {
		take()
	}
	g.Expect(granted).To(Equal(3), "returns of another incarnation do not count")
}

// Guards against a request that is sent by the router's own knowledge because the router that grants the permits does not
// answer, or does not know of the limit.
func TestNoRequestWithoutAnAnswer(t *testing.T) {
	for name, outcome := range map[string]reservation.Outcome{
		"no answer": reservation.Unanswered, "the owner does not know": reservation.Answered,
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			a := newAnnounceTest(2)
			a.nameLimit(0, 5)
			for len(a.granted) == 0 || a.lastGranted().server.ID != "i-0" {
				a.submit(1)
			}
			ticket := a.lastGranted()
			g.Expect(a.core.confirm(a.now, 0, ticket, reservation.Answer{Granted: true}, outcome)).To(BeFalse())
			g.Expect(ticket.server.ID).To(Equal("i-1"), "it goes to a server without a limit at once")
			before := a.core.permitStates["i-0"].heldBack
			g.Expect(before.Sub(a.now)).To(Equal(unansweredHold))
			a.granted = nil
			a.submit(5)
			for _, t := range a.granted {
				g.Expect(t.server.ID).To(Equal("i-1"))
			}
		})
	}
}

// Guards against many requests that ask for permits of one server at the same moment.
func TestOnePermitOfAServerIsAskedForAtATime(t *testing.T) {
	g := NewWithT(t)
	a := newAnnounceTest(1)
	a.nameLimit(0, 5)
	a.submit(6)
	g.Expect(a.granted).To(HaveLen(1))
	g.Expect(a.core.confirm(a.now, 0, a.granted[0], reservation.Answer{Limited: true, RetryIn: 50 * time.Millisecond},
		reservation.Answered)).To(BeFalse())
	a.advance(45 * time.Millisecond)
	g.Expect(a.granted).To(HaveLen(1), "none is asked for before the time that the owner has named")
	a.advance(10 * time.Millisecond)
	g.Expect(a.granted).To(HaveLen(2))
	g.Expect(a.reasons).To(BeEmpty(), "the others wait")
}

// Guards against requests that wait at a limited server until their deadline, and against clients that all return before
// it takes that many: they return at the rate that the servers take.
func TestExcessIsRefusedWithReturnsThatFitTheLimits(t *testing.T) {
	g := NewWithT(t)
	a := newAnnounceTest(2)
	a.core.SetFleet(1, 1)
	a.nameLimit(0, 4)
	a.nameLimit(1, 6)
	for _, s := range a.servers {
		a.core.holdBack(a.now, s.ID, ratelimit.MaxRetry)
	}
	a.submit(30)
	g.Expect(a.reasons).To(HaveLen(30), "refused at once")
	g.Expect(a.reasons).To(HaveEach(ReasonLimited))
	slices.Sort(a.retryAfter)
	for i, d := range a.retryAfter {
		// Ten a second from the time at which the servers take requests again.
		g.Expect(d).To(BeNumerically("~", ratelimit.MaxRetry+time.Duration(i+1)*100*time.Millisecond, 10*time.Millisecond))
	}
	a.submit(100)
	g.Expect(slices.Max(a.retryAfter)).To(BeNumerically("<=", time.Duration(1.3*float64(maxReturnTime))))
}

// Guards against the permits of limited engines that go to short prompts, while the long ones fill the engines without a
// limit: a limit counts requests, not tokens.
func TestLongPromptsGetThePermits(t *testing.T) {
	g := NewWithT(t)
	c := New(Options{ShareWindow: 4 * time.Second, Seed: 1})
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	service := &routing.Service{Name: "pool", Engine: &routing.Engine{Slots: 64, CacheTokens: 500000}}
	var servers []*backends.Server
	for i := range 4 {
		servers = append(servers, &backends.Server{ID: fmt.Sprintf("i-%d", i), Service: "pool", Address: fmt.Sprintf("10.0.0.%d:80", i), Slots: 64})
	}
	c.SetServers(now, backends.NewSet(servers))
	for _, s := range servers[:2] {
		c.limits.Receive(s, serverlimit.Statement{Limited: true, Rate: 5, SentAt: now, ReceivedAt: now})
	}
	longAtLimited, shortAtLimited := 0, 0
	for i := range 400 {
		now = now.Add(10 * time.Millisecond)
		tokens := 800
		if i%4 == 0 {
			tokens = 12000
		}
		c.Submit(now, Request{
			ID: fmt.Sprint("r", i), Team: "farm", Kind: "k", Service: service, Arrival: now, PromptTokens: tokens, OutputTokens: 40,
			Parts: []relay.PromptPart{{ID: uint64(1000 + i), Tokens: tokens}}, Objective: time.Second,
			Deadline: now.Add(5 * time.Second),
		}, func(d Decision) {
			if d.Server == nil || c.limits.Len() == 0 {
				return
			}
			if _, limited := c.limits.Rate(now, d.Server.ID); limited && tokens > 800 {
				longAtLimited++
			} else if limited {
				shortAtLimited++
			}
		})
		// The owner grants each permit, and all requests end at once.
		for _, s := range c.permitStates {
			s.requested = 0
		}
		for server, l := range c.OwnLoads() {
			c.loads.Remove(server, l)
		}
	}
	g.Expect(longAtLimited).To(BeNumerically(">", 30), "of 100 long prompts, on two of four engines")
	g.Expect(shortAtLimited).To(BeNumerically("<", 30), "of 300 short ones")
}

// Guards against a limited server that counts as limited after another incarnation has taken its ID.
func TestRestartedServerNeedsNoPermit(t *testing.T) {
	g := NewWithT(t)
	a := newAnnounceTest(1)
	a.nameLimit(0, 5)
	a.core.holdBack(a.now, "i-0", time.Minute)
	restarted := *a.servers[0]
	restarted.StartedAt++
	a.core.SetServers(a.now, backends.NewSet([]*backends.Server{&restarted}))
	a.submit(3)
	g.Expect(a.granted).To(HaveLen(3))
}

// Guards against a router that asks an owner for permits in a loop because it has heard that the limit has ended and the
// owner has not. In virtual time a fleet of 295 routers sent messages without end.
func TestOwnerThatDeniesAPermitIsNotAskedInALoop(t *testing.T) {
	g := NewWithT(t)
	a := newAnnounceTest(1)
	a.submit(1)
	ticket := a.granted[0]
	denied := reservation.Answer{Limited: true, RetryIn: 50 * time.Millisecond}
	g.Expect(a.core.confirm(a.now, 0, ticket, denied, reservation.Answered)).To(BeFalse())
	g.Expect(a.granted).To(HaveLen(1))
	a.advance(45 * time.Millisecond)
	g.Expect(a.granted).To(HaveLen(1))
	a.advance(10 * time.Millisecond)
	g.Expect(a.granted).To(HaveLen(2))
}
