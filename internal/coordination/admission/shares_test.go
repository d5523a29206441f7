package admission

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"gooseberrytide.example/gooseberrytide/internal/coordination/engineload"
	"gooseberrytide.example/gooseberrytide/internal/coordination/fairshare"
	"gooseberrytide.example/gooseberrytide/internal/coordination/reservation"
	"gooseberrytide.example/gooseberrytide/internal/coordination/serverlimit"
	"gooseberrytide.example/gooseberrytide/internal/state/backends"
	"gooseberrytide.example/gooseberrytide/internal/state/routing"
)

// newCoreWithPeerUsage returns a core with the given capacity that has received a peer's report of the teams' usage.
func newCoreWithPeerUsage(now time.Time, capacity float64, usage map[string]fairshare.Usage) *Core {
	c := New(Options{ShareWindow: 4 * time.Second})
	c.SetCapacity(capacity)
	c.SetPeerUsage(now, "peer", usage)
	c.refreshShares(now)
	return c
}

// Load pattern: small teams wait beside two large ones, of which one has received much more service. Guards against
// both large teams yielding to a small one: engines are then idle, and both teams get only what their routers let
// through.
func TestOnlyTeamsAboveTheFairLevelYield(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	usage := map[string]fairshare.Usage{
		"much":   {Served: 4_000_000, Asked: 9_000_000, Waiting: true},
		"little": {Served: 700_000, Asked: 3_000_000, Waiting: true},
	}
	for _, name := range []string{"s1", "s2", "s3", "s4"} {
		usage[name] = fairshare.Usage{Served: 20_000, Asked: 22_000, Waiting: true}
	}
	c := newCoreWithPeerUsage(now, 1_400_000, usage)
	g.Expect(c.shares.starved).To(BeTrue())
	g.Expect(c.shares.fraction(4_000_000)).To(Equal(yieldFraction))
	g.Expect(c.shares.fraction(700_000)).To(Equal(1.0))
	g.Expect(c.shares.fraction(20_000)).To(Equal(1.0))
}

// Load pattern: one team sends more than the engines can serve and no other waits. Guards against idle engines while
// requests wait.
func TestLoneTeamMayFillTheEngines(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	c := newCoreWithPeerUsage(now, 100_000, map[string]fairshare.Usage{
		"much":  {Served: 300_000, Asked: 900_000, Waiting: true},
		"small": {Served: 20_000, Asked: 20_000},
	})
	g.Expect(c.shares.starved).To(BeFalse())
	g.Expect(c.shares.fraction(300_000)).To(Equal(1.0))
	g.Expect(c.shares.fraction(500_000)).To(Equal(overCapacityFraction))
}

// Load pattern: two teams overload the engines equally. The prompts of one consist mostly of parts that the engines
// have cached, those of the other have no shared parts. Guards against a team that is charged for a fraction of its
// tokens and gets several times the tokens of the other.
func TestTeamWithSharedPromptsGetsNoLargerShare(t *testing.T) {
	g := NewWithT(t)
	sim := newSimulation(4, 4, 0)
	shared := workload{team: "shared", router: -1, perSecond: 120, sessions: 10, shared: 9000, own: 1500, output: 40,
		objective: time.Second}
	plain := workload{team: "plain", router: -1, perSecond: 120, sessions: 10, own: 10_500, output: 40,
		objective: time.Second}
	sim.start(shared, 20*time.Second)
	sim.start(plain, 20*time.Second)
	sim.run(30 * time.Second)
	logStats(t, sim)
	g.Expect(sim.stats["plain"].tokens).To(BeNumerically(">", 0.5*sim.stats["shared"].tokens))
}

// fairWindowSeconds is the length of the spans in which the platform compares the service of two teams.
const fairWindowSeconds = 6

