package membership_test

import (
	"testing"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/coordination/membership"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
)

// Guards against delaying all later rounds by a tick whenever a tick is late: then too few pings fit into the window
// over which majorities of large fleets are estimated.
func TestLateTicksDoNotDelayRounds(t *testing.T) {
	const tick, rounds = 100 * time.Millisecond, 120
	d := membership.New(membership.Options{}, membership.Member{ID: "a", Incarnation: 1, PeerAddr: "127.0.0.1:1"})
	candidates := []membership.Candidate{{ID: "a", PeerAddr: "127.0.0.1:1"}}
	for _, id := range []ident.RouterID{"b", "c", "d", "e"} {
		candidates = append(candidates, membership.Candidate{ID: id, PeerAddr: "127.0.0.1:2"})
	}
	d.SetCandidates(0, candidates)
	roundsSeen := 0
	for k := range rounds * int(membership.Period/tick) {
		// Tickers do not accumulate delays; each tick is up to 3 ms late.
		late := time.Duration(k*7%4) * time.Millisecond
		for _, out := range d.Tick(time.Duration(k)*tick + late) {
			if out.Packet.Kind == membership.Ping {
				roundsSeen++
				break
			}
		}
	}
	if roundsSeen < rounds-1 {
		t.Errorf("%d rounds in the time of %d", roundsSeen, rounds)
	}
}
