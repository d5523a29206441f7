package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/coordination/message"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
)

var (
	onlyR1       = []ident.RouterID{"r1"}
	r2r3         = []ident.RouterID{"r2", "r3"}
	r1r2r3       = []ident.RouterID{"r1", "r2", "r3"}
	takeoverTime = takeoverDelay + 3*tickPeriod
)

// runFleetTest runs a test with a fleet and a fake clock. slots lists the slots of each backend server.
func runFleetTest(t *testing.T, slots []int, test func(t *testing.T, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, slots...)
		defer f.stopAll()
		test(t, f)
	})
}

// startRouters starts three routers and returns them after r1 has taken over the shard.
func (f *fleet) startRouters() (r1, r2, r3 *node) {
	r1, r2, r3 = f.start("r1", 11), f.start("r2", 12), f.start("r3", 13)
	f.setView("r1", r1r2r3, r1r2r3...)
	time.Sleep(takeoverTime)
	return r1, r2, r3
}

// Guards against a request that waits until its deadline, and a slot that stays reserved, after a grant was lost
// because the link was down.
func TestLostGrantIsRepeatedWhenTheLinkReturns(t *testing.T) {
	runFleetTest(t, []int{4}, func(t *testing.T, f *fleet) {
		r1, r2, _ := f.startRouters()
		f.deliveryDelays = func(s sentMessage) []time.Duration {
			if s.to == "r2" {
				return nil
			}
			return []time.Duration{hop}
		}
		p := r2.admit(time.Minute)
		time.Sleep(time.Second)
		p.requireWaiting(t)
		r1.expectCounts("grant lost", 0, 1)
		f.deliveryDelays = nil
		r2.Ingress().LinkUp("r1")
		time.Sleep(3 * hop)
		p.requireGranted(t).Settle(message.SettleOK, 7)
		time.Sleep(3 * hop)
		r1.expectCounts("settled", 0, 0)
		if served := r1.stats().Served; served != 7 {
			t.Fatalf("served %d", served)
		}
	})
}

