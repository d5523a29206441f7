package execute

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/coordination/dispatch"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/state/kv"
	"gooseberrytide.example/gooseberrytide/internal/state/object"
)

// world is a fleet whose store, backend servers and callers fail at random.
type world struct {
	mu     sync.Mutex
	random *rand.Rand
	// runs holds the request ids that ran each key. A deduplicating server counts a key once.
	runs map[string][]string
	// sends counts how often each request was sent and not refused.
	sends map[string]int
	// notRun holds the ids of requests that were told not-run.
	notRun  []string
	dedup   bool
	answers int
}

func (w *world) below(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.random.IntN(n)
}

// pause sleeps for a random time.
func (w *world) pause(most time.Duration) {
	time.Sleep(time.Duration(w.below(int(most))))
}

// serve is the backend server: it refuses, runs and answers, or runs or not and breaks the connection.
func (w *world) serve(ctx context.Context, _ string, c Call) (*Response, error) {
	w.pause(2 * time.Second)
	switch w.below(8) {
	case 0:
		return nil, failure(SendNotSent)
	case 1:
		return nil, failure(SendRefused)
	case 2:
		w.sent(c)
		return nil, failure(SendBroken) // not run, but nobody can know
	case 3:
		w.sent(c)
		w.run(c)
		return nil, failure(SendBroken)
	}
	w.sent(c)
	first := w.run(c)
	w.pause(2 * time.Second)
	if ctx.Err() != nil {
		return nil, failure(SendBroken)
	}
	return &Response{Status: 200, Header: http.Header{}, Body: []byte(first)}, nil
}

func (w *world) sent(c Call) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sends[c.RequestID]++
}

func (w *world) run(c Call) (first string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.dedup || len(w.runs[c.Key]) == 0 {
		w.runs[c.Key] = append(w.runs[c.Key], c.RequestID)
	}
	return w.runs[c.Key][0]
}

func (w *world) storeFault(int) (bool, error) {
	switch w.below(10) {
	case 0:
		return false, kv.ErrUnavailable
	case 1:
		return true, kv.ErrUncertain
	case 2:
		return false, kv.ErrUncertain
	}
	return true, nil
}

func (w *world) admit(ctx context.Context, _ dispatch.Work) error {
	w.pause(time.Second)
	if ctx.Err() != nil && w.below(2) == 0 {
		return &dispatch.NotAdmittedError{Reason: dispatch.NotAdmittedCancelled}
	}
	if w.below(10) == 0 {
		return &dispatch.NotAdmittedError{Reason: dispatch.NotAdmittedQueueFull}
	}
	return nil // after the end of the context this is a late grant
}

// check compares a result with what really happened.
func (w *world) check(t *testing.T, key string, r CallResult) {
	t.Helper()
	w.mu.Lock()
	defer w.mu.Unlock()
	if r.Outcome == NotRun {
		w.notRun = append(w.notRun, r.RequestID)
	}
	switch {
	case r.Outcome == Completed && len(w.runs[key]) != 1:
		t.Errorf("key %s completed after %d runs", key, len(w.runs[key]))
	case r.Outcome == Completed && string(r.Response.Body) != w.runs[key][0]:
		t.Errorf("request %s got the answer %q, run by %s", r.RequestID, r.Response.Body, w.runs[key][0])
	}
	if r.Outcome == Completed {
		w.answers++
	}
}

// Guards against a second run of a non-idempotent call, a false not-run, and another call's answer, while repeats cross
// at three routers, answers of the store and of backend servers are lost, grants come late and callers leave.
func TestAtMostOnceUnderFaults(t *testing.T) {
	completed := 0
	for seed := range uint64(60) {
		synctest.Test(t, func(t *testing.T) {
			w := &world{
				random: rand.New(rand.NewPCG(seed, 11)),
				runs:   map[string][]string{},
				sends:  map[string]int{},
				dedup:  seed%2 == 1,
			}
			store := newFakeStore()
			store.fault = w.storeFault
			var rigs []*rig
			for i := range 3 {
				r := newRig(t, ident.RouterID(fmt.Sprintf("r%d", i)), store, &object.BackendServer{Name: "b1", Deduplicates: w.dedup})
				r.retry.left.Store(1000)
				r.backends.call = w.serve
				r.admitter.before = w.admit
				rigs = append(rigs, r)
			}
			var callers sync.WaitGroup
			for i := range 24 {
				callers.Go(func() {
					key := fmt.Sprintf("k%d", i%4)
					request := creditCall
					request.Key = key
					w.pause(10 * time.Second)
					ctx, cancel := context.WithTimeout(t.Context(), time.Duration(1+w.below(int(10*time.Second))))
					defer cancel()
					w.check(t, "reciclaje/"+key, rigs[i%3].Call(ctx, request))
				})
			}
			callers.Wait()
			time.Sleep(time.Hour)
			for key, runs := range w.runs {
				if len(runs) > 1 {
					t.Errorf("seed %d: key %s ran %d times: %v", seed, key, len(runs), runs)
				}
			}
			for _, id := range w.notRun {
				if w.sends[id] > 0 {
					t.Errorf("seed %d: request %s was told not-run and was sent", seed, id)
				}
			}
			for _, r := range rigs {
				r.admitter.results(t)
			}
			completed += w.answers
		})
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
	if completed < 200 {
		t.Fatalf("only %d calls completed, too few to show anything", completed)
	}
	t.Logf("%d of %d calls completed", completed, 60*24)
}
