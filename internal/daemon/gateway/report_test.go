package gateway

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"gooseberrytide.example/gooseberrytide/internal/coordination/fairshare"
	"gooseberrytide.example/gooseberrytide/internal/coordination/gossip"
)

// Guards against a report that is too large and drops the team for which the other routers must yield, because it has
// received the least service.
func TestFullReportKeepsTheStarvedTeam(t *testing.T) {
	g := NewWithT(t)
	usage := map[string]fairshare.Usage{"starved": {Served: 1, Asked: 9_000_000, Waiting: true}}
	for i := range 200 {
		usage[fmt.Sprintf("team-%03d", i)] = fairshare.Usage{Served: 50_000, Asked: 50_000}
	}
	r := &gossip.Report{Router: "r1", Teams: sortedUsage(usage)}
	data, err := r.Encode()
	g.Expect(err).NotTo(HaveOccurred())
	received, err := gossip.Decode(data)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(received.Teams)).To(BeNumerically("<", len(usage)))
	g.Expect(received.UsageByTeam()).To(HaveKeyWithValue("starved", usage["starved"]))
}

// Guards against a change of a router's readiness that other routers learn of late, and against routers that have lost the
// store and report as often as those with requests: a third of a fleet of 295 would send 70,000 reports a second.
func TestOnlyChangesOfIdleRoutersAreReportedAtOnce(t *testing.T) {
	g := NewWithT(t)
	for _, ready := range []bool{true, false} {
		last := lastReport{at: time.Now(), idle: true, ready: ready}
		g.Expect(last.due(&gossip.Report{Ready: ready})).To(BeFalse())
		g.Expect(last.due(&gossip.Report{Ready: !ready})).To(BeTrue())
		g.Expect(last.due(&gossip.Report{Ready: ready, Queue: 1})).To(BeTrue())
		last.at = time.Now().Add(-gossip.MaxPeriod)
		g.Expect(last.due(&gossip.Report{Ready: ready})).To(BeTrue())
	}
}
