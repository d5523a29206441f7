package dispatch

import (
	"testing"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/coordination/message"
)

// Guards against a new dispatcher that grants requests in the order in which the messages arrive instead of the order
// in which the requests arrived, and against slots that it grants while they are in use or never frees.
func TestTakeoverKeepsOrderAndSlots(t *testing.T) {
	runFleetTest(t, []int{2}, func(t *testing.T, f *fleet) {
		r1, r2, r3 := f.startRouters()
		first, second := r2.admit(time.Minute), r3.admit(time.Minute)
		time.Sleep(10 * time.Millisecond)
		running := []Attempt{first.requireGranted(t), second.requireGranted(t)}
		var waiting []*pending
		for n := range 24 {
			router := []*node{r3, r2}[n/3%2]
			waiting = append(waiting, router.admit(time.Minute))
			time.Sleep(5 * time.Millisecond)
		}
		r1.expectCounts("before the crash", 24, 2)
		f.kill("r1")
		f.setView("r2", r2r3, "r2")
		time.Sleep(60 * time.Millisecond)
		f.setView("r2", r2r3, "r3")
		time.Sleep(takeoverTime)
		r2.expectCounts("after the takeover", 24, 2)
		for n, p := range waiting {
			p.requireWaiting(t)
			running[n%2].Settle(message.SettleOK, 1)
			time.Sleep(10 * time.Millisecond)
			running[n%2] = p.requireGranted(t)
		}
		for _, a := range running {
			a.Settle(message.SettleOK, 1)
		}
		time.Sleep(time.Second)
		r2.expectCounts("all settled", 0, 0)
	})
}

// Guards against a new dispatcher that grants its first free slot to the request whose message arrived first.
func TestFirstSlotAfterTakeoverGoesToTheOldestRequest(t *testing.T) {
	runFleetTest(t, []int{1}, func(t *testing.T, f *fleet) {
		_, r2, r3 := f.startRouters()
		running := r2.admit(time.Minute)
		time.Sleep(10 * time.Millisecond)
		oldest := r3.admit(time.Minute)
		time.Sleep(10 * time.Millisecond)
		younger := r2.admit(time.Minute)
		f.kill("r1")
		f.setView("r2", r2r3, "r2")
		time.Sleep(10 * time.Millisecond)
		f.setView("r2", r2r3, "r3")
		running.requireGranted(t).Settle(message.SettleOK, 1)
		time.Sleep(takeoverTime)
		younger.requireWaiting(t)
		oldest.requireGranted(t).Settle(message.SettleOK, 1)
		time.Sleep(10 * time.Millisecond)
		younger.requireGranted(t).Settle(message.SettleOK, 1)
	})
}

// Guards against granting requests that arrived in the same millisecond in the iteration order of a map.
func TestTakeoverKeepsOrderOfSimultaneousRequests(t *testing.T) {
	runFleetTest(t, []int{1}, func(t *testing.T, f *fleet) {
		_, r2, r3 := f.startRouters()
		running := r2.admit(time.Minute)
		time.Sleep(10 * time.Millisecond)
		var waiting []*pending
		for range 40 {
			waiting = append(waiting, r3.admit(time.Minute))
		}
		f.kill("r1")
		f.setView("r2", r2r3, r2r3...)
		time.Sleep(takeoverTime)
		last := running.requireGranted(t)
		for _, p := range waiting {
			p.requireWaiting(t)
			last.Settle(message.SettleOK, 1)
			time.Sleep(10 * time.Millisecond)
			last = p.requireGranted(t)
		}
		last.Settle(message.SettleOK, 1)
	})
}
