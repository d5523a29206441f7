package admission

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"gooseberrytide.example/gooseberrytide/internal/coordination/engineload"
	"gooseberrytide.example/gooseberrytide/internal/coordination/reservation"
)

// digest is a load of long prompts with a shared part, chat one of short prompts with long answers.
func digest(team string, router int, perSecond float64) load {
	return load{team: team, router: router, perSecond: perSecond, sessions: 10, shared: 4800, own: 6000, output: 300,
		objective: time.Second}
}

func chat(team string, router int, perSecond float64) load {
	return load{team: team, router: router, perSecond: perSecond, sessions: 10, shared: 200, own: 600, output: 250,
		objective: 600 * time.Millisecond}
}

// Load pattern: a calm mix at half of the engines' capacity. Guards against refusals while places are free.
func TestCalmLoadIsServedOnTime(t *testing.T) {
	g := NewWithT(t)
	r := newReplay(4, 4, 100_000)
	r.start(digest("a", -1, 6), 20*time.Second)
	r.start(chat("b", -1, 15), 20*time.Second)
	r.run(30 * time.Second)
	logStats(t, r)
	for _, s := range r.stats {
		g.Expect(s.refused).To(BeZero())
		g.Expect(float64(s.onTime)).To(BeNumerically(">", 0.97*float64(s.asked)))
	}
}

// Load pattern: one team sends many times its share through all routers while small teams send little through one
// each. Guards against small teams that wait behind the flood, wherever its requests arrive.
func TestFloodingTeamLeavesOthersOnTime(t *testing.T) {
	g := NewWithT(t)
	r := newReplay(4, 4, 90_000)
	r.start(digest("flood", -1, 80), 20*time.Second)
	r.start(digest("small", 0, 2), 20*time.Second)
	r.start(chat("chats", 1, 6), 20*time.Second)
	r.run(30 * time.Second)
	logStats(t, r)
	for _, team := range []string{"small", "chats"} {
		s := r.stats[team]
		g.Expect(float64(s.onTime)).To(BeNumerically(">", 0.8*float64(s.asked)), team)
	}
	g.Expect(r.stats["flood"].refused).To(BeNumerically(">", 0))
}

// Load pattern: two equal teams press, one through all routers, one through a single router. Guards against shares that
// follow the number of routers that a team uses.
func TestSharesDoNotFollowRouters(t *testing.T) {
	g := NewWithT(t)
	r := newReplay(4, 4, 90_000)
	r.start(digest("wide", -1, 60), 20*time.Second)
	r.start(digest("narrow", 2, 60), 20*time.Second)
	r.run(30 * time.Second)
	logStats(t, r)
	g.Expect(r.stats["narrow"].tokens).To(BeNumerically(">", 0.5*r.stats["wide"].tokens))
}

// Load pattern: sessions whose shared parts are long, at a load that the engines can serve only if they keep them.
// Guards against shared parts that are read again on engine after engine.
func TestSharedPartsAreKept(t *testing.T) {
	g := NewWithT(t)
	r := newReplay(4, 4, 200_000)
	r.start(digest("a", -1, 12), 20*time.Second)
	r.run(30 * time.Second)
	logStats(t, r)
	total := r.stats["a"].asked * 4800
	g.Expect(float64(r.rereadTokens())).To(BeNumerically("<", 0.08*float64(total)))
}

// Load pattern: one team sends long prompts with a long objective and short ones with a short objective, several times
// what the engines can do. Guards against a kind of request that starves: in order of arrival the long prompts wait as long
// as they may, and no short one reaches the head of the queue in time.
func TestKindsOfATeamShare(t *testing.T) {
	g := NewWithT(t)
	r := newReplay(2, 2, 80_000)
	long, short := digest("farm", 0, 50), chat("farm", 0, 10)
	long.kind, short.kind = "digest", "chat"
	r.start(long, 20*time.Second)
	r.start(short, 20*time.Second)
	r.run(30 * time.Second)
	logStats(t, r)
	chats, digests := r.stats["farmchat"], r.stats["farmdigest"]
	g.Expect(float64(chats.onTime)).To(BeNumerically(">", 0.7*float64(chats.asked)))
	g.Expect(float64(digests.onTime)).To(BeNumerically(">", 0.1*float64(digests.asked)))
}

