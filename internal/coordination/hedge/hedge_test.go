package hedge

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

const (
	firstLimit = time.Second
	pauseLimit = 2 * time.Second
)

// substitutes makes substitutes with the results that a test sets, and counts the calls.
type substitutes struct {
	mu sync.Mutex
	// latency is the time until a substitute has its first part or fails. ok is set if it has a part.
	latency time.Duration
	ok      bool
	unread  atomic.Bool

	started, cancelled, discarded, quiet, lastPosition atomic.Int32
	firstCancelled                                     atomic.Bool
}

func (s *substitutes) make(ctx context.Context, position int) (string, bool) {
	s.started.Add(1)
	s.lastPosition.Store(int32(position))
	s.mu.Lock()
	latency, ok := s.latency, s.ok
	s.mu.Unlock()
	select {
	case <-time.After(latency):
		return "substitute", ok
	case <-ctx.Done():
		s.cancelled.Add(1)
		return "", false
	}
}

func (s *substitutes) newHedge(ctx context.Context) *Hedge[string, int] {
	return New(0, Options[string, int]{
		Context: ctx, FirstLimit: firstLimit, PauseLimit: pauseLimit,
		Unread:      func() bool { return s.unread.Load() },
		OnQuiet:     func() { s.quiet.Add(1) },
		Substitute:  s.make,
		Discard:     func(string) { s.discarded.Add(1) },
		CancelFirst: func() { s.firstCancelled.Store(true) },
	})
}

// run runs a test in virtual time.
func run(t *testing.T, s *substitutes, test func(g Gomega, h *Hedge[string, int])) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		h := s.newHedge(ctx)
		test(NewWithT(t), h)
		h.Stop()
	})
}

// sleep advances the virtual time and waits until all goroutines of the test are blocked.
func sleep(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// Guards against substitutes for an attempt that delivers within its limits.
func TestNoSubstituteWhilePartsArrive(t *testing.T) {
	s := &substitutes{ok: true}
	run(t, s, func(g Gomega, h *Hedge[string, int]) {
		sleep(firstLimit - time.Millisecond)
		for i := range 5 {
			g.Expect(h.Deliver(i)).To(BeTrue())
			h.Await()
			sleep(pauseLimit - time.Millisecond)
		}
		_, replaced := h.Stop()
		g.Expect(replaced).To(BeFalse())
		sleep(time.Hour)
		g.Expect(s.started.Load()).To(BeZero())
		g.Expect(s.quiet.Load()).To(BeZero())
	})
}

// Guards against an attempt that is cancelled before another one delivers: a failed substitute has no effect.
func TestFailedSubstituteChangesNothing(t *testing.T) {
	s := &substitutes{latency: 10 * time.Millisecond}
	run(t, s, func(g Gomega, h *Hedge[string, int]) {
		sleep(firstLimit + 11*time.Millisecond)
		g.Expect(s.started.Load()).To(BeEquivalentTo(1))
		g.Expect(h.State()).To(Equal(Waiting))
		sleep(firstLimit + 11*time.Millisecond)
		g.Expect(s.started.Load()).To(BeEquivalentTo(2), "the limit starts again")
		g.Expect(s.quiet.Load()).To(BeEquivalentTo(2))
		g.Expect(s.firstCancelled.Load()).To(BeFalse())
		g.Expect(h.Deliver(1)).To(BeTrue())
	})
}

// Guards against two attempts that deliver, and against a part that is delivered twice: the substitute continues at the
// last delivered part, and parts of the first attempt are dropped from then on.
func TestSubstituteDelivers(t *testing.T) {
	s := &substitutes{latency: 50 * time.Millisecond, ok: true}
	run(t, s, func(g Gomega, h *Hedge[string, int]) {
		g.Expect(h.Deliver(7)).To(BeTrue())
		h.Await()
		sleep(pauseLimit + time.Millisecond)
		g.Expect(h.State()).To(Equal(Hedged))
		g.Expect(s.lastPosition.Load()).To(BeEquivalentTo(7))
		sleep(50 * time.Millisecond)
		g.Expect(h.State()).To(Equal(Replaced))
		g.Expect(s.firstCancelled.Load()).To(BeTrue())
		g.Expect(h.Deliver(8)).To(BeFalse())
		a, replaced := h.Stop()
		g.Expect(replaced).To(BeTrue())
		g.Expect(a).To(Equal("substitute"))
		g.Expect(s.discarded.Load()).To(BeZero())
	})
}

// Guards against a substitute that goes on after the first attempt has delivered.
func TestSubstituteIsCancelledWhenTheFirstAttemptDelivers(t *testing.T) {
	s := &substitutes{latency: time.Second, ok: true}
	run(t, s, func(g Gomega, h *Hedge[string, int]) {
		sleep(firstLimit + 100*time.Millisecond)
		g.Expect(h.State()).To(Equal(Hedged))
		g.Expect(h.Deliver(1)).To(BeTrue())
		synctest.Wait()
		g.Expect(s.cancelled.Load()).To(BeEquivalentTo(1))
		h.Await()
		sleep(pauseLimit + time.Millisecond)
		g.Expect(s.started.Load()).To(BeEquivalentTo(2), "a later silence leads to another substitute")
	})
}

// Guards against a leaked substitute whose first part arrives together with one of the first attempt.
func TestSubstituteThatIsTooLateIsDiscarded(t *testing.T) {
	s := &substitutes{ok: true}
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var current atomic.Pointer[Hedge[string, int]]
		h := New(0, Options[string, int]{
			Context: t.Context(), FirstLimit: firstLimit, PauseLimit: pauseLimit,
			Unread: func() bool { return false }, OnQuiet: func() {},
			Substitute: func(context.Context, int) (string, bool) {
				g.Expect(current.Load().Deliver(1)).To(BeTrue())
				return "substitute", true
			},
			Discard:     func(string) { s.discarded.Add(1) },
			CancelFirst: func() { s.firstCancelled.Store(true) },
		})
		current.Store(h)
		sleep(firstLimit)
		g.Expect(s.discarded.Load()).To(BeEquivalentTo(1))
		g.Expect(s.firstCancelled.Load()).To(BeFalse())
		h.Stop()
	})
}