// Guards against a grant that arrives after its request was cancelled and runs the request or keeps a slot reserved.
func TestLateGrantAfterCancelIsReturnedUnused(t *testing.T) {
	runFleetTest(t, []int{4}, func(t *testing.T, f *fleet) {
		r1, r2, _ := f.startRouters()
		f.deliveryDelays = func(s sentMessage) []time.Duration {
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
		r1.expectCounts("grant under way", 0, 1)
		p.cancel()
		p.requireNotAdmitted(t, NotAdmittedCancelled)
		time.Sleep(time.Second)
		if n := f.count(isUnused); n != 1 {
			t.Fatalf("%d grants returned unused", n)
		}
		r1.expectCounts("grant returned", 0, 0)
		if n := r2.Ingress().Active(); n != 0 {
			t.Fatalf("%d requests active", n)
		}
	})
}

// Guards against mistaking a repeated grant for a second one. If it were returned unused, it would free the slot of the
// running attempt.
func TestDuplicateGrantRunsOnce(t *testing.T) {
	runFleetTest(t, []int{4}, func(t *testing.T, f *fleet) {
		r1, r2, _ := f.startRouters()
		f.deliveryDelays = func(s sentMessage) []time.Duration {
			if isGrant(s) {
				return []time.Duration{hop, 20 * time.Millisecond, 30 * time.Millisecond}
			}
			return []time.Duration{hop}
		}
		p := r2.admit(time.Minute)
		time.Sleep(15 * time.Millisecond)
		a := p.requireGranted(t)
		time.Sleep(10 * time.Millisecond)
		r1.expectCounts("second copy arrived", 0, 1)
		if n := f.count(isUnused); n != 0 {
			t.Fatalf("%d copies returned unused while the attempt was running", n)
		}
		a.Settle(message.SettleOK, 3)
		time.Sleep(time.Second)
		r1.expectCounts("third copy arrived", 0, 0)
	})
}

// Guards against a slot that stays reserved after a router that is not the owner in the ingress's view granted a
// running attempt again. The grant must be returned immediately.
func TestGrantOfAnotherDispatcherIsReturnedUnused(t *testing.T) {
	runFleetTest(t, []int{4}, func(t *testing.T, f *fleet) {
		r1, r2, r3 := f.startRouters()
		p := r3.admit(time.Minute)
		time.Sleep(10 * time.Millisecond)
		a := p.requireGranted(t)
		f.setView("r2", r2r3, "r2")
		time.Sleep(takeoverTime)
		r2.Handle("r3", &message.Enqueue{Shard: testShard, Ref: a.Ref(), Team: "alarms", DeadlineMS: 1000})
		time.Sleep(10 * time.Millisecond)
		if n := f.count(isUnused); n != 1 {
			t.Fatalf("%d grants returned unused", n)
		}
		r1.expectCounts("owner", 0, 1)
		r2.expectCounts("second dispatcher", 0, 0)
	})
}

// Guards against lost requests, and slots that stay reserved, when a router loses a shard and owns it again in the same
// incarnation.
func TestOwnerLosesAndRegainsShard(t *testing.T) {
	runFleetTest(t, []int{2}, func(t *testing.T, f *fleet) {
		r1, r2, r3 := f.startRouters()
		a, b := r3.admit(time.Minute), r2.admit(time.Minute)
		c := r3.admit(time.Minute)
		time.Sleep(10 * time.Millisecond)
		first, second := a.requireGranted(t), b.requireGranted(t)
		f.setView("r2", r1r2r3, r1r2r3...)
		time.Sleep(takeoverTime)
		r2.expectCounts("second owner", 1, 2)
		first.Settle(message.SettleOK, 1)
		time.Sleep(10 * time.Millisecond)
		third := c.requireGranted(t)
		d := r2.admit(time.Minute)
		f.setView("r1", r1r2r3, r1r2r3...)
		time.Sleep(takeoverTime)
		d.requireWaiting(t)
		r1.expectCounts("first owner again", 1, 2)
		second.Settle(message.SettleOK, 1)
		time.Sleep(10 * time.Millisecond)
		d.requireGranted(t).Settle(message.SettleOK, 1)
		third.Settle(message.SettleOK, 1)
		time.Sleep(time.Second)
		r1.expectCounts("settled", 0, 0)
	})
}

// Guards against messages of a router's former process that affect the new process or occupy slots.
func TestRestartedRouterIgnoresOldMessages(t *testing.T) {
	runFleetTest(t, []int{1}, func(t *testing.T, f *fleet) {
		r1, r2, _ := f.startRouters()
		f.deliveryDelays = func(s sentMessage) []time.Duration {
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
		r1.expectCounts("before the restart", 1, 1)
		again := f.start("r2", 22)
		f.setView("r1", r1r2r3, r1r2r3...)
		time.Sleep(10 * time.Millisecond)
		r1.expectCounts("after the restart", 0, 0)
		p := again.admit(time.Minute)
		time.Sleep(2 * time.Second)
		a := p.requireGranted(t)
		r1.expectCounts("old messages arrived", 0, 1)
		if n := again.Ingress().Active(); n != 1 {
			t.Fatalf("%d requests active after the restart", n)
		}
		a.Settle(message.SettleOK, 1)
		time.Sleep(time.Second)
		r1.expectCounts("settled", 0, 0)
	})
}

// Guards against requests that are lost between routers with different views of the owner.
func TestRejectedEnqueueIsResentUntilViewsAgree(t *testing.T) {
	runFleetTest(t, []int{4}, func(t *testing.T, f *fleet) {
		_, r2, r3 := f.startRouters()
		f.setView("r2", r1r2r3, "r3")
		p := r3.admit(time.Minute)
		time.Sleep(time.Second)
		p.requireWaiting(t)
		refusals := f.count(func(s sentMessage) bool {
			m, ok := s.m.(*message.Reject)
			return ok && m.Reason == message.RejectNotOwner
		})
		if refusals < 3 || refusals > 6 {
			t.Fatalf("rejected %d times in a second, want 3 to 6", refusals)
		}
		f.setView("r2", r1r2r3, "r2", "r1")
		time.Sleep(resendDelay + takeoverTime)
		p.requireGranted(t).Settle(message.SettleOK, 1)
		time.Sleep(time.Second)
		r2.expectCounts("settled", 0, 0)
	})
}

// Guards against telling a caller that its request did not run while the request can still be granted.
func TestWithdrawalComesBeforeTheAnswer(t *testing.T) {
	runFleetTest(t, []int{1}, func(t *testing.T, f *fleet) {
		r1, r2, r3 := f.startRouters()
		running := r2.admit(time.Minute)
		time.Sleep(10 * time.Millisecond)
		expired, left := r3.admit(300*time.Millisecond), r3.admit(time.Minute)
		time.Sleep(100 * time.Millisecond)
		r1.expectCounts("waiting", 2, 1)
		left.cancel()
		left.requireNotAdmitted(t, NotAdmittedCancelled)
		time.Sleep(hop + 1)
		r1.expectCounts("caller cancelled", 1, 1)
		time.Sleep(time.Second)
		expired.requireNotAdmitted(t, NotAdmittedDeadline)
		r1.expectCounts("deadline passed", 0, 1)
		running.requireGranted(t).Settle(message.SettleOK, 1)
		time.Sleep(time.Second)
		if n := f.count(isGrant); n != 1 {
			t.Fatalf("%d grants for one request that ran", n)
		}
		r1.expectCounts("settled", 0, 0)
	})
}

// Guards against an attempt that is settled twice, so that it is charged twice or its slot is freed twice.
func TestAttemptIsSettledOnce(t *testing.T) {
	runFleetTest(t, []int{4}, func(t *testing.T, f *fleet) {
		r1, r2, _ := f.startRouters()
		f.deliveryDelays = func(s sentMessage) []time.Duration {
			if _, ok := s.m.(*message.Settle); ok {
				return []time.Duration{hop, 50 * time.Millisecond}
			}
			return []time.Duration{hop}
		}
		a, b := r2.admit(time.Minute), r2.admit(time.Minute)
		time.Sleep(10 * time.Millisecond)
		other := b.requireGranted(t)
		for range 3 {
			a.requireGranted(t).Settle(message.SettleOK, 9)
		}
		a.requireGranted(t).Settle(message.SettleFailed, 90)
		time.Sleep(time.Second)
		r1.expectCounts("settled", 0, 1)
		if s := r1.stats(); s.Served != 9 {
			t.Fatalf("served %d", s.Served)
		}
		if n := r2.Ingress().Active(); n != 1 {
			t.Fatalf("%d requests active", n)
		}
		other.Settle(message.SettleOK, 1)
	})
}
