package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/coordination/message"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/state/timeline"
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

// Guards against a run that a dispatcher does not count, because the attempt had left its own queue without a run: the
// grant came back unused or the request was refused while another dispatcher granted it. Late reports of an attempt that
// has run stay ignored.
func TestRunUnderAnotherGrantIsCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := NewDispatcher(DispatcherOptions{Self: "r1", Incarnation: 7, Sender: outbox{}, Events: timeline.New(64, "r1")})
		d.Update(routesWith(map[ident.RouterID]ident.Incarnation{"r1": 7}))
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
			d.Handle("r2", &message.Enqueue{Shard: shardOfTest, Ref: ref, Team: "alarms", DeadlineMS: end.deadlineMS})
			if end.end != 0 {
				d.Handle("r2", &message.Settle{Shard: shardOfTest, Ref: ref, Result: end.end})
			}
			for range 2 {
				d.Handle("r2", &message.Running{Shard: shardOfTest, Ref: ref, Team: "alarms", Backend: "credits1"})
			}
			if s := d.Stats()[shardOfTest]; s.Running != end.counted {
				t.Fatalf("%s: %d running, want %d", end.name, s.Running, end.counted)
			}
			d.Handle("r2", &message.Settle{Shard: shardOfTest, Ref: ref, Result: message.SettleOK})
			d.Handle("r2", &message.Running{Shard: shardOfTest, Ref: ref, Team: "alarms", Backend: "credits1"})
			if s := d.Stats()[shardOfTest]; s.Running != 0 {
				t.Fatalf("%s: %d running after the end", end.name, s.Running)
			}
		}
	})
}

// Guards against a late copy of an Enqueue that puts a running attempt back into the queue, because its backend server
// takes no new work or is not known to the dispatcher.
func TestLateEnqueueOfRunningAttemptIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := outbox{}
		d := NewDispatcher(DispatcherOptions{Self: "r1", Incarnation: 7, Sender: out, Events: timeline.New(64, "r1")})
		d.Update(routesWith(map[ident.RouterID]ident.Incarnation{"r1": 7}))
		ref := ident.AttemptRef{Request: ident.RequestRef{Router: "r2", Incarnation: 5, Seq: 1}, Attempt: 1}
		enqueue := &message.Enqueue{Shard: shardOfTest, Ref: ref, Team: "alarms", DeadlineMS: 1000}
		d.Handle("r2", &message.Running{Shard: shardOfTest, Ref: ref, Team: "alarms", Backend: "credits9"})
		d.Handle("r2", enqueue)
		if s := d.Stats()[shardOfTest]; s.Running != 1 || len(out["r2"]) != 0 {
			t.Fatalf("%d running, answers %v", s.Running, out["r2"])
		}
	})
}
