package membership_test

import (
	"fmt"
	"runtime/debug"
	"testing"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/coordination/membership"
)

// Guards against control traffic that grows with the fleet. The budget of all control traffic is 3 KB/s per node; the
// packets of the detector may use half of it, since requests need the rest.
func TestTraffic(t *testing.T) {
	const budget = 1500
	// A round has pings to 3 members, 3 suspects and one candidate. On average, others send as many pings in a period,
	// which are answered, and a few indirect pings.
	const maxMessages = 30
	for _, n := range []int{8, 64, 400} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			setUpLargeFleet(t, n)
			s := newSim(t, n, 3)
			s.measured = min(n, 16)
			start, _ := s.runUntil(time.Minute, func() bool { return s.allSee(n) })
			if !s.allSee(n) {
				t.Fatal("not converged")
			}
			s.run(2 * time.Minute) // by then each pair has exchanged packets, and idle connections have closed
			steady := s.measureRates(20 * time.Second)
			s.nodes[n-1].down = true
			detect, ok := s.runUntil(20*time.Second, func() bool { return s.allSee(n - 1) })
			if !ok {
				t.Fatal("crash not detected")
			}
			t.Logf("%3d members: converged in %v; crash seen by all in %v; per node %.0f B/s, %.2f connections/s, "+
				"%.1f messages per period", n, start, detect, steady.bytes, steady.connects, steady.messages)
			if steady.bytes > budget {
				t.Errorf("%.0f B/s per node, above %d", steady.bytes, budget)
			}
			if steady.messages > maxMessages {
				t.Errorf("%.1f messages per period and node, above %d", steady.messages, maxMessages)
			}
		})
	}
}

// setUpLargeFleet prepares a test with n members. It skips large fleets with the race detector or in short mode, and
// otherwise makes the garbage collector run less often for them.
func setUpLargeFleet(t *testing.T, n int) {
	if n <= 64 {
		return
	}
	if raceEnabled || testing.Short() {
		t.Skip("runs without the race detector")
	}
	old := debug.SetGCPercent(400)
	t.Cleanup(func() { debug.SetGCPercent(old) })
}

// rates holds message and byte rates per node, averaged over the nodes except for peak.
type rates struct {
	// bytes is the number of bytes sent per second by the measured nodes.
	bytes float64
	// messages is the number of messages sent per period of the detector.
	messages float64
	// peak is the largest number of messages sent by one node, per period of the detector.
	peak float64
	// connects is the number of connections opened per second.
	connects float64
}

// measureRates runs the simulation for d and returns the rates of that time.
func (s *sim) measureRates(d time.Duration) rates {
	for _, nd := range s.nodes {
		nd.sent, nd.bytes = 0, 0
	}
	s.opened = 0
	s.run(d)
	r := rates{connects: float64(s.opened) / d.Seconds() / float64(len(s.nodes))}
	periods := float64(d / membership.Period)
	for _, nd := range s.nodes[:s.measured] {
		r.bytes += float64(nd.bytes) / d.Seconds() / float64(s.measured)
	}
	for _, nd := range s.nodes {
		r.messages += float64(nd.sent) / periods / float64(len(s.nodes))
		r.peak = max(r.peak, float64(nd.sent)/periods)
	}
	return r
}

// Guards against message storms when all members of a failure domain of a large fleet crash at once.
func TestMassFailureStaysBounded(t *testing.T) {
	const n, dead = 400, 100
	setUpLargeFleet(t, n)
	s := newSim(t, n, 5)
	s.measured = 0
	s.runUntil(time.Minute, func() bool { return s.allSee(n) })
	for _, nd := range s.nodes[:dead] {
		nd.down = true
	}
	var worst rates
	for range 20 {
		r := s.measureRates(membership.Period)
		worst.messages = max(worst.messages, r.messages)
		worst.peak = max(worst.peak, r.peak)
	}
	took, ok := s.runUntil(30*time.Second, func() bool { return s.allSee(n - dead) })
	t.Logf("worst period: mean %.1f and peak %.0f messages per node; all gone after %v",
		worst.messages, worst.peak, 10*time.Second+took)
	if !ok {
		t.Error("dead members remain")
	}
	// 7 pings, 6 ping-reqs for each of 5 ticks, 16 relayed pings with their acks, and acks to as many pings of others.
	const limit = 7 + 30 + 32 + 31
	if worst.peak > limit {
		t.Errorf("%.0f messages in a period, above %d", worst.peak, limit)
	}
}
