package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/coordination/message"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
)

var (
	onlyR1  = []ident.RouterID{"r1"}
	r2r3    = []ident.RouterID{"r2", "r3"}
	r1r2r3  = []ident.RouterID{"r1", "r2", "r3"}
	arrival = takeoverDelay + 3*tickPeriod
)

// bubble runs a test of a fleet on synthetic time.
func bubble(t *testing.T, slots []int, test func(t *testing.T, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, slots...)
		defer f.stopAll()
		test(t, f)
	})
}

// started returns a fleet's routers after the first takeover by r1.
func (f *fleet) started() (r1, r2, r3 *node) {
	r1, r2, r3 = f.start("r1", 11), f.start("r2", 12), f.start("r3", 13)
	f.view("r1", r1r2r3, r1r2r3...)
	time.Sleep(arrival)
	return r1, r2, r3
}

// Guards against a request that waits to its deadline, and a slot that stays reserved, after a grant was lost with the
// link.
func TestLostGrantIsRepeatedWhenTheLinkReturns(t *testing.T) {
	bubble(t, []int{4}, func(t *testing.T, f *fleet) {
		r1, r2, _ := f.started()
		f.fate = func(s sent) []time.Duration {
			if s.to == "r2" {
				return nil
			}
			return []time.Duration{hop}
		}
		p := r2.admit(time.Minute)
		time.Sleep(time.Second)
		p.waits(t)
		r1.expect("grant lost", 0, 1)
		f.fate = nil
		r2.Ingress().LinkUp("r1")
		time.Sleep(3 * hop)
		p.granted(t).Settle(message.SettleOK, 7)
		time.Sleep(3 * hop)
		r1.expect("settled", 0, 0)
		if served := r1.stats().Served; served != 7 {
			t.Fatalf("served %d", served)
		}
	})
}

// Guards against a grant that comes after its request was cancelled and runs it, or keeps its slot.
func TestLateGrantAfterCancelIsReturnedUnused(t *testing.T) {
	bubble(t, []int{4}, func(t *testing.T, f *fleet) {
		r1, r2, _ := f.started()
		f.fate = func(s sent) []time.Duration {
			switch s.m.(type) {
			case *message.Grant:
				return []time.Duration{500 * time.Millisecond}
			case *message.Cancel:
				return nil
			}
			return []time.Duration{hop}
		}
		p := r2.admit(time.Minute)
		time.Sleep(100 * time.Millisecond)
		r1.expect("grant under way", 0, 1)
		p.cancel()
		p.refused(t, NotAdmittedCancelled)
		time.Sleep(time.Second)
		if n := f.count(isUnused); n != 1 {
			t.Fatalf("%d grants returned unused", n)
		}
		r1.expect("grant returned", 0, 0)
		if n := r2.Ingress().Active(); n != 0 {
			t.Fatalf("%d requests active", n)
		}
	})
}

// Guards against a repeated grant that is taken for a second one: returned unused it would free the slot of the
// attempt that runs.
func TestDuplicateGrantRunsOnce(t *testing.T) {
	bubble(t, []int{4}, func(t *testing.T, f *fleet) {
		r1, r2, _ := f.started()
		f.fate = func(s sent) []time.Duration {
			if isGrant(s) {
				return []time.Duration{hop, 20 * time.Millisecond, 30 * time.Millisecond}
			}
			return []time.Duration{hop}
		}
		p := r2.admit(time.Minute)
		time.Sleep(15 * time.Millisecond)
		a := p.granted(t)
		time.Sleep(10 * time.Millisecond)
		r1.expect("second copy arrived", 0, 1)
		if n := f.count(isUnused); n != 0 {
			t.Fatalf("%d copies returned while the attempt ran", n)
		}
		a.Settle(message.SettleOK, 3)
		time.Sleep(time.Second)
		r1.expect("third copy arrived", 0, 0)
	})
}

// Guards against a second grant of a running attempt by a router that is not the owner in the ingress's view: its slot
// must come back at once.
func TestGrantOfAnotherDispatcherIsReturnedUnused(t *testing.T) {
	bubble(t, []int{4}, func(t *testing.T, f *fleet) {
		r1, r2, r3 := f.started()
		p := r3.admit(time.Minute)
		time.Sleep(10 * time.Millisecond)
		a := p.granted(t)
		f.view("r2", r2r3, "r2")
		time.Sleep(arrival)
		r2.Handle("r3", &message.Enqueue{Shard: shardOfTest, Ref: a.Ref(), Team: "alarms", DeadlineMS: 1000})
		time.Sleep(10 * time.Millisecond)
		if n := f.count(isUnused); n != 1 {
			t.Fatalf("%d grants returned unused", n)
		}
		r1.expect("owner", 0, 1)
		r2.expect("second dispatcher", 0, 0)
	})
}

