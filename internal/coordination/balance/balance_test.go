package balance

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func fleet(n int, cores float64) []Candidate {
	var list []Candidate
	for i := range n {
		name := fmt.Sprintf("r%02d", i)
		list = append(list, Candidate{Router: name, Address: name, Cores: cores, SameDomain: i%3 == 0})
	}
	return list
}

// Guards against a fleet in which many routers each place few requests without knowing of those of the others, and
// against small routers that get as many clients as large ones.
func TestFewLargeRoutersTakeTheClients(t *testing.T) {
	g := NewWithT(t)
	candidates := append(fleet(59, 0.2), fleet(6, 0.8)...)
	for i := range candidates {
		candidates[i].Router = fmt.Sprintf("r%02d", i)
		candidates[i].Address = candidates[i].Router
	}
	chosen := Choose(candidates)
	g.Expect(chosen).To(HaveLen(minActive))
	for i := 59; i < 65; i++ {
		g.Expect(chosen).To(ContainElement(fmt.Sprintf("r%02d", i)))
	}
	for i := range candidates {
		candidates[i].Rate = 6000.0 / 65
	}
	more := Choose(candidates)
	g.Expect(len(more)).To(BeNumerically(">", minActive))
	slices.Reverse(candidates)
	g.Expect(Choose(candidates)).To(ConsistOf(more), "all routers choose the same set")
}

// Guards against answers that leave out routers of a small fleet, and against answers without any router.
func TestSmallFleetsNameAllRouters(t *testing.T) {
	g := NewWithT(t)
	g.Expect(Choose(fleet(8, 0.4))).To(HaveLen(8))
	g.Expect(Choose(nil)).To(BeEmpty())
	g.Expect(Choose(fleet(2, 0))).To(HaveLen(2))
	busy := fleet(8, 0.4)
	for i := range busy {
		busy[i].Busy = true
	}
	g.Expect(Choose(busy)).To(HaveLen(8), "busy routers are better than none")
	near := Choose(fleet(8, 0.4))[0]
	g.Expect([]string{"r00", "r03", "r06"}).To(ContainElement(near))
}

// Guards against an overloaded router that keeps clients which the others could serve, and against a router with few
// requests that moves all of its clients.
func TestOverloaded(t *testing.T) {
	g := NewWithT(t)
	others := []Load{{Rate: 30, Cores: 0.2}, {Rate: 30, Cores: 0.2}, {Rate: 120, Cores: 0.8}}
	g.Expect(Overloaded(Load{Rate: 300, Cores: 0.2}, others)).To(BeTrue())
	g.Expect(Overloaded(Load{Rate: 130, Cores: 0.8}, others)).To(BeFalse())
	g.Expect(Overloaded(Load{Rate: 10, Cores: 0.2}, []Load{{Rate: 1, Cores: 0.2}})).To(BeFalse())
	g.Expect(Overloaded(Load{Rate: 300, Cores: 0.2}, nil)).To(BeFalse())
}

// Guards against a rate that stays above 0 after the requests have ended.
func TestRate(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	var r Rate
	for range 100 {
		now = now.Add(10 * time.Millisecond)
		r.Add(now, 1)
	}
	g.Expect(r.PerSecond(now)).To(BeNumerically("~", 100, 100))
	g.Expect(r.PerSecond(now.Add(3 * time.Second))).To(BeZero())
}

// Guards against a router that lacks CPU time and does not count as busy, or counts as busy for ever.
func TestLag(t *testing.T) {
	g := NewWithT(t)
	var l Lag
	for range 20 {
		l.Observe(3 * time.Millisecond)
	}
	g.Expect(l.Busy()).To(BeFalse())
	for range 20 {
		l.Observe(150 * time.Millisecond)
	}
	g.Expect(l.Busy()).To(BeTrue())
	for range 30 {
		l.Observe(0)
	}
	g.Expect(l.Busy()).To(BeFalse())
}
