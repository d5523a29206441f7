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

// faultInjector makes the store, the backend servers and the admission of a fleet fail at random, and records which
// requests ran.
type faultInjector struct {
	mu     sync.Mutex
	random *rand.Rand
	// runs lists, for each key, the ids of the requests that ran. A deduplicating server runs each key once.
	runs map[string][]string
	// sends counts, for each request id, the sends that were not refused.
	sends map[string]int
	// notRun lists the ids of the requests with the outcome not-run.
	notRun       []string
	deduplicates bool
	completed    int
}

// randomInt returns a random number in [0, n).
func (f *faultInjector) randomInt(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.IntN(n)
}

// sleepRandom sleeps for a random time shorter than the limit.
func (f *faultInjector) sleepRandom(limit time.Duration) {
	time.Sleep(time.Duration(f.randomInt(int(limit))))
}

// serve is the backend server. It refuses the call, runs it and responds, or breaks the connection after running it or
// without running it.
func (f *faultInjector) serve(ctx context.Context, _ string, c Call) (*Response, error) {
	f.sleepRandom(2 * time.Second)
	switch f.randomInt(8) {
	case 0:
		return nil, sendError(SendNotSent)
	case 1:
		return nil, sendError(SendRefused)
	case 2:
		f.recordSend(c)
		return nil, sendError(SendBroken) // not run, but the executor cannot know
	case 3:
		f.recordSend(c)
		f.recordRun(c)
		return nil, sendError(SendBroken)
	}
	f.recordSend(c)
	first := f.recordRun(c)
	f.sleepRandom(2 * time.Second)
	if ctx.Err() != nil {
		return nil, sendError(SendBroken)
	}
	return &Response{Status: 200, Header: http.Header{}, Body: []byte(first)}, nil
}

func (f *faultInjector) recordSend(c Call) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sends[c.RequestID]++
}

// recordRun records that a call ran and returns the id of the request that ran its key first.
func (f *faultInjector) recordRun(c Call) (first string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.deduplicates || len(f.runs[c.Key]) == 0 {
		f.runs[c.Key] = append(f.runs[c.Key], c.RequestID)
	}
	return f.runs[c.Key][0]
}

// storeFault returns whether a write to the store takes effect, and its error.
func (f *faultInjector) storeFault(int) (bool, error) {
	switch f.randomInt(10) {
	case 0:
		return false, kv.ErrUnavailable
	case 1:
		return true, kv.ErrUncertain
	case 2:
		return false, kv.ErrUncertain
	}
	return true, nil
}

// admissionFault delays the admission of work and refuses some of it.
func (f *faultInjector) admissionFault(ctx context.Context, _ dispatch.Work) error {
	f.sleepRandom(time.Second)
	if ctx.Err() != nil && f.randomInt(2) == 0 {
		return &dispatch.NotAdmittedError{Reason: dispatch.NotAdmittedCancelled}
	}
	if f.randomInt(10) == 0 {
		return &dispatch.NotAdmittedError{Reason: dispatch.NotAdmittedQueueFull}
	}
	return nil // after the end of the context this is a late grant
}

// checkResult compares a result with the recorded runs.
func (f *faultInjector) checkResult(t *testing.T, key string, r CallResult) {
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	if r.Outcome == NotRun {
		f.notRun = append(f.notRun, r.RequestID)
	}
	switch {
	case r.Outcome == Completed && len(f.runs[key]) != 1:
		t.Errorf("key %s completed after %d runs", key, len(f.runs[key]))
	case r.Outcome == Completed && string(r.Response.Body) != f.runs[key][0]:
		t.Errorf("request %s got the response %q, want that of the run by %s", r.RequestID, r.Response.Body, f.runs[key][0])
	}
	if r.Outcome == Completed {
		f.completed++
	}
}

// Guards against a second run of a non-idempotent call, the outcome not-run for a call that was sent, and the response
// of another call. Repeats arrive concurrently at three routers, responses of the store and of backend servers are
// lost, grants arrive late and callers disconnect.
func TestAtMostOnceUnderFaults(t *testing.T) {
	completed := 0
	for seed := range uint64(60) {
		synctest.Test(t, func(t *testing.T) {
			f := &faultInjector{
				random:       rand.New(rand.NewPCG(seed, 11)),
				runs:         map[string][]string{},
				sends:        map[string]int{},
				deduplicates: seed%2 == 1,
			}
			store := newFakeStore()
			store.fault = f.storeFault
			var routers []*testRouter
			for i := range 3 {
				r := newTestRouter(t, ident.RouterID(fmt.Sprintf("r%d", i)), store,
					&object.BackendServer{Name: "b1", Deduplicates: f.deduplicates})
				r.retry.left.Store(1000)
				r.backends.call = f.serve
				r.admitter.before = f.admissionFault
				routers = append(routers, r)
			}
			var callers sync.WaitGroup
			for i := range 24 {
				callers.Go(func() {
					key := fmt.Sprintf("k%d", i%4)
					request := creditCall
					request.Key = key
					f.sleepRandom(10 * time.Second)
					ctx, cancel := context.WithTimeout(t.Context(), time.Duration(1+f.randomInt(int(10*time.Second))))
					defer cancel()
					f.checkResult(t, "reciclaje/"+key, routers[i%3].Call(ctx, request))
				})
			}
			callers.Wait()
			time.Sleep(time.Hour)
			for key, runs := range f.runs {
				if len(runs) > 1 {
					t.Errorf("seed %d: key %s ran %d times: %v", seed, key, len(runs), runs)
				}
			}
			for _, id := range f.notRun {
				if f.sends[id] > 0 {
					t.Errorf("seed %d: request %s has the outcome not-run but was sent", seed, id)
				}
			}
			for _, r := range routers {
				r.admitter.settlements(t)
			}
			completed += f.completed
		})
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
	if completed < 200 {
		t.Fatalf("only %d calls completed, want at least 200", completed)
	}
	t.Logf("%d of %d calls completed", completed, 60*24)
}
