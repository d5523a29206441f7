package dispatch

import (
	"testing"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/coordination/message"
)

// crossed makes r1 and r2 both dispatch and both grant a request of r3; r2 is the later owner in r3's view. The grant
// of the former owner arrives first.
func crossed(f *fleet) (r1, r2 *node, p *pending) {
	r1, r2, r3 := f.started()
	f.fate = func(s sent) []time.Duration {
		if isGrant(s) && s.from == "r1" {
			return []time.Duration{100 * time.Millisecond}
		}
		return []time.Duration{hop}
	}
	p = r3.admit(time.Minute)
	time.Sleep(10 * time.Millisecond)
	f.view("r2", r2r3, r2r3...)
	time.Sleep(arrival)
	return r1, r2, p
}

// Guards against two dispatchers that both grant an attempt: it must run once, and the current owner must count the run
// that takes place. The attempt ran uncounted at the new owner, which then granted one request too many.
func TestGrantsOfTwoDispatchersRunOnce(t *testing.T) {
	bubble(t, []int{4}, func(t *testing.T, f *fleet) {
		r1, r2, p := crossed(f)
		a := p.granted(t)
		r1.expect("former owner", 0, 1)
		r2.expect("current owner", 0, 1)
		time.Sleep(10 * time.Second)
		r1.expect("former owner without reports", 0, 0)
		r2.expect("current owner with reports", 0, 1)
		a.Settle(message.SettleOK, 5)
		time.Sleep(time.Second)
		r2.expect("settled", 0, 0)
		if served := r2.stats().Served; served != 5 {
			t.Fatalf("current owner counts %d cost units", served)
		}
	})
}

// Guards against a request that is registered with the old routes while new ones are put in force: it was enqueued only
// at the former dispatcher, and again after 10 s.
func TestRequestRegisteredDuringUpdateIsMoved(t *testing.T) {
	bubble(t, []int{4}, func(t *testing.T, f *fleet) {
		_, r2, r3 := f.started()
		f.kill("r1")
		f.view("r2", r2r3, "r2")
		time.Sleep(arrival)
		r3.serving = func() { f.view("r2", r2r3, "r3") }
		p := r3.admit(time.Minute)
		r3.serving = nil
		time.Sleep(2 * maintainPeriod)
		p.granted(t).Settle(message.SettleOK, 1)
		time.Sleep(time.Second)
		r2.expect("settled", 0, 0)
	})
}
