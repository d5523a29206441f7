package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/coordination/message"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/state/timeline"
)

// startConflictingGrants makes r1 and r2 both dispatch the shard and both grant the same request of r3. In r3's view,
// r2 replaces r1 as the owner. The grant of the former owner r1 arrives first.
func startConflictingGrants(f *fleet) (r1, r2 *node, p *pending) {
	r1, r2, r3 := f.startRouters()
	f.deliveryDelays = func(s sentMessage) []time.Duration {
		if isGrant(s) && s.from == "r1" {
			return []time.Duration{100 * time.Millisecond}
		}
		return []time.Duration{hop}
	}
	p = r3.admit(time.Minute)
	time.Sleep(10 * time.Millisecond)
	f.setView("r2", r2r3, r2r3...)
	time.Sleep(takeoverTime)
	return r1, r2, p
}

// Guards against an attempt that runs twice, or that the current owner does not count, when two dispatchers grant it.
// The new owner did not count the running attempt and granted one request too many.
func TestGrantsOfTwoDispatchersRunOnce(t *testing.T) {
	runFleetTest(t, []int{4}, func(t *testing.T, f *fleet) {
		r1, r2, p := startConflictingGrants(f)
		a := p.requireGranted(t)
		r1.expectCounts("former owner", 0, 1)
		r2.expectCounts("current owner", 0, 1)
		time.Sleep(10 * time.Second)
		r1.expectCounts("former owner without reports", 0, 0)
		r2.expectCounts("current owner with reports", 0, 1)
		a.Settle(message.SettleOK, 5)
		time.Sleep(time.Second)
		r2.expectCounts("settled", 0, 0)
		if served := r2.stats().Served; served != 5 {
			t.Fatalf("current owner counts %d cost units, want 5", served)
		}
	})
}

// Guards against a request that is registered with the old routes while new ones are applied. It was enqueued only at
// the former dispatcher, and at the new one only after 10 s.
func TestRequestRegisteredDuringUpdateIsMoved(t *testing.T) {
	runFleetTest(t, []int{4}, func(t *testing.T, f *fleet) {
		_, r2, r3 := f.startRouters()
		f.kill("r1")
		f.setView("r2", r2r3, "r2")
		time.Sleep(takeoverTime)
		r3.serving = func() { f.setView("r2", r2r3, "r3") }
		p := r3.admit(time.Minute)
		r3.serving = nil
		time.Sleep(2 * maintenancePeriod)
		p.requireGranted(t).Settle(message.SettleOK, 1)
		time.Sleep(time.Second)
		r2.expectCounts("settled", 0, 0)
	})
}

// Guards against a running attempt that a dispatcher does not count because the attempt had left its queue without
// running: its grant was returned unused, or it was rejected, while another dispatcher granted the attempt. Late
// reports of an attempt that has run must still be ignored.
func TestRunUnderAnotherGrantIsCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := NewDispatcher(DispatcherOptions{Self: "r1", Incarnation: 7, Sender: outbox{}, Events: timeline.New(64, "r1")})
		d.Update(testRoutes(map[ident.RouterID]ident.Incarnation{"r1": 7}))
		ends := []struct {
			name       string
			deadlineMS uint32
			end        message.SettleResult
			counted    int
		}{
			{"returned unused", 1000, message.SettleUnused, 1},
			{"refused", 0, 0, 1},
			{"ran", 1000, message.SettleOK, 0},
		}
		for n, end := range ends {
			ref := ident.AttemptRef{Request: ident.RequestRef{Router: "r2", Incarnation: 5, Seq: uint64(n)}, Attempt: 1}
			d.Handle("r2", &message.Enqueue{Shard: testShard, Ref: ref, Team: "alarms", DeadlineMS: end.deadlineMS})
			if end.end != 0 {
				d.Handle("r2", &message.Settle{Shard: testShard, Ref: ref, Result: end.end})
			}
			for range 2 {
				d.Handle("r2", &message.Running{Shard: testShard, Ref: ref, Team: "alarms", Backend: "credits1"})
			}
			if s := d.Stats()[testShard]; s.Running != end.counted {
				t.Fatalf("%s: %d running, want %d", end.name, s.Running, end.counted)
			}
			d.Handle("r2", &message.Settle{Shard: testShard, Ref: ref, Result: message.SettleOK})
			d.Handle("r2", &message.Running{Shard: testShard, Ref: ref, Team: "alarms", Backend: "credits1"})
			if s := d.Stats()[testShard]; s.Running != 0 {
				t.Fatalf("%s: %d running after the end", end.name, s.Running)
			}
		}
	})
}

// Guards against a late copy of an Enqueue that puts a running attempt back into the queue because its backend server
// accepts no new work or is not known to the dispatcher.
func TestLateEnqueueOfRunningAttemptIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := outbox{}
		d := NewDispatcher(DispatcherOptions{Self: "r1", Incarnation: 7, Sender: out, Events: timeline.New(64, "r1")})
		d.Update(testRoutes(map[ident.RouterID]ident.Incarnation{"r1": 7}))
		ref := ident.AttemptRef{Request: ident.RequestRef{Router: "r2", Incarnation: 5, Seq: 1}, Attempt: 1}
		enqueue := &message.Enqueue{Shard: testShard, Ref: ref, Team: "alarms", DeadlineMS: 1000}
		d.Handle("r2", &message.Running{Shard: testShard, Ref: ref, Team: "alarms", Backend: "credits9"})
		d.Handle("r2", enqueue)
		if s := d.Stats()[testShard]; s.Running != 1 || len(out["r2"]) != 0 {
			t.Fatalf("%d running, answers %v", s.Running, out["r2"])
		}
	})
}