// Load pattern: one team overloads the engines alone, and ten seconds later a second team does, too. Guards against
// credit for the time in which the second team was idle: for some seconds it gets nearly all service, and the first
// team, which waits all the while, less than half as much.
func TestTeamThatStartsToSendGetsNoCredit(t *testing.T) {
	g := NewWithT(t)
	sim := newSimulation(4, 4, 0)
	sim.start(digest("first", 0, 80), 30*time.Second)
	sim.run(10 * time.Second)
	sim.start(digest("second", -1, 80), 20*time.Second)
	sim.run(25 * time.Second)
	logStats(t, sim)
	for from := 10; from+fairWindowSeconds <= 30; from++ {
		first := sim.stats["first"].tokensBetween(from, from+fairWindowSeconds)
		second := sim.stats["second"].tokensBetween(from, from+fairWindowSeconds)
		t.Logf("from second %d: %.0f, %.0f", from, first, second)
		g.Expect(first).To(BeNumerically(">", second/2), "from second %d", from)
	}
}

// Load pattern: a team at one small router stays at 0.88 of its fair share while another, which uses all routers, is
// above its share. Guards against a tolerance within which both may stay: together with the credit of a team that starts
// to send, the first then gets little more than half as much as the second.
func TestTeamBelowItsShareMakesOthersYield(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	c := newCoreWithPeerUsage(now, 0, map[string]fairshare.Usage{
		"narrow": {Served: 1_400_000, Asked: 12_000_000, Waiting: true},
		"wide":   {Served: 1_800_000, Asked: 4_500_000, Waiting: true},
		"medium": {Served: 1_100_000, Asked: 1_100_000},
	})
	g.Expect(c.shares.fairLevel).To(Equal(1_600_000.0))
	g.Expect(c.shares.fraction(1_800_000)).To(Equal(yieldFraction))
	g.Expect(c.shares.fraction(1_400_000)).To(Equal(1.0))
}

// yieldTest is a core with a model engine that names a limit of requests a second. In the fleet the team "wide" is above its
// fair share, and the team "narrow" is starved.
type yieldTest struct {
	core    *Core
	now     time.Time
	service *routing.Service
}

// Service of the teams of a yieldTest, in decayed tokens.
const (
	wideServed   = 1_800_000
	narrowServed = 100_000
)

func newYieldTest(limit float64) *yieldTest {
	y := &yieldTest{
		core: New(Options{ShareWindow: 4 * time.Second, Seed: 1}), now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		service: &routing.Service{Name: "pool", Engine: &routing.Engine{Slots: 64, CacheTokens: 500_000}},
	}
	server := &backends.Server{ID: "i-0", Service: "pool", Address: "10.0.0.1:80", Slots: 64, StartedAt: 1}
	y.core.SetServers(y.now, backends.NewSet([]*backends.Server{server}))
	y.core.limits.Receive(server, serverlimit.Statement{Limited: true, Rate: limit, SentAt: y.now, ReceivedAt: y.now})
	y.report()
	return y
}

// report receives a peer's report of the teams' usage.
func (y *yieldTest) report() {
	y.core.SetPeerUsage(y.now, "peer", map[string]fairshare.Usage{
		"wide":   {Served: wideServed, Asked: 4_500_000, Waiting: true},
		"narrow": {Served: narrowServed, Asked: 2_000_000, Waiting: true},
	})
	y.core.refreshShares(y.now)
}

func (y *yieldTest) request(team string) Request {
	return Request{
		ID: team, Team: team, Kind: "k", Service: y.service, PromptTokens: 100, OutputTokens: 10,
		Arrival: y.now, Objective: 2 * time.Second, Deadline: y.now.Add(5 * time.Second),
	}
}

// askForPermit asks the core, as the owner, for a permit with the message of a small fleet.
func (y *yieldTest) askForPermit(team string, _ float64) (bool, time.Duration) {
	entry, _ := y.core.LimitEntry(y.now, "i-0")
	req := y.request(team)
	answer, _ := y.core.GrantPermit(y.now, reservation.PermitRequest{Limit: entry, Yields: y.core.yields(&req)})
	return answer.Granted, answer.Answer().RetryIn
}

