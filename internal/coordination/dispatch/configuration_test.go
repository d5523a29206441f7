package dispatch

import (
	"testing"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/coordination/message"
)

// Guards against grants on a backend server that the same process's ingress does not know yet. They were returned
// unused, and the attempts then waited for 30 s or more, because a dispatcher ignores an attempt whose end it remembers.
func TestNewBackendServerServesWaitingRequests(t *testing.T) {
	bubble(t, []int{1}, func(t *testing.T, f *fleet) {
		r1 := f.start("r1", 11)
		f.view("r1", onlyR1, "r1")
		running := r1.admit(time.Minute).granted(t)
		waiting := r1.admit(time.Minute)
		waiting.waits(t)
		f.addServer("credits2", 1)
		f.view("r1", onlyR1, "r1")
		a := waiting.granted(t)
		if a.Backend().Name != "credits2" {
			t.Fatalf("granted on %s", a.Backend().Name)
		}
		a.Settle(message.SettleOK, 1)
		running.Settle(message.SettleOK, 1)
		r1.expect("settled", 0, 0)
	})
}

// Guards against the same fault at a router that gets the configuration later than the dispatcher.
func TestGrantOnUnknownBackendServerWaitsForConfiguration(t *testing.T) {
	bubble(t, []int{1}, func(t *testing.T, f *fleet) {
		r1, r2, _ := f.started()
		running := r2.admit(time.Minute)
		time.Sleep(10 * time.Millisecond)
		waiting := r2.admit(time.Minute)
		f.addServer("credits2", 1)
		f.view("r1", r1r2r3, "r1")
		time.Sleep(time.Second)
		waiting.waits(t)
		f.view("r1", r1r2r3, "r2")
		time.Sleep(2 * askAgainDelay)
		waiting.granted(t).Settle(message.SettleOK, 1)
		running.granted(t).Settle(message.SettleOK, 1)
		time.Sleep(time.Second)
		r1.expect("settled", 0, 0)
	})
}
