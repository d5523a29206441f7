package dispatch

import (
	"testing"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/coordination/message"
)

// Guards against grants on a backend server that the ingress of the same process does not know yet. Such grants were
// returned unused, and the attempts then waited for 30 s or more, because a dispatcher ignores an attempt while it
// remembers that the attempt ended.
func TestNewBackendServerServesWaitingRequests(t *testing.T) {
	runFleetTest(t, []int{1}, func(t *testing.T, f *fleet) {
		r1 := f.start("r1", 11)
		f.setView("r1", onlyR1, "r1")
		running := r1.admit(time.Minute).requireGranted(t)
		waiting := r1.admit(time.Minute)
		waiting.requireWaiting(t)
		f.addServer("credits2", 1)
		f.setView("r1", onlyR1, "r1")
		a := waiting.requireGranted(t)
		if a.Backend().Name != "credits2" {
			t.Fatalf("granted on %s", a.Backend().Name)
		}
		a.Settle(message.SettleOK, 1)
		running.Settle(message.SettleOK, 1)
		r1.expectCounts("settled", 0, 0)
	})
}

// Guards against the same fault at a router that gets the new configuration later than the dispatcher.
func TestGrantOnUnknownBackendServerWaitsForConfiguration(t *testing.T) {
	runFleetTest(t, []int{1}, func(t *testing.T, f *fleet) {
		r1, r2, _ := f.startRouters()
		running := r2.admit(time.Minute)
		time.Sleep(10 * time.Millisecond)
		waiting := r2.admit(time.Minute)
		f.addServer("credits2", 1)
		f.setView("r1", r1r2r3, "r1")
		time.Sleep(time.Second)
		waiting.requireWaiting(t)
		f.setView("r1", r1r2r3, "r2")
		time.Sleep(2 * resendDelay)
		waiting.requireGranted(t).Settle(message.SettleOK, 1)
		running.requireGranted(t).Settle(message.SettleOK, 1)
		time.Sleep(time.Second)
		r1.expectCounts("settled", 0, 0)
	})
}
