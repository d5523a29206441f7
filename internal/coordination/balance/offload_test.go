package balance

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a router that passes connections on without need, or starts and stops with each change of its load.
func TestOffloadStartsAndStops(t *testing.T) {
	g := NewWithT(t)
	var o Offload
	load := func(rate float64) Load { return Load{Rate: rate, Cores: 0.2} }
	g.Expect(o.Update(load(80))).To(BeFalse())
	g.Expect(o.Update(load(120))).To(BeTrue())
	g.Expect(o.Update(load(80))).To(BeTrue())
	g.Expect(o.Update(load(40))).To(BeFalse())
	g.Expect(o.Update(Load{Rate: 1e6})).To(BeFalse(), "the number of cores is unknown")
}

// Guards against connections that are passed on to routers without room, or to another failure domain without need. On
// scale-2 of the grown taza site a router that was not behind sent its connections to other failure domains.
func TestTargetsHaveRoom(t *testing.T) {
	g := NewWithT(t)
	candidates := []Candidate{
		{Router: "near", Cores: 0.8, Rate: 100, SameDomain: true},
		{Router: "near-busy", Cores: 0.8, Busy: true, SameDomain: true},
		{Router: "near-loaded", Cores: 0.8, Rate: 700, SameDomain: true},
		{Router: "far", Cores: 0.8, Rate: 100},
	}
	pick := func(behind bool) string {
		c, _ := ChooseTargets(candidates, false).Pick(behind)
		return c.Router
	}
	g.Expect(pick(false)).To(Equal("near"))
	g.Expect(pick(true)).To(Equal("near"))
	candidates[0].Busy = true
	g.Expect(pick(false)).To(BeEmpty())
	g.Expect(pick(true)).To(Equal("far"))
	candidates[3].Rate = 700
	g.Expect(pick(true)).To(BeEmpty())
}

// Load pattern: the clients of one failure domain overload a small router and the routers that the directory names there.
// Guards against connections that go to other domains while other routers of the domain idle.
func TestReserveOfTheDomainIsUsedBeforeOtherDomains(t *testing.T) {
	g := NewWithT(t)
	candidates := make([]Candidate, 0, 2*minActive)
	for i := range minActive {
		candidates = append(candidates, Candidate{Router: fmt.Sprintf("far-%d", i), Cores: 0.8})
	}
	candidates[0].SameDomain, candidates[0].Rate = true, 700
	candidates = append(candidates, Candidate{Router: "reserve", Cores: 0.2, SameDomain: true},
		Candidate{Router: "remote-reserve", Cores: 0.2})
	reserve, _ := ChooseTargets(candidates, true).Pick(true)
	g.Expect(reserve.Router).To(Equal("reserve"))
	_, ok := ChooseTargets(candidates, true).Pick(false)
	g.Expect(ok).To(BeFalse(), "a router that is not behind serves its connections")
	far, _ := ChooseTargets(candidates, false).Pick(true)
	g.Expect(far.Router).To(HavePrefix("far-"))
}

// Guards against all overloaded routers choosing the same target.
func TestPickTargetSpreadsConnections(t *testing.T) {
	g := NewWithT(t)
	_, ok := Targets{}.Pick(true)
	g.Expect(ok).To(BeFalse())
	counts := make(map[string]int)
	targets := Targets{Near: []Candidate{
		{Router: "a", Cores: 0.8, Rate: 300}, {Router: "b", Cores: 0.8}, {Router: "c", Cores: 0.8, Rate: 100},
	}}
	for range 3000 {
		c, ok := targets.Pick(false)
		g.Expect(ok).To(BeTrue())
		counts[c.Router]++
	}
	g.Expect(counts["a"]).To(BeNumerically("<", counts["c"]))
	g.Expect(counts["c"]).To(BeNumerically("<", counts["b"]))
	g.Expect(counts["a"]).To(BeNumerically(">", 0))
}

// Guards against a router whose processor is fully taken by refusals, and against pauses without need.
func TestAcceptPausesGrowWhileTheProcessorIsBehind(t *testing.T) {
	g := NewWithT(t)
	var p AcceptPause
	g.Expect(p.Next(pauseWait / 2)).To(BeZero())
	g.Expect(p.Next(2 * pauseWait)).To(Equal(minPause))
	g.Expect(p.Next(2 * pauseWait)).To(Equal(2 * minPause))
	g.Expect(p.Next(calmWait)).To(BeZero())
	for range 5 {
		g.Expect(p.Next(2 * pauseWait)).To(BeNumerically("<=", maxPause))
	}
	g.Expect(p.Next(0)).To(BeZero())
	g.Expect(p.Next(2*pauseWait)).To(Equal(minPause), "the wait was short again")
}
