package dispatch

import (
	"testing"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/coordination/message"
)

// Guards against a new dispatcher that grants requests in the order in which its messages arrive, instead of the order
// in which the requests arrived, and against slots that it grants while they are in use or never frees.
func TestTakeoverKeepsOrderAndSlots(t *testing.T) {
	bubble(t, []int{2}, func(t *testing.T, f *fleet) {
		r1, r2, r3 := f.started()
		first, second := r2.admit(time.Minute), r3.admit(time.Minute)
		time.Sleep(10 * time.Millisecond)
		running := []Attempt{first.granted(t), second.granted(t)}
		var waiting []*pending
		for n := range 24 {
			router := []*node{r3, r2}[n/3%2]
			waiting = append(waiting, router.admit(time.Minute))
			time.Sleep(5 * time.Millisecond)
		}
		r1.expect("before the crash", 24, 2)
		f.kill("r1")
		f.view("r2", r2r3, "r2")
		time.Sleep(60 * time.Millisecond)
		f.view("r2", r2r3, "r3")
		time.Sleep(arrival)
		r2.expect("after the takeover", 24, 2)
		for n, p := range waiting {
			p.waits(t)
			running[n%2].Settle(message.SettleOK, 1)
			time.Sleep(10 * time.Millisecond)
			running[n%2] = p.granted(t)
		}
		for _, a := range running {
			a.Settle(message.SettleOK, 1)
		}
		time.Sleep(time.Second)
		r2.expect("all settled", 0, 0)
	})
}

// Guards against a new dispatcher that gives its first free slot to the request whose message came first.
func TestFirstSlotAfterTakeoverGoesToTheOldestRequest(t *testing.T) {
	bubble(t, []int{1}, func(t *testing.T, f *fleet) {
		_, r2, r3 := f.started()
		running := r2.admit(time.Minute)
		time.Sleep(10 * time.Millisecond)
		oldest := r3.admit(time.Minute)
		time.Sleep(10 * time.Millisecond)
		younger := r2.admit(time.Minute)
		f.kill("r1")
		f.view("r2", r2r3, "r2")
		time.Sleep(10 * time.Millisecond)
		f.view("r2", r2r3, "r3")
		running.granted(t).Settle(message.SettleOK, 1)
		time.Sleep(arrival)
		younger.waits(t)
		oldest.granted(t).Settle(message.SettleOK, 1)
		time.Sleep(10 * time.Millisecond)
		younger.granted(t).Settle(message.SettleOK, 1)
	})
}

// Guards against an order of requests of the same millisecond that depends on the iteration over a table.
func TestTakeoverKeepsOrderOfOneInstant(t *testing.T) {
	bubble(t, []int{1}, func(t *testing.T, f *fleet) {
		_, r2, r3 := f.started()
		running := r2.admit(time.Minute)
		time.Sleep(10 * time.Millisecond)
		var waiting []*pending
		for range 40 {
			waiting = append(waiting, r3.admit(time.Minute))
		}
		f.kill("r1")
		f.view("r2", r2r3, r2r3...)
		time.Sleep(arrival)
		last := running.granted(t)
		for _, p := range waiting {
			p.waits(t)
			last.Settle(message.SettleOK, 1)
			time.Sleep(10 * time.Millisecond)
			last = p.granted(t)
		}
		last.Settle(message.SettleOK, 1)
	})
}
