package admission

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"gooseberrytide.example/gooseberrytide/internal/coordination/engineload"
	"gooseberrytide.example/gooseberrytide/internal/coordination/reservation"
)

// digest is a workload of long prompts with a long shared part.
func digest(team string, router int, perSecond float64) workload {
	return workload{team: team, router: router, perSecond: perSecond, sessions: 10, shared: 4800, own: 6000,
		output: 300, objective: time.Second}
}

// chat is a workload of short prompts with long answers.
func chat(team string, router int, perSecond float64) workload {
	return workload{team: team, router: router, perSecond: perSecond, sessions: 10, shared: 200, own: 600, output: 250,
		objective: 600 * time.Millisecond}
}

// Load pattern: a steady mix at half of the engines' capacity. Guards against refusals while engines have free
// capacity.
func TestCalmLoadIsServedOnTime(t *testing.T) {
	g := NewWithT(t)
	sim := newSimulation(4, 4, 100_000)
	sim.start(digest("a", -1, 6), 20*time.Second)
	sim.start(chat("b", -1, 15), 20*time.Second)
	sim.run(30 * time.Second)
	logStats(t, sim)
	for _, s := range sim.stats {
		g.Expect(s.refused).To(BeZero())
		g.Expect(float64(s.onTime)).To(BeNumerically(">", 0.97*float64(s.submitted)))
	}
}

// Load pattern: one team sends many times its share through all routers, while two small teams each send few requests
// through one router. Guards against small teams whose requests wait behind the flood.
func TestFloodingTeamLeavesOthersOnTime(t *testing.T) {
	g := NewWithT(t)
	sim := newSimulation(4, 4, 90_000)
	sim.start(digest("flood", -1, 80), 20*time.Second)
	sim.start(digest("small", 0, 2), 20*time.Second)
	sim.start(chat("chats", 1, 6), 20*time.Second)
	sim.run(30 * time.Second)
	logStats(t, sim)
	for _, team := range []string{"small", "chats"} {
		s := sim.stats[team]
		g.Expect(float64(s.onTime)).To(BeNumerically(">", 0.8*float64(s.submitted)), team)
	}
	g.Expect(sim.stats["flood"].refused).To(BeNumerically(">", 0))
}

// Load pattern: two teams overload the engines equally, one through all routers, the other through a single router.
// Guards against shares that depend on the number of routers that a team uses.
func TestSharesDoNotDependOnRouters(t *testing.T) {
	g := NewWithT(t)
	sim := newSimulation(4, 4, 90_000)
	sim.start(digest("wide", -1, 60), 20*time.Second)
	sim.start(digest("narrow", 2, 60), 20*time.Second)
	sim.run(30 * time.Second)
	logStats(t, sim)
	g.Expect(sim.stats["narrow"].tokens).To(BeNumerically(">", 0.5*sim.stats["wide"].tokens))
}

// Load pattern: sessions with long shared parts, at a load that the engines can serve only if they have them cached.
// Guards against shared parts that are prefilled again on one engine after another.
func TestSharedPartsStayCached(t *testing.T) {
	g := NewWithT(t)
	sim := newSimulation(4, 4, 200_000)
	sim.start(digest("a", -1, 12), 20*time.Second)
	sim.run(30 * time.Second)
	logStats(t, sim)
	total := sim.stats["a"].submitted * 4800
	g.Expect(float64(sim.repeatedPrefillTokens())).To(BeNumerically("<", 0.08*float64(total)))
}

// Load pattern: one team sends long prompts with a long objective and short prompts with a short one, at several times
// the capacity of the engines. Guards against starvation of one kind of request: in order of arrival the long prompts
// wait as long as they may, and no short one reaches the head of the queue in time.
func TestKindsOfATeamShareService(t *testing.T) {
	g := NewWithT(t)
	sim := newSimulation(2, 2, 80_000)
	long, short := digest("farm", 0, 50), chat("farm", 0, 10)
	long.kind, short.kind = "digest", "chat"
	sim.start(long, 20*time.Second)
	sim.start(short, 20*time.Second)
	sim.run(30 * time.Second)
	logStats(t, sim)
	chats, digests := sim.stats["farmchat"], sim.stats["farmdigest"]
	g.Expect(float64(chats.onTime)).To(BeNumerically(">", 0.7*float64(chats.submitted)))
	g.Expect(float64(digests.onTime)).To(BeNumerically(">", 0.1*float64(digests.submitted)))
}

