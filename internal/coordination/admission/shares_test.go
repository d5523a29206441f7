package admission

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"gooseberrytide.example/gooseberrytide/internal/coordination/fairshare"
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