// Guards against a request that fails because its first attempt fails while a substitute is in progress.
func TestStopWaitsForTheSubstitute(t *testing.T) {
	for _, ok := range []bool{true, false} {
		s := &substitutes{latency: firstLimit - time.Millisecond, ok: ok}
		run(t, s, func(g Gomega, h *Hedge[string, int]) {
			sleep(firstLimit + time.Millisecond)
			_, replaced := h.Stop()
			g.Expect(replaced).To(Equal(ok))
			sleep(time.Hour)
			g.Expect(s.started.Load()).To(BeEquivalentTo(1))
		})
	}
}

// Guards against a request that waits until its deadline for a substitute whose server sends nothing, also after the
// first attempt has ended.
func TestSilentSubstituteIsJoinedByAnother(t *testing.T) {
	for _, firstEnds := range []bool{false, true} {
		s := &substitutes{latency: time.Hour}
		run(t, s, func(g Gomega, h *Hedge[string, int]) {
			sleep(firstLimit + time.Millisecond)
			g.Expect(s.started.Load()).To(BeEquivalentTo(1))
			stopped := make(chan bool, 1)
			if firstEnds {
				go func() {
					_, replaced := h.Stop()
					stopped <- replaced
				}()
			}
			s.mu.Lock()
			s.latency, s.ok = 10*time.Millisecond, true
			s.mu.Unlock()
			sleep(firstLimit + 11*time.Millisecond)
			g.Expect(s.started.Load()).To(BeEquivalentTo(2))
			g.Expect(h.State()).To(Equal(Replaced))
			g.Expect(s.cancelled.Load()).To(BeEquivalentTo(1), "the substitute that does not deliver")
			if firstEnds {
				g.Expect(<-stopped).To(BeTrue())
			}
		})
	}
}

// Guards against waiting for a substitute after the client has left.
func TestStopReturnsWhenTheContextEnds(t *testing.T) {
	s := &substitutes{latency: time.Hour, ok: true}
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(t.Context())
		h := s.newHedge(ctx)
		sleep(firstLimit + time.Millisecond)
		g.Expect(s.started.Load()).To(BeEquivalentTo(1))
		cancel()
		_, replaced := h.Stop()
		g.Expect(replaced).To(BeFalse())
		g.Expect(s.cancelled.Load()).To(BeEquivalentTo(1))
	})
}

// Guards against a substitute for an attempt whose part has arrived but was not read yet, as after a pause of the
// process, and for one whose part is being written to a slow client.
func TestArrivedPartsAreNotQuiet(t *testing.T) {
	s := &substitutes{ok: true}
	s.unread.Store(true)
	run(t, s, func(g Gomega, h *Hedge[string, int]) {
		sleep(3*firstLimit + time.Millisecond)
		g.Expect(s.started.Load()).To(BeZero())
		g.Expect(h.Deliver(1)).To(BeTrue())
		s.unread.Store(false)
		sleep(10 * pauseLimit)
		g.Expect(s.started.Load()).To(BeZero())
		g.Expect(h.State()).To(Equal(Delivering))
	})
}

// Guards against a substitute because a timer fires late: the process was inactive, and not the server.
func TestLateTimerIsRestarted(t *testing.T) {
	s := &substitutes{ok: true}
	run(t, s, func(g Gomega, h *Hedge[string, int]) {
		h.mu.Lock()
		h.due = h.due.Add(-2 * maxTimerDelay) // as if the timer had been due earlier
		h.mu.Unlock()
		sleep(firstLimit)
		g.Expect(s.started.Load()).To(BeZero())
		sleep(firstLimit)
		g.Expect(s.started.Load()).To(BeEquivalentTo(1))
	})
}

// Guards against a request that waits until its deadline, of which the limit is a half, because its process was inactive when a
// timer fired, also several times.
func TestLateTimersLeaveTimeForASubstitute(t *testing.T) {
	s := &substitutes{ok: true}
	run(t, s, func(g Gomega, h *Hedge[string, int]) {
		wait := firstLimit
		for range 3 {
			h.mu.Lock()
			h.due = h.due.Add(-2 * maxTimerDelay)
			h.mu.Unlock()
			sleep(wait)
			g.Expect(s.started.Load()).To(BeZero())
			wait = min(wait/2, maxTimerDelay)
		}
		sleep(wait)
		g.Expect(s.started.Load()).To(BeEquivalentTo(1))
	})
}

// Guards against a second run of a request that may run only once.
func TestNoSubstituteWithoutLimit(t *testing.T) {
	s := &substitutes{ok: true}
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h := New(0, Options[string, int]{Context: t.Context(), Substitute: s.make})
		sleep(time.Hour)
		g.Expect(h.Deliver(1)).To(BeTrue())
		h.Await()
		sleep(time.Hour)
		g.Expect(s.started.Load()).To(BeZero())
		h.Stop()
	})
}
