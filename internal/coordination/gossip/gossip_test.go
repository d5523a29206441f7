package gossip

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"gooseberrytide.example/gooseberrytide/internal/coordination/engineload"
	"gooseberrytide.example/gooseberrytide/internal/coordination/reservation"
)

// Guards against reports that exceed the size of a datagram, or drop the first and most important entries.
func TestReportsFitADatagram(t *testing.T) {
	g := NewWithT(t)
	r := Report{Router: "r1", Incarnation: 1, Seq: 2, Ready: true}
	for i := range 200 {
		load := engineload.Load{Running: i, PendingTokens: 200_000 - i}
		r.Loads = append(r.Loads, reservation.ServerLoad{Server: fmt.Sprintf("i-%08d", i), Load: load})
		r.Teams = append(r.Teams, TeamUsage{Team: fmt.Sprintf("team%04d", i), Served: float32(1000 - i)})
	}
	data, err := r.Encode()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(data)).To(BeNumerically("<=", maxDatagram))
	decoded, err := Decode(data)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(decoded.LoadsByServer()).To(HaveKey("i-00000000"))
	g.Expect(decoded.UsageByTeam()).To(HaveKey("team0000"))
	_, err = Decode([]byte("nonsense"))
	g.Expect(err).To(HaveOccurred())
}

// Guards against old reports that replace newer ones, and against lost routers that still count as live.
func TestOnlyNewReportsCount(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	p := NewPeers()
	g.Expect(p.Update(now, &Report{Router: "r", Incarnation: 2, Seq: 5})).To(BeTrue())
	g.Expect(p.Update(now, &Report{Router: "r", Incarnation: 2, Seq: 5})).To(BeFalse())
	g.Expect(p.Update(now, &Report{Router: "r", Incarnation: 1, Seq: 9})).To(BeFalse())
	g.Expect(p.Update(now, &Report{Router: "r", Incarnation: 3, Seq: 1})).To(BeTrue())
	g.Expect(p.Live(now)).To(HaveLen(1))
	const peerTimeout = 1300 * time.Millisecond // of a router that reports every MaxPeriod
	later := now.Add(peerTimeout + time.Millisecond)
	g.Expect(p.Live(later)).To(BeEmpty())
	g.Expect(p.RemoveLost(later)).To(Equal([]string{"r"}))
	g.Expect(p.RemoveLost(later)).To(BeEmpty())
}

// Guards against a total cost of reports that grows with the square of the fleet's size.
func TestPeriodGrowsWithTheFleet(t *testing.T) {
	g := NewWithT(t)
	g.Expect(Period(3)).To(Equal(basePeriod))
	g.Expect(Period(16)).To(Equal(2 * basePeriod))
	g.Expect(Period(4000)).To(Equal(MaxPeriod))
}

// Guards against a router that counts as live for ever because it states a long report interval.
func TestReportIntervalsAreBounded(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	p := NewPeers()
	const limit = 3 * time.Second // the directory may name a lost router for this long
	idle := Report{Router: "r", Seq: 1, Ready: true, IntervalMS: int(RelayedInterval.Milliseconds())}
	g.Expect(p.Update(now, &idle)).To(BeTrue())
	g.Expect(p.Live(now.Add(MaxPeriod+2*RelayPeriod))).To(HaveLen(1), "one list of a relay is lost")
	g.Expect(p.Live(now.Add(limit))).To(BeEmpty())
	unlimited := Report{Router: "r", Seq: 2, IntervalMS: 1 << 40}
	g.Expect(p.Update(now, &unlimited)).To(BeTrue())
	g.Expect(p.Live(now.Add(limit))).To(BeEmpty(), "an interval of another router is bounded")
}

// Guards against routers that report to all others as often as those with many requests, because each router gets about
// one request a second that only checks its configuration: in a fleet of 295 that was 200,000 reports a second.
func TestRoutersWithFewRequestsAreIdle(t *testing.T) {
	g := NewWithT(t)
	idle := Report{Router: "r", Seq: 1, Ready: true, Rate: 1.5}
	g.Expect(idle.Idle()).To(BeTrue())
	g.Expect((&Report{Router: "r", Seq: 1}).Idle()).To(BeTrue(), "many routers may have lost the store at once")
	for _, change := range []func(r *Report){
		func(r *Report) { r.Rate = 50 },
		func(r *Report) { r.Queue = 1 },
		func(r *Report) { r.Teams = []TeamUsage{{Team: "t", Waiting: true}} },
		func(r *Report) { r.Loads = []reservation.ServerLoad{{Server: "s"}} },
		func(r *Report) { r.Parts = []CachedParts{{Server: "s"}} },
	} {
		r := idle
		change(&r)
		g.Expect(r.Active()).To(BeTrue())
		g.Expect(r.Idle()).To(BeFalse())
	}
	owner := idle
	owner.Totals = []reservation.ServerLoad{{Server: "s"}}
	g.Expect(owner.Idle()).To(BeFalse(), "others need the loads of its servers")
	g.Expect(owner.Active()).To(BeFalse())
}

// Guards against a router that is ignored after a restart because its clock went back meanwhile, and against late reports of
// its earlier start that bring that one back.
func TestRestartWithAnEarlierClock(t *testing.T) {
	g := NewWithT(t)
	p := NewPeers()
	now := time.Now()
	report := func(after time.Duration, incarnation, seq uint64) bool {
		return p.Update(now.Add(after), &Report{Router: "r-1", Incarnation: incarnation, Seq: seq})
	}
	g.Expect(report(0, 1000, 1001)).To(BeTrue())
	g.Expect(report(overtakenTime/2, 400, 401)).To(BeFalse(), "it may be that of an earlier start")
	g.Expect(report(overtakenTime+time.Millisecond, 400, 402)).To(BeTrue())
	g.Expect(report(overtakenTime+2*time.Millisecond, 1000, 1002)).To(BeFalse(), "a late report of the earlier start")
	g.Expect(report(overtakenTime+3*time.Millisecond, 400, 403)).To(BeTrue())
	g.Expect(p.Live(now.Add(2 * overtakenTime))[0].Incarnation).To(BeEquivalentTo(400))
	g.Expect(report(2*overtakenTime, 2000, 2001)).To(BeTrue(), "the clock is set again")
}