// askForPlace asks the core, as the owner, for a place and a permit with the message of a large fleet.
func (y *yieldTest) askForPlace(team string, served float64) (bool, time.Duration) {
	load := engineload.Load{Running: 1, PendingTokens: 100, ContextTokens: 110}
	answer := y.core.Reserve(y.now, reservation.Request{
		Router: team, Server: "i-0", Load: load, Own: load, Served: served,
		Limits: reservation.Limits{Running: 64, PendingTokens: -1},
	})
	return answer.Granted, answer.RetryIn
}

// Load pattern: engines name limits of requests a second, many routers have requests of a team above the fair level, and
// one has those of a starved team. Guards against an owner that grants the permits in the order in which routers ask.
func TestOwnerGrantsPermitsToAStarvedTeamFirst(t *testing.T) {
	const limit, wideRouters, duration = 5.0, 6, 10 * time.Second
	for name, ask := range map[string]func(*yieldTest, string, float64) (bool, time.Duration){
		"small fleet": (*yieldTest).askForPermit, "large fleet": (*yieldTest).askForPlace,
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			y := newYieldTest(limit)
			granted := make(map[string]int)
			askAt := make([]time.Time, wideRouters+1)
			for end := y.now.Add(duration); y.now.Before(end); y.now = y.now.Add(5 * time.Millisecond) {
				y.report()
				for i, at := range askAt {
					team, served := "wide", float64(wideServed)
					if i == wideRouters {
						team, served = "narrow", narrowServed
					}
					if y.now.Before(at) {
						continue
					}
					ok, retryIn := ask(y, team, served)
					if ok {
						granted[team]++
					}
					askAt[i] = y.now.Add(retryIn + messageDelay)
				}
			}
			all := granted["wide"] + granted["narrow"]
			g.Expect(float64(all)).To(BeNumerically(">=", 0.93*limit*duration.Seconds()), "%v", granted)
			g.Expect(granted["narrow"]).To(BeNumerically(">=", all*8/10), "%v", granted)
		})
	}
}

// Load pattern: the same, with requests of both teams at one router. Guards against a starved team that waits for the turn
// of a team above the fair level.
func TestDeniedPermitOfATeamThatYieldsHoldsBackNoOther(t *testing.T) {
	g := NewWithT(t)
	y := newYieldTest(5)
	var decided []string
	submit := func(team string) *Ticket {
		return y.core.Submit(y.now, y.request(team), func(d Decision) {
			g.Expect(d.Server).NotTo(BeNil(), string(d.Reason))
			decided = append(decided, team)
		})
	}
	wide := submit("wide")
	g.Expect(decided).To(Equal([]string{"wide"}))
	denied := reservation.Answer{Limited: true, RetryIn: 300 * time.Millisecond}
	g.Expect(y.core.confirm(y.now, 0, wide, denied, reservation.Answered)).To(BeFalse())
	y.now = y.now.Add(20 * time.Millisecond)
	narrow := submit("narrow")
	g.Expect(decided).To(Equal([]string{"wide", "narrow"}))
	g.Expect(y.core.confirm(y.now, 0, narrow, denied, reservation.Answered)).To(BeFalse())
	y.now = y.now.Add(200 * time.Millisecond)
	y.core.Advance(y.now)
	g.Expect(decided).To(HaveLen(2), "no permit is asked for before the time that the owner has named")
	y.now = y.now.Add(150 * time.Millisecond)
	y.core.Advance(y.now)
	g.Expect(decided).To(ContainElements("wide", "narrow"))
	g.Expect(len(decided)).To(BeNumerically(">", 2))
}

// Guards against a team that yields permits of servers which are no model engines: shares count tokens of engines only.
func TestOnlyRequestsForModelEnginesYield(t *testing.T) {
	g := NewWithT(t)
	y := newYieldTest(5)
	wide, narrow := y.request("wide"), y.request("narrow")
	g.Expect(y.core.yields(&wide)).To(BeTrue())
	g.Expect(y.core.yields(&narrow)).To(BeFalse())
	wide.Service = &routing.Service{Name: "app"}
	g.Expect(y.core.yields(&wide)).To(BeFalse())
}
