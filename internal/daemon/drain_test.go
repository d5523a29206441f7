package daemon

import (
	"fmt"
	"testing"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/coordination/membership"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
)

// Guards against a drain that ends while callers still use the router's address. Another router returns the address to
// callers until it learns of the drain, and they keep it for its whole lifetime; callers found the port closed.
func TestDrainOutlastsAddressesReturnedBeforePropagation(t *testing.T) {
	const peerCount = 7
	detector := membership.New(membership.Options{}, membership.Member{ID: "r0", Incarnation: 1, State: membership.Alive})
	var candidates []membership.Candidate
	for n := range peerCount {
		candidates = append(candidates, membership.Candidate{
			ID: ident.RouterID(fmt.Sprintf("r%d", n+1)), PeerAddr: fmt.Sprintf("127.0.0.1:%d", n+1),
		})
	}
	detector.SetCandidates(0, candidates)
	detector.SetSelf(true, 1, 0)
	informed := map[ident.RouterID]bool{}
	now := time.Duration(0)
	for ; len(informed) < peerCount; now += tickPeriod {
		if now > time.Minute {
			t.Fatalf("routers informed of the drain within a minute: %v", informed)
		}
		for _, out := range detector.Tick(now) {
			informed[out.To] = true
		}
	}
	d := &Daemon{settings: &Settings{AddressLifetimeSeconds: 10}}
	if grace, required := d.drainGrace(), d.settings.AddressLifetime()+now; grace < required {
		t.Errorf("new requests are accepted for %v, but callers may use the address for %v", grace, required)
	}
}
