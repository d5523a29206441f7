package scheduler

import (
	"testing"
	"time"
)

// firstTokenTarget is the maximum time to the first token at p95, from section 1.4 of the design.
const firstTokenTarget = 1300 * time.Millisecond

// largeTeams and smallTeams are the indexes of the teams that clusterTeams returns.
var (
	largeTeams = []int{0, 1, 2, 3}
	smallTeams = []int{4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15}
)

// clusterTeams returns four large teams that always have a backlog and twelve small ones, unevenly spread over 8
// routers.
func clusterTeams() []simTeam {
	var teams []simTeam
	for i := range largeTeams {
		teams = append(teams, simTeam{clients: 60, cost: 200 + 100*float64(i), home: i, spread: 2 + i})
	}
	for i := range smallTeams {
		teams = append(teams, simTeam{rate: 0.2, cost: 50, home: i % 3})
	}
	return teams
}

func clusterOptions() simOptions {
	return simOptions{
		engines: 12, slots: 8, dispatchers: 1, latency: 500 * time.Microsecond, duration: 10 * time.Minute, seed: 1,
		teams: clusterTeams(),
	}
}

// Guards against a gap between large teams, or waiting times of small teams, that are far above those of an ideal
// queue. One queue per router is shown for comparison.
func TestOneDispatcherComesCloseToTheIdealQueue(t *testing.T) {
	cases := []struct {
		name                    string
		dispatchers, overcommit int
		latency                 time.Duration
		hints                   [3]float64
	}{
		{"ideal queue", 1, 0, 0, [3]float64{1, 1, 1}},
		{"one dispatcher", 1, 0, 500 * time.Microsecond, [3]float64{0.3, 1, 3}},
		{"8 queues", 8, 0, 0, [3]float64{1, 1, 1}},
		{"8 queues, overcommitted", 8, 1, 0, [3]float64{1, 1, 1}},
	}
	gaps := map[string]float64{}
	waits := map[string]time.Duration{}
	for _, c := range cases {
		o := clusterOptions()
		o.dispatchers, o.overcommit, o.latency = c.dispatchers, c.overcommit, c.latency
		for i := range o.teams {
			o.teams[i].hintFactor = c.hints[i%3]
		}
		s := newSim(o)
		s.run(30*time.Second, largeTeams...)
		gaps[c.name], waits[c.name] = s.gap(), s.waitQuantile(0.95, smallTeams...)
		t.Logf("%-24s gap of large teams %7.0f, wait of small teams p50 %v p95 %v max %v, utilisation %.4f",
			c.name, s.gap(), s.waitQuantile(0.5, smallTeams...), s.waitQuantile(0.95, smallTeams...),
			s.waitQuantile(1, smallTeams...), s.utilisation())
	}
	if gaps["one dispatcher"] > 2*gaps["ideal queue"] {
		t.Errorf("gap %.0f is more than twice the ideal %.0f", gaps["one dispatcher"], gaps["ideal queue"])
	}
	if waits["one dispatcher"] > 2*waits["ideal queue"] {
		t.Errorf("wait %v is more than twice the ideal %v", waits["one dispatcher"], waits["ideal queue"])
	}
}

// Guards against a flooding team that affects others: neither the waiting times of small teams nor the service of large
// teams may depend on the load that one team offers.
func TestFloodingTeamDoesNotAffectOthers(t *testing.T) {
	run := func(clients int) *sim {
		o := clusterOptions()
		o.teams[0].clients = clients
		o.duration = 90 * time.Second
		s := newSim(o)
		s.run(30*time.Second, largeTeams...)
		return s
	}
	normal, flood := run(60), run(3000)
	before, after := normal.waitQuantile(0.95, smallTeams...), flood.waitQuantile(0.95, smallTeams...)
	t.Logf("p95 wait of small teams %v, with a flood of 50 times %v", before, after)
	if after > before*5/4 {
		t.Errorf("the flood raised the wait from %v to %v", before, after)
	}
	for _, i := range largeTeams[1:] {
		if got, want := flood.delivered()[i], normal.delivered()[i]; got < 0.95*want {
			t.Errorf("team %d received %.0f units with the flood and %.0f without", i, got, want)
		}
	}
}

// Guards against a handover that loses the differences between the teams' counters. The service granted to two teams
// may differ by twice the sum of the largest cost and the charge errors in flight, and by one more largest cost for
// each handover, because the lags that are handed over are one grant old.
func TestHandoversKeepTheBound(t *testing.T) {
	const largestCost, inFlight, hintError = 750, 96, 0 // hints are exact
	for _, handovers := range []int{0, 10} {
		o := clusterOptions()
		s := newSim(o)
		s.measure = func() []float64 { return s.charged }
		if handovers > 0 {
			s.every(o.duration/time.Duration(handovers+1), s.handover)
		}
		s.run(30*time.Second, largeTeams...)
		bound := float64(2*(largestCost+inFlight*hintError) + handovers*largestCost)
		t.Logf("%d handovers: gap %.0f, bound %.0f, utilisation %.4f", handovers, s.gap(), bound, s.utilisation())
		if s.gap() > bound {
			t.Errorf("%d handovers: gap %.0f, bound %.0f", handovers, s.gap(), bound)
		}
	}
}

// Guards against engines with wrong load reports that receive more requests than they can run, or stay idle. One engine
// reports four times its slots, one reports negative numbers, and one reports no slots and no requests.
func TestEnginesWithWrongReportsNeitherQueueNorIdle(t *testing.T) {
	for _, configured := range []bool{true, false} {
		o := clusterOptions()
		o.unconfigured = !configured
		o.onReport = func(_ time.Duration, r *LoadReport) {
			switch r.Backend {
			case "engine-0":
				r.Slots, r.Waiting = 4*r.Slots, 0
			case "engine-1":
				r.Slots, r.Running, r.Waiting = -r.Slots, -1, -1
			case "engine-2":
				r.Slots, r.Running, r.Waiting = 0, 0, 0
			}
		}
		s := newSim(o)
		s.run(30*time.Second, largeTeams...)
		t.Logf("configured %v: wait of small teams p95 %v, utilisation %.4f, at most %d waiting in an engine",
			configured, s.waitQuantile(0.95, smallTeams...), s.utilisation(), s.maxWaiting)
		maxWaiting, minUtilisation := 0, 0.99
		if !configured {
			// A learned limit may reach twice the slots; two engines that report no slots get 4 of their 8.
			maxWaiting, minUtilisation = o.slots, 0.99-2*0.5/float64(o.engines)
		}
		if s.maxWaiting > maxWaiting || s.utilisation() < minUtilisation {
			t.Errorf("configured %v: %d waiting in an engine, utilisation %.4f", configured, s.maxWaiting, s.utilisation())
		}
		if w := s.waitQuantile(0.95, smallTeams...); w > firstTokenTarget {
			t.Errorf("configured %v: small teams wait %v at p95", configured, w)
		}
	}
}

// Guards against teams that gain service through wrong hints.
func TestWrongHintsGainNoShare(t *testing.T) {
	o := clusterOptions()
	o.teams = nil
	for _, f := range []float64{0.1, 1, 10} {
		o.teams = append(o.teams, simTeam{clients: 100, cost: 300, hintFactor: f})
	}
	s := newSim(o)
	s.run(0)
	w := s.delivered()
	t.Logf("work with hints of 0.1, 1 and 10 times the cost: %.0f", w)
	for _, got := range w {
		if share := got / (w[0] + w[1] + w[2]); share < 0.32 || share > 0.35 {
			t.Errorf("share %.3f, want a third", share)
		}
	}
}