// Load pattern: requests of one team that differ in urgency wait together. Guards against a less urgent kind that goes
// before a more urgent one because it has had less service, and against a repeat that waits behind new requests.
func TestUrgentKindsGoFirst(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	q := newQueue()
	add := func(kind string, priority int, repeat bool) *Ticket {
		tk := &Ticket{Work: Work{Team: "t", Kind: kind, Priority: priority, Repeat: repeat, Arrival: now}, cost: 10}
		q.add(tk)
		return tk
	}
	late, urgent := add("late", 5, false), add("urgent", 1, false)
	q.grant(now, urgent)
	heads := func() []*Ticket { return q.teams["t"].heads(now, q.grantedTo) }
	g.Expect(heads()).To(Equal([]*Ticket{urgent, late}))
	repeat := add("late", 5, true)
	g.Expect(heads()).To(Equal([]*Ticket{repeat, urgent}))
	q.remove(repeat)
	other := add("other", 1, false)
	g.Expect(heads()).To(Equal([]*Ticket{other, urgent, late}), "least service first among equals")
	for _, tk := range []*Ticket{late, urgent, other} {
		q.remove(tk)
	}
	g.Expect(q.teams).To(BeEmpty())
	g.Expect(q.size).To(BeZero())
}

// Load pattern: a team asks far more than the engines can do. Guards against requests that are held for long and refused
// in the end, and against a queue that gives all of its requests the longest wait.
func TestExcessIsRefusedEarly(t *testing.T) {
	g := NewWithT(t)
	r := newReplay(2, 2, 40_000)
	r.start(digest("flood", -1, 100), 10*time.Second)
	r.run(20 * time.Second)
	logStats(t, r)
	s := r.stats["flood"]
	g.Expect(s.heldRefused).To(BeNumerically("<=", 750*time.Millisecond))
	g.Expect(s.onTime).To(BeNumerically(">", 2*s.late))
}

// Load pattern: many routers press on few engines, and their reports are older than the time in which an engine reads
// some prompts. Guards against routers that all send to the same engines: without owners of loads most first events are
// late.
func TestOwnersPreventOverfilling(t *testing.T) {
	g := NewWithT(t)
	play := func(owners bool) (late, onTime int) {
		r := newDelayedReplay(24, 12, 500_000, largeDelay)
		r.owners = owners
		for _, team := range []string{"a", "bb", "ccc", "dddd"} {
			r.start(digest(team, -1, 25), 20*time.Second)
		}
		r.run(30 * time.Second)
		logStats(t, r)
		t.Logf("owners %t: %d grants denied", owners, r.denied)
		for _, s := range r.stats {
			late += s.late
			onTime += s.onTime
		}
		return late, onTime
	}
	late, onTime := play(false)
	lateKept, onTimeKept := play(true)
	g.Expect(float64(lateKept)).To(BeNumerically("<", 0.5*float64(late)))
	g.Expect(onTimeKept).To(BeNumerically(">", onTime))
}

// Load pattern: an owner's answer comes after the request has waited too long. Guards against a request that waits in no
// queue, or is decided twice.
func TestDeniedRequestIsDecidedOnce(t *testing.T) {
	g := NewWithT(t)
	r := newReplay(1, 1, 0)
	core, now := r.cores[0], r.now
	var verdicts []Verdict
	tk := core.Submit(now, Work{Service: r.service, PromptTokens: 10, Arrival: now, Objective: time.Second,
		Deadline: now.Add(time.Second)}, func(v Verdict) { verdicts = append(verdicts, v) })
	g.Expect(verdicts).To(HaveLen(1))
	now = now.Add(900 * time.Millisecond)
	full := engineload.Load{Running: 1000}
	g.Expect(core.confirm(now, tk, reservation.Answer{Total: full})).To(BeFalse())
	g.Expect(verdicts).To(HaveLen(2))
	g.Expect(verdicts[1].Reason).To(Equal(ReasonLate))
	g.Expect(core.OwnLoads()).To(BeEmpty())
	g.Expect(core.Waiting()).To(BeZero())
	g.Expect(core.accounts.Served(now, "")).To(BeZero(), "service that was not given is not charged")
}