// Guards against requests that are lost, or slots that stay reserved, when a router loses a shard and gets it back
// within one incarnation.
func TestOwnerLosesAndRegainsShard(t *testing.T) {
	bubble(t, []int{2}, func(t *testing.T, f *fleet) {
		r1, r2, r3 := f.started()
		a, b := r3.admit(time.Minute), r2.admit(time.Minute)
		c := r3.admit(time.Minute)
		time.Sleep(10 * time.Millisecond)
		first, second := a.granted(t), b.granted(t)
		f.view("r2", r1r2r3, r1r2r3...)
		time.Sleep(arrival)
		r2.expect("second owner", 1, 2)
		first.Settle(message.SettleOK, 1)
		time.Sleep(10 * time.Millisecond)
		third := c.granted(t)
		d := r2.admit(time.Minute)
		f.view("r1", r1r2r3, r1r2r3...)
		time.Sleep(arrival)
		d.waits(t)
		r1.expect("first owner again", 1, 2)
		second.Settle(message.SettleOK, 1)
		time.Sleep(10 * time.Millisecond)
		d.granted(t).Settle(message.SettleOK, 1)
		third.Settle(message.SettleOK, 1)
		time.Sleep(time.Second)
		r1.expect("settled", 0, 0)
	})
}

// Guards against messages of a router's former process that act on its successor or occupy slots.
func TestRestartedRouterIgnoresOldMessages(t *testing.T) {
	bubble(t, []int{1}, func(t *testing.T, f *fleet) {
		r1, r2, _ := f.started()
		f.fate = func(s sent) []time.Duration {
			switch s.m.(type) {
			case *message.Enqueue, *message.Grant:
				return []time.Duration{hop, time.Second}
			}
			return []time.Duration{hop}
		}
		r2.admit(time.Minute)
		time.Sleep(10 * time.Millisecond)
		r2.admit(time.Minute)
		time.Sleep(10 * time.Millisecond)
		r1.expect("before the restart", 1, 1)
		again := f.start("r2", 22)
		f.view("r1", r1r2r3, r1r2r3...)
		time.Sleep(10 * time.Millisecond)
		r1.expect("after the restart", 0, 0)
		p := again.admit(time.Minute)
		time.Sleep(2 * time.Second)
		a := p.granted(t)
		r1.expect("old messages arrived", 0, 1)
		if n := again.Ingress().Active(); n != 1 {
			t.Fatalf("%d requests active after the restart", n)
		}
		a.Settle(message.SettleOK, 1)
		time.Sleep(time.Second)
		r1.expect("settled", 0, 0)
	})
}

// Guards against requests that get lost between routers whose views of the owner differ.
func TestNotOwnerIsAskedAgainUntilViewsAgree(t *testing.T) {
	bubble(t, []int{4}, func(t *testing.T, f *fleet) {
		_, r2, r3 := f.started()
		f.view("r2", r1r2r3, "r3")
		p := r3.admit(time.Minute)
		time.Sleep(time.Second)
		p.waits(t)
		refusals := f.count(func(s sent) bool {
			m, ok := s.m.(*message.Reject)
			return ok && m.Reason == message.RejectNotOwner
		})
		if refusals < 3 || refusals > 6 {
			t.Fatalf("refused %d times in a second", refusals)
		}
		f.view("r2", r1r2r3, "r2", "r1")
		time.Sleep(askAgainDelay + arrival)
		p.granted(t).Settle(message.SettleOK, 1)
		time.Sleep(time.Second)
		r2.expect("settled", 0, 0)
	})
}

// Guards against an answer of "not run" that goes out while the request can still be granted.
func TestWithdrawalComesBeforeTheAnswer(t *testing.T) {
	bubble(t, []int{1}, func(t *testing.T, f *fleet) {
		r1, r2, r3 := f.started()
		running := r2.admit(time.Minute)
		time.Sleep(10 * time.Millisecond)
		expired, left := r3.admit(300*time.Millisecond), r3.admit(time.Minute)
		time.Sleep(100 * time.Millisecond)
		r1.expect("waiting", 2, 1)
		left.cancel()
		left.refused(t, NotAdmittedCancelled)
		time.Sleep(hop + 1)
		r1.expect("caller left", 1, 1)
		time.Sleep(time.Second)
		expired.refused(t, NotAdmittedDeadline)
		r1.expect("deadline passed", 0, 1)
		running.granted(t).Settle(message.SettleOK, 1)
		time.Sleep(time.Second)
		if n := f.count(isGrant); n != 1 {
			t.Fatalf("%d grants for one request that ran", n)
		}
		r1.expect("settled", 0, 0)
	})
}

// Guards against an attempt that is settled twice and charged twice, or whose slot is freed twice.
func TestAttemptIsSettledOnce(t *testing.T) {
	bubble(t, []int{4}, func(t *testing.T, f *fleet) {
		r1, r2, _ := f.started()
		f.fate = func(s sent) []time.Duration {
			if _, ok := s.m.(*message.Settle); ok {
				return []time.Duration{hop, 50 * time.Millisecond}
			}
			return []time.Duration{hop}
		}
		a, b := r2.admit(time.Minute), r2.admit(time.Minute)
		time.Sleep(10 * time.Millisecond)
		other := b.granted(t)
		for range 3 {
			a.granted(t).Settle(message.SettleOK, 9)
		}
		a.granted(t).Settle(message.SettleFailed, 90)
		time.Sleep(time.Second)
		r1.expect("settled", 0, 1)
		if s := r1.stats(); s.Served != 9 {
			t.Fatalf("served %d", s.Served)
		}
		if n := r2.Ingress().Active(); n != 1 {
			t.Fatalf("%d requests active", n)
		}
		other.Settle(message.SettleOK, 1)
	})
}
