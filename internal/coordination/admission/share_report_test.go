package admission

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a log that does not show which teams a router refuses, or shows decisions twice.
func TestShareReportCountsDecisionsOnce(t *testing.T) {
	g := NewWithT(t)
	sim := newSimulation(1, 1, 40_000)
	sim.start(digest("farm", 0, 60), 3*time.Second)
	sim.run(3 * time.Second)
	core := sim.cores[0]
	r := core.TakeShareReport(sim.now)
	g.Expect(r.Teams).To(HaveLen(1))
	farm := r.Teams[0]
	g.Expect(farm.Team).To(Equal("farm"))
	g.Expect(farm.Refused).To(Equal(sim.stats["farm"].refused))
	g.Expect(farm.Granted + farm.Refused + farm.Queued).To(Equal(sim.stats["farm"].submitted))
	g.Expect(farm.Asked).To(BeNumerically(">", farm.Served))
	sim.run(5 * time.Second)
	core.TakeShareReport(sim.now)
	g.Expect(core.TakeShareReport(sim.now).Teams).To(BeEmpty())
}