// Load pattern: all servers are full and owners refuse place after place. Guards against a look at all waiting requests
// after each refusal, which took most of a small router's processor: its requests then reached the engines seconds late.
func TestRefusedPlaceConcernsOneRequest(t *testing.T) {
	g := NewWithT(t)
	r := newReplay(1, 2, 0)
	core, now := r.cores[0], r.now
	work := func(team string) Work {
		return Work{Team: team, Service: r.service, PromptTokens: 10, Arrival: now, Objective: time.Second,
			Deadline: now.Add(time.Second)}
	}
	granted := make(map[string]int)
	submit := func(team string) *Ticket {
		return core.Submit(now, work(team), func(Verdict) { granted[team]++ })
	}
	total := func(server string, running int) {
		core.SetTotals(now, []reservation.ServerLoad{{Server: server, Load: engineload.Load{Running: running}}})
	}
	first := submit("a")
	total("e00", 1000)
	total("e01", 1000)
	submit("b")
	g.Expect(granted).To(Equal(map[string]int{"a": 1}))
	free := map[string]string{"e00": "e01", "e01": "e00"}[first.server.ID]
	total(free, 0)
	g.Expect(core.confirm(now, first, reservation.Answer{Total: engineload.Load{Running: 1000}})).To(BeFalse())
	g.Expect(granted).To(Equal(map[string]int{"a": 2}), "others wait for the next look")
	core.Advance(now.Add(pumpPause))
	g.Expect(granted).To(Equal(map[string]int{"a": 2, "b": 1}))
}

// Load pattern: engines fail. Guards against requests that go on to a server that cannot be reached, and against one
// that is never tried again.
func TestUnreachableServersAreLeftAlone(t *testing.T) {
	g := NewWithT(t)
	r := newReplay(1, 2, 0)
	core, now := r.cores[0], r.now
	var chosen []string
	send := func(result Result) {
		var tickets []*Ticket
		tk := core.Submit(now, Work{Service: r.service, PromptTokens: 10, Arrival: now, Objective: time.Second,
			Deadline: now.Add(time.Second)}, func(v Verdict) {
			if v.Server != nil {
				chosen = append(chosen, v.Server.ID)
			}
		})
		tickets = append(tickets, tk)
		core.Finish(now, tickets[0], result)
	}
	send(ResultUnreachable)
	dead := chosen[0]
	for range 20 {
		now = now.Add(10 * time.Millisecond)
		send(ResultOK)
		g.Expect(chosen[len(chosen)-1]).NotTo(Equal(dead))
	}
	now = now.Add(pauseMax)
	for range 20 {
		now = now.Add(10 * time.Millisecond)
		send(ResultOK)
	}
	g.Expect(chosen[21:]).To(ContainElement(dead))
}

// Load pattern: a request is sent once more after its first server kept it for most of its objective. Guards against a
// refusal as late: a stream that broke was not resumed.
func TestRepeatsAreNotRefusedAsLate(t *testing.T) {
	g := NewWithT(t)
	r := newReplay(1, 1, 10_000)
	r.start(digest("a", 0, 60), 5*time.Second)
	r.run(4 * time.Second)
	placed := false
	r.cores[0].Submit(r.now, Work{Team: "a", Service: r.service, PromptTokens: 100, Repeat: true, Arrival: r.now,
		Objective: time.Second, Deadline: r.now.Add(5 * time.Second)}, func(v Verdict) { placed = v.Server != nil })
	r.run(time.Second)
	g.Expect(placed).To(BeTrue())
}

// Guards against decisions that take longer as the fleet grows: below 10 µs at 140 engines and 30 teams.
func BenchmarkSubmit(b *testing.B) {
	r := newReplay(1, 140, 1_000_000)
	core, now := r.cores[0], r.now
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		t := core.Submit(now, Work{Team: "t", Service: r.service, PromptTokens: 1000, OutputTokens: 10, Arrival: now,
			Objective: time.Second, Deadline: now.Add(time.Second)}, func(Verdict) {})
		core.Finish(now, t, ResultOK)
	}
}
