package admission

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"gooseberrytide.example/gooseberrytide/internal/coordination/fairshare"
)

// coreWith returns a core that has heard from another router what teams asked and got.
func coreWith(now time.Time, capacity float64, parts map[string]fairshare.Part) *Core {
	c := New(Options{ShareWindow: 4 * time.Second})
	c.SetCapacity(capacity)
	c.SetPeerTeams(now, "peer", parts)
	c.refreshShares(now)
	return c
}

// Load pattern: many small teams wait for a moment beside two large ones, of which one has had much more. Guards against
// large teams that both yield to a small one, which leaves the engines idle and both with what their routers allow.
func TestOnlyTeamsAboveTheFairLevelYield(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	parts := map[string]fairshare.Part{
		"much":   {Served: 4_000_000, Asked: 9_000_000, Waiting: true},
		"little": {Served: 700_000, Asked: 3_000_000, Waiting: true},
	}
	for _, name := range []string{"s1", "s2", "s3", "s4"} {
		parts[name] = fairshare.Part{Served: 20_000, Asked: 22_000, Waiting: true}
	}
	c := coreWith(now, 1_400_000, parts)
	g.Expect(c.shares.deprived).To(BeTrue())
	g.Expect(c.shares.part(4_000_000)).To(Equal(yieldingPart))
	g.Expect(c.shares.part(700_000)).To(Equal(1.0))
	g.Expect(c.shares.part(20_000)).To(Equal(1.0))
}

// Load pattern: one team presses and no other waits. Guards against engines that idle while work waits.
func TestLoneTeamMayFillTheEngines(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	c := coreWith(now, 100_000, map[string]fairshare.Part{
		"much":  {Served: 300_000, Asked: 900_000, Waiting: true},
		"small": {Served: 20_000, Asked: 20_000},
	})
	g.Expect(c.shares.deprived).To(BeFalse())
	g.Expect(c.shares.part(300_000)).To(Equal(1.0))
	g.Expect(c.shares.part(500_000)).To(Equal(beyondPart))
}
