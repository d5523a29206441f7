package daemon

import (
	"fmt"
	"testing"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/coordination/membership"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
)

// A draining router must serve until the last address that another router gave out before it heard of the drain has
// run out. Callers found the port closed within the lifetime.
func TestDrainOutlivesAddressesGivenBeforeItsNews(t *testing.T) {
	const others = 7
	detector := membership.New(membership.Options{}, membership.Member{ID: "r0", Incarnation: 1, State: membership.Alive})
	var list []membership.Candidate
	for n := range others {
		list = append(list, membership.Candidate{ID: ident.RouterID(fmt.Sprintf("r%d", n+1)), PeerAddr: fmt.Sprintf("127.0.0.1:%d", n+1)})
	}
	detector.SetCandidates(0, list)
	detector.SetSelf(true, 1, 0)
	told := map[ident.RouterID]bool{}
	now := time.Duration(0)
	for ; len(told) < others; now += tickPeriod {
		if now > time.Minute {
			t.Fatalf("told within a minute: %v", told)
		}
		for _, out := range detector.Tick(now) {
			told[out.To] = true
		}
	}
	d := &Daemon{settings: &Settings{AddressLifetimeSeconds: 10}}
	if grace, need := d.drainGrace(), d.settings.AddressLifetime()+now; grace < need {
		t.Errorf("serves for %v, and addresses last %v", grace, need)
	}
}