// Load pattern: requests of one team with different priorities wait together. Guards against a less urgent kind that
// precedes a more urgent one because it has received less service, and against a repeat that waits behind new requests.
func TestUrgentKindsGoFirst(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	q := newQueue()
	add := func(kind string, priority int, repeat bool) *Ticket {
		tk := &Ticket{
			Request: Request{Team: "t", Kind: kind, Priority: priority, Repeat: repeat, Arrival: now}, cost: 10,
		}
		q.add(tk)
		return tk
	}
	late, urgent := add("late", 5, false), add("urgent", 1, false)
	q.recordGrant(now, urgent)
	heads := func() []*Ticket { return q.teams["t"].heads(now, q.grantedByFlow) }
	g.Expect(heads()).To(Equal([]*Ticket{urgent, late}))
	repeat := add("late", 5, true)
	g.Expect(heads()).To(Equal([]*Ticket{repeat, urgent}))
	q.remove(repeat)
	other := add("other", 1, false)
	g.Expect(heads()).To(Equal([]*Ticket{other, urgent, late}), "least service first at the same priority")
	for _, tk := range []*Ticket{late, urgent, other} {
		q.remove(tk)
	}
	g.Expect(q.teams).To(BeEmpty())
	g.Expect(q.size).To(BeZero())
}

// Load pattern: a team sends far more than the engines can serve. Guards against requests that are refused only after a
// long wait, and against a queue in which all requests wait for the longest time.
func TestExcessIsRefusedEarly(t *testing.T) {
	g := NewWithT(t)
	sim := newSimulation(2, 2, 40_000)
	sim.start(digest("flood", -1, 100), 10*time.Second)
	sim.run(20 * time.Second)
	logStats(t, sim)
	s := sim.stats["flood"]
	g.Expect(s.maxRefusedWait).To(BeNumerically("<=", 750*time.Millisecond))
	g.Expect(s.onTime).To(BeNumerically(">", 2*s.late))
}

// Load pattern: a team sends far more than its share through one router while two others overload the engines through
// all routers. Guards against excess that is held for most of the objective before it is refused, and against a queue
// in which every request waits so long that its first event is late.
func TestExcessOfStarvedTeamIsRefusedEarly(t *testing.T) {
	g := NewWithT(t)
	sim := newSimulation(4, 4, 0)
	sim.start(digest("narrow", 2, 400), 20*time.Second)
	sim.start(digest("wide", -1, 60), 20*time.Second)
	sim.start(chat("wider", -1, 200), 20*time.Second)
	sim.run(30 * time.Second)
	logStats(t, sim)
	s := sim.stats["narrow"]
	g.Expect(s.refusedWait / time.Duration(s.refused)).To(BeNumerically("<", 100*time.Millisecond))
	g.Expect(s.onTime).To(BeNumerically(">", 2*s.late))
	g.Expect(s.tokens).To(BeNumerically(">", 0.5*sim.stats["wide"].tokens))
}

// Load pattern: many routers overload few engines, and their reports are older than the time in which an engine
// prefills several prompts. Guards against routers that all send to the same engines: without owners of loads, most
// first events are late.
func TestOwnersPreventOverload(t *testing.T) {
	g := NewWithT(t)
	simulate := func(owners bool) (late, onTime int) {
		sim := newSimulationWithPeriod(24, 12, 500_000, largeFleetReportPeriod)
		sim.owners = owners
		for _, team := range []string{"a", "bb", "ccc", "dddd"} {
			sim.start(digest(team, -1, 25), 20*time.Second)
		}
		sim.run(30 * time.Second)
		logStats(t, sim)
		t.Logf("owners %t: %d grants denied", owners, sim.denied)
		for _, s := range sim.stats {
			late += s.late
			onTime += s.onTime
		}
		return late, onTime
	}
	late, onTime := simulate(false)
	lateOwned, onTimeOwned := simulate(true)
	g.Expect(float64(lateOwned)).To(BeNumerically("<", 0.5*float64(late)))
	g.Expect(onTimeOwned).To(BeNumerically(">", onTime))
}

// Load pattern: an owner denies a grant after the request has waited too long. Guards against a request that is left
// out of the queue without a decision, or gets two decisions.
func TestDeniedRequestIsDecidedOnce(t *testing.T) {
	g := NewWithT(t)
	sim := newSimulation(1, 1, 0)
	core, now := sim.cores[0], sim.now
	var decisions []Decision
	tk := core.Submit(now, Request{Service: sim.service, PromptTokens: 10, Arrival: now, Objective: time.Second,
		Deadline: now.Add(time.Second)}, func(d Decision) { decisions = append(decisions, d) })
	g.Expect(decisions).To(HaveLen(1))
	now = now.Add(900 * time.Millisecond)
	full := engineload.Load{Running: 1000}
	g.Expect(core.confirm(now, 0, tk, reservation.Answer{Total: full}, reservation.Answered)).To(BeFalse())
	g.Expect(decisions).To(HaveLen(2))
	g.Expect(decisions[1].Reason).To(Equal(ReasonLate))
	g.Expect(core.OwnLoads()).To(BeEmpty())
	g.Expect(core.Waiting()).To(BeZero())
	g.Expect(core.accounts.Served(now, "")).To(BeZero(), "a denied grant is not charged to the team")
}

