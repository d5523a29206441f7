package gossip

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/gomega"
)

// announced returns a table that has an announcement of each router.
func announced(g Gomega, now time.Time, reports ...Report) *Peers {
	p := NewPeers()
	for _, r := range reports {
		g.Expect(p.Update(now, &r)).To(BeTrue())
	}
	return p
}

// relay passes the list of a relay on to a table.
func relay(from, to *Peers, now time.Time) {
	own := Report{Router: "relay", Incarnation: 1, Seq: 1}
	for _, part := range from.Presence(now, &own) {
		to.Observe(now, &part)
	}
}

func liveNames(p *Peers, now time.Time) []string {
	var names []string
	for _, peer := range p.Live(now) {
		names = append(names, peer.Router)
	}
	return names
}

// Guards against routers that count as lost, or whose requests and configuration are unknown, because they report to
// relays only.
func TestRelaysKeepRoutersLive(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	idle := Report{Router: "idle", Incarnation: 5, Seq: 1, Ready: true, ConfigVersion: 1}
	busy := Report{Router: "busy", Incarnation: 6, Seq: 1, Ready: true, ConfigVersion: 1}
	p := announced(g, now, idle, busy, Report{Router: "relay", Incarnation: 1, Seq: 1})
	held := p.Live(now)
	now = now.Add(10 * time.Second)
	g.Expect(p.Live(now)).To(BeEmpty())
	g.Expect(p.RemoveLost(now)).To(ConsistOf("idle", "busy", "relay"))
	idle.Seq, busy.Seq = 2, 2
	busy.Rate, busy.Busy, busy.ConfigVersion = 0.4, true, 7
	relay(announced(g, now, idle, busy), p, now)
	g.Expect(liveNames(p, now)).To(Equal([]string{"busy", "idle", "relay"}))
	live := p.Live(now)
	g.Expect(live[0].Busy).To(BeTrue())
	g.Expect(live[0].Rate).To(BeNumerically(">=", 0.4))
	g.Expect(live[0].ConfigVersion).To(BeEquivalentTo(7))
	g.Expect(live[1].Idle()).To(BeTrue())
	g.Expect(held[0].Busy).To(BeFalse(), "a report that is in use does not change")
	g.Expect(p.RemoveLost(now.Add(10*time.Second))).To(ConsistOf("idle", "busy", "relay"), "lost for a second time")
}

// Guards against live routers that are counted as lost by routers that they no longer report to: the last report stated
// a short interval, but the lists of relays, which replace the reports, come less often.
func TestSightingsExtendAStatedInterval(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	busy := Report{Router: "busy", Incarnation: 5, Seq: 1, Ready: true, IntervalMS: int(MaxPeriod.Milliseconds())}
	p := announced(g, now, busy, Report{Router: "relay", Incarnation: 1, Seq: 1})
	for range 5 {
		now = now.Add(RelayPeriod)
		busy.Seq++
		relay(announced(g, now.Add(-MaxPeriod), busy), p, now)
		beforeNextList := now.Add(RelayPeriod + RelayPeriod/2)
		g.Expect(p.RemoveLost(beforeNextList)).To(BeEmpty())
		g.Expect(liveNames(p, beforeNextList)).To(ContainElement("busy"))
	}
	g.Expect(liveNames(p, now.Add(3*time.Second))).To(BeEmpty())
	busy.Seq++
	g.Expect(p.Update(now, &busy)).To(BeTrue())
	g.Expect(liveNames(p, now.Add(minSilence+time.Millisecond))).NotTo(ContainElement("busy"), "it reports directly again")
}

// Guards against a lost router that stays in the directory because relays pass the same sign of life on again and again.
func TestSightingsDoNotRenewThemselves(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	r := Report{Router: "r", Incarnation: 5, Seq: 1, Ready: true, IntervalMS: int(RelayedInterval.Milliseconds())}
	a, b := announced(g, now, r), announced(g, now, r)
	for range 40 {
		now = now.Add(100 * time.Millisecond)
		relay(a, b, now)
		relay(b, a, now)
	}
	g.Expect(liveNames(a, now)).To(BeEmpty())
	g.Expect(liveNames(b, now)).To(BeEmpty())
}

// Guards against a router whose earlier state is confirmed after it has stopped, restarted or become unready.
func TestSightingsConfirmTheAnnouncedStateOnly(t *testing.T) {
	g := NewWithT(t)
	start := time.Now()
	old := Report{Router: "r", Incarnation: 5, Seq: 1, Ready: true}
	restarted, unready := old, old
	restarted.Incarnation++
	unready.Seq, unready.Ready = 2, false
	for _, current := range []Report{restarted, unready} {
		now := start.Add(10 * time.Second)
		p := announced(g, start, old)
		relay(announced(g, now, current), p, now)
		g.Expect(p.Live(now)).To(BeEmpty())
		g.Expect(p.Update(now, &current)).To(BeTrue())
		relay(announced(g, now, old), p, now.Add(10*time.Second))
		g.Expect(p.Live(now.Add(10*time.Second))).To(BeEmpty(), "a relay that is behind")
	}
	p := announced(g, start, old)
	p.Observe(start, &Presence{Sightings: []Sighting{{AgeMS: -1 << 40, Routers: []PresenceKey{old.presenceKey()}}}})
	g.Expect(p.Live(start.Add(10*time.Second))).To(BeEmpty(), "a sighting from the future")
}

// Guards against lists that exceed the size of a datagram or leave routers out.
func TestPresenceFitsDatagrams(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	for _, step := range []float32{0, 1, 0.02} {
		from, to := NewPeers(), NewPeers()
		for i := range 1000 {
			r := Report{Router: fmt.Sprintf("r-%04d", i), Incarnation: 1, Seq: 1, Ready: true, Rate: step * float32(i)}
			g.Expect(from.Update(now, &r)).To(BeTrue())
			g.Expect(to.Update(now.Add(-time.Hour), &r)).To(BeTrue())
		}
		for _, part := range from.Presence(now, &Report{Router: "relay"}) {
			data, err := cbor.Marshal(part)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(len(data)).To(BeNumerically("<=", maxDatagram))
		}
		relay(from, to, now)
		g.Expect(to.Live(now)).To(HaveLen(1000))
	}
}

// Guards against reports of lost routers that are kept for ever in a fleet whose routers come and go.
func TestLostRoutersAreForgotten(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	p := announced(g, now, Report{Router: "r", Incarnation: 1, Seq: 1})
	g.Expect(p.RemoveLost(now.Add(forgetAfter))).To(Equal([]string{"r"}))
	g.Expect(p.entries).To(HaveLen(1))
	g.Expect(p.RemoveLost(now.Add(forgetAfter + time.Second))).To(BeEmpty())
	g.Expect(p.entries).To(BeEmpty())
	g.Expect(p.byPresence).To(BeEmpty())
	g.Expect(p.sorted).To(BeEmpty())
}