// Load pattern: all servers are full and owners deny one grant after another. Guards against a scan of all waiting
// requests after each denial: it took most of a small router's CPU, and requests reached the engines seconds late.
func TestDeniedGrantReschedulesOneRequest(t *testing.T) {
	g := NewWithT(t)
	sim := newSimulation(1, 2, 0)
	core, now := sim.cores[0], sim.now
	newRequest := func(team string) Request {
		return Request{Team: team, Service: sim.service, PromptTokens: 10, Arrival: now, Objective: time.Second,
			Deadline: now.Add(time.Second)}
	}
	granted := make(map[string]int)
	submit := func(team string) *Ticket {
		return core.Submit(now, newRequest(team), func(Decision) { granted[team]++ })
	}
	setTotal := func(server string, running int) {
		core.SetTotals(now, []reservation.ServerLoad{{Server: server, Load: engineload.Load{Running: running}}})
	}
	first := submit("a")
	setTotal("e00", 1000)
	setTotal("e01", 1000)
	submit("b")
	g.Expect(granted).To(Equal(map[string]int{"a": 1}))
	free := map[string]string{"e00": "e01", "e01": "e00"}[first.server.ID]
	setTotal(free, 0)
	g.Expect(core.confirm(now, 0, first, reservation.Answer{Total: engineload.Load{Running: 1000}}, reservation.Answered)).To(BeFalse())
	g.Expect(granted).To(Equal(map[string]int{"a": 2}), "other requests wait for the next scan")
	core.Advance(now.Add(minScanInterval))
	g.Expect(granted).To(Equal(map[string]int{"a": 2, "b": 1}))
}

// Load pattern: an engine becomes unreachable. Guards against further requests to it during its ejection, and against
// an ejection that never ends.
func TestUnreachableServersAreEjected(t *testing.T) {
	g := NewWithT(t)
	sim := newSimulation(1, 2, 0)
	core, now := sim.cores[0], sim.now
	var chosen []string
	send := func(result Result) {
		var tickets []*Ticket
		tk := core.Submit(now, Request{Service: sim.service, PromptTokens: 10, Arrival: now, Objective: time.Second,
			Deadline: now.Add(time.Second)}, func(d Decision) {
			if d.Server != nil {
				chosen = append(chosen, d.Server.ID)
			}
		})
		tickets = append(tickets, tk)
		core.Finish(now, tickets[0], result)
	}
	send(ResultUnreachable)
	ejected := chosen[0]
	for range 20 {
		now = now.Add(10 * time.Millisecond)
		send(ResultOK)
		g.Expect(chosen[len(chosen)-1]).NotTo(Equal(ejected))
	}
	now = now.Add(maxEjection)
	for range 20 {
		now = now.Add(10 * time.Millisecond)
		send(ResultOK)
	}
	g.Expect(chosen[21:]).To(ContainElement(ejected))
}

// Load pattern: the engine is overloaded, and a request is repeated after its first server held it for most of its
// objective. Guards against a refusal of the repeat as late, with which a broken stream was not resumed.
func TestRepeatsAreNotRefusedAsLate(t *testing.T) {
	g := NewWithT(t)
	sim := newSimulation(1, 1, 10_000)
	sim.start(digest("a", 0, 60), 5*time.Second)
	sim.run(4 * time.Second)
	granted := false
	sim.cores[0].Submit(sim.now, Request{Team: "a", Service: sim.service, PromptTokens: 100, Repeat: true,
		Arrival: sim.now, Objective: time.Second, Deadline: sim.now.Add(5 * time.Second)},
		func(d Decision) { granted = d.Server != nil })
	sim.run(time.Second)
	g.Expect(granted).To(BeTrue())
}

// BenchmarkSubmit guards against decisions that take longer as the fleet grows: the limit is 10 µs at 140 engines and
// 30 teams.
func BenchmarkSubmit(b *testing.B) {
	sim := newSimulation(1, 140, 1_000_000)
	core, now := sim.cores[0], sim.now
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		t := core.Submit(now, Request{Team: "t", Service: sim.service, PromptTokens: 1000, OutputTokens: 10,
			Arrival: now, Objective: time.Second, Deadline: now.Add(time.Second)}, func(Decision) {})
		core.Finish(now, t, ResultOK)
	}
}
