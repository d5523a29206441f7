package execute

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/coordination/dispatch"
	"gooseberrytide.example/gooseberrytide/internal/coordination/message"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/state/object"
)

var (
	stockCall  = CallRequest{Team: "reciclaje", Service: "credits", Method: "GET", Path: "/stock/7"}
	creditCall = CallRequest{
		Team: "reciclaje", Service: "credits", Method: "POST", Path: "/credit", Key: "k1", Body: []byte("5"),
	}
)

// respondWith returns a backend server that responds to every call with the status.
func respondWith(status int) func(context.Context, string, Call) (*Response, error) {
	return func(_ context.Context, _ string, c Call) (*Response, error) {
		return &Response{Status: status, Header: http.Header{}, Body: []byte("answer to " + c.RequestID)}, nil
	}
}

// failThenRespond returns a backend server that fails once with each of the kinds in order and then responds with 200.
func failThenRespond(kinds ...SendErrorKind) func(context.Context, string, Call) (*Response, error) {
	next := 0
	return func(ctx context.Context, server string, c Call) (*Response, error) {
		if next < len(kinds) {
			next++
			return nil, sendError(kinds[next-1])
		}
		return respondWith(200)(ctx, server, c)
	}
}

// Guards against wrong outcomes, wrong settlements and unsafe retries after each kind of failed send.
func TestOutcomeOfFailedSends(t *testing.T) {
	const ok, failed, refused = message.SettleOK, message.SettleFailed, message.SettleRefused
	for _, c := range []struct {
		name    string
		request CallRequest
		script  []SendErrorKind
		retries int64
		outcome Outcome
		settled []message.SettleResult
	}{
		{"idempotent, broken once", stockCall, []SendErrorKind{SendBroken}, 9, Completed, []message.SettleResult{failed, ok}},
		{"idempotent, no budget", stockCall, []SendErrorKind{SendBroken}, 0, Unknown, []message.SettleResult{failed}},
		{"idempotent, refused, no budget", stockCall, []SendErrorKind{SendRefused}, 0, NotRun,
			[]message.SettleResult{refused}},
		{"idempotent, broken, then refused", stockCall, []SendErrorKind{SendBroken, SendRefused}, 1, Unknown,
			[]message.SettleResult{failed, refused}},
		{"idempotent, invalid", stockCall, []SendErrorKind{SendInvalid}, 9, Unknown, []message.SettleResult{failed}},
		{"once, broken", creditCall, []SendErrorKind{SendBroken}, 9, Unknown, []message.SettleResult{failed}},
		{"once, invalid", creditCall, []SendErrorKind{SendInvalid}, 9, Unknown, []message.SettleResult{failed}},
		{"once, not sent", creditCall, []SendErrorKind{SendNotSent}, 9, Completed, []message.SettleResult{refused, ok}},
		{"once, refused, then broken", creditCall, []SendErrorKind{SendRefused, SendBroken}, 9, Unknown,
			[]message.SettleResult{refused, failed}},
		{"once, refused, no budget", creditCall, []SendErrorKind{SendRefused}, 0, NotRun, []message.SettleResult{refused}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newTestRouter(t, "r1", newFakeStore())
				r.backends.call = failThenRespond(c.script...)
				r.retry.left.Store(c.retries)
				result := r.Call(t.Context(), c.request)
				settled, costs := r.admitter.settlements(t)
				if result.Outcome != c.outcome || !slices.Equal(settled, c.settled) {
					t.Fatalf("outcome %s (%s), settled %v", result.Outcome, result.Reason, settled)
				}
				for i, s := range settled {
					if (costs[i] == 0) != (s == refused) {
						t.Fatalf("cost %d of attempt %d with result %d", costs[i], i, s)
					}
				}
				if c.outcome != Completed && result.RetryAfter <= 0 {
					t.Fatal("no RetryAfter")
				}
			})
		})
	}
}

// Guards against a call with an unknown outcome that is not recorded, so that a repeat runs it again.
func TestUnknownOutcomeIsRecorded(t *testing.T) {
	store := newFakeStore()
	first, second := newTestRouter(t, "r1", store), newTestRouter(t, "r2", store)
	first.backends.call = failThenRespond(SendBroken)
	second.backends.call = respondWith(200)
	first.Call(t.Context(), creditCall)
	result := second.Call(t.Context(), creditCall)
	if result.Outcome != Unknown || !result.Replayed || second.backends.sent.Load() != 0 {
		t.Fatalf("repeat: %+v, sent %d", result, second.backends.sent.Load())
	}
}

// Guards against running a call twice when its repeats arrive concurrently at two routers and a response of the store
// is lost.
func TestConcurrentRepeatsRunOnce(t *testing.T) {
	for lost := range 5 {
		synctest.Test(t, func(t *testing.T) {
			store := newFakeStore()
			store.fault = func(n int) (bool, error) {
				if n == lost+1 {
					return true, context.DeadlineExceeded
				}
				return true, nil
			}
			routers := []*testRouter{newTestRouter(t, "r1", store), newTestRouter(t, "r2", store)}
			ran := make(chan string, 10)
			var group sync.WaitGroup
			results := make([]CallResult, 6)
			for _, r := range routers {
				r.backends.call = func(ctx context.Context, server string, c Call) (*Response, error) {
					time.Sleep(time.Second)
					ran <- c.RequestID
					return respondWith(200)(ctx, server, c)
				}
			}
			for i := range results {
				group.Go(func() { results[i] = routers[i%2].Call(t.Context(), creditCall) })
			}
			group.Wait()
			if len(ran) != 1 {
				t.Fatalf("%d runs", len(ran))
			}
			want := "answer to " + <-ran
			for _, r := range results {
				if r.Outcome != Completed || string(r.Response.Body) != want {
					t.Fatalf("result %+v", r)
				}
			}
		})
	}
}

// Guards against a non-idempotent call that is cancelled, or whose result is not recorded, because the caller
// disconnected after the call was sent.
func TestDisconnectDoesNotStopACallThatWasSent(t *testing.T) {
	store := newFakeStore()
	r := newTestRouter(t, "r1", store)
	ctx, disconnect := context.WithCancel(t.Context())
	r.backends.call = func(ctx context.Context, server string, c Call) (*Response, error) {
		disconnect()
		if ctx.Err() != nil {
			t.Error("the caller's disconnect reached the service")
		}
		return respondWith(201)(ctx, server, c)
	}
	if result := r.Call(ctx, creditCall); result.Outcome != Completed {
		t.Fatalf("result %+v", result)
	}
	repeat := newTestRouter(t, "r2", store).Call(t.Context(), creditCall)
	if !repeat.Replayed || repeat.Response.Status != 201 {
		t.Fatalf("repeat %+v", repeat)
	}
}

// Guards against a call that runs after the caller got the outcome not-run, and against a late grant that is not
// settled. The grant arrives after the request's deadline.
func TestLateGrantIsReturnedUnused(t *testing.T) {
	for _, request := range []CallRequest{stockCall, creditCall} {
		synctest.Test(t, func(t *testing.T) {
			store := newFakeStore()
			r := newTestRouter(t, "r1", store)
			r.backends.call = respondWith(200)
			r.admitter.before = func(ctx context.Context, _ dispatch.Work) error { <-ctx.Done(); return nil }
			began := time.Now()
			result := r.Call(t.Context(), request)
			if result.Outcome != NotRun || result.Reason != ReasonDeadline || result.RetryAfter <= 0 {
				t.Fatalf("result %+v", result)
			}
			if waited := time.Since(began); waited != 30*time.Second {
				t.Fatalf("answered after %v", waited)
			}
			settled, costs := r.admitter.settlements(t)
			if settled[0] != message.SettleUnused || costs[0] != 0 || r.backends.sent.Load() != 0 {
				t.Fatalf("settled %v at %v, sent %d", settled, costs, r.backends.sent.Load())
			}
			r.Wait()
			again := newTestRouter(t, "r2", store)
			again.backends.call = respondWith(200)
			if result := again.Call(t.Context(), request); result.Outcome != Completed {
				t.Fatalf("repeat after not-run: %+v", result)
			}
		})
	}
}

// Guards against wrong reasons and a lost RetryAfter for work that is not admitted.
func TestNotAdmittedIsNotRun(t *testing.T) {
	for _, reason := range []dispatch.NotAdmittedReason{dispatch.NotAdmittedQueueFull, dispatch.NotAdmittedDeadline,
		dispatch.NotAdmittedNoBackend, dispatch.NotAdmittedCancelled, dispatch.NotAdmittedNotServing} {
		r := newTestRouter(t, "r1", newFakeStore())
		r.admitter.before = func(context.Context, dispatch.Work) error {
			return &dispatch.NotAdmittedError{Reason: reason, RetryAfter: 3 * time.Second}
		}
		for _, request := range []CallRequest{stockCall, creditCall} {
			result := r.Call(t.Context(), request)
			if result.Outcome != NotRun || result.Reason != Reason(reason) || result.RetryAfter != 3*time.Second {
				t.Fatalf("%s: %+v", reason, result)
			}
		}
		completion := r.Complete(t.Context(), CompletionRequest{Model: "m"}, nil)
		if completion.Outcome != NotRun || completion.Reason != Reason(reason) || completion.RetryAfter != 3*time.Second {
			t.Fatalf("%s: %+v", reason, completion)
		}
		r.Wait()
		if !strings.Contains(r.store.values(), `"state":"not-run"`) {
			t.Fatalf("%s: record %s", reason, r.store.values())
		}
	}
}

// Guards against a call that runs without a claim during a store outage, unless the service is configured to allow it.
func TestStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.setDown(true)
		r := newTestRouter(t, "r1", store)
		r.backends.call = respondWith(200)
		began := time.Now()
		result := r.Call(t.Context(), creditCall)
		if result.Outcome != NotRun || result.Reason != ReasonStoreOutage || time.Since(began) != 0 ||
			r.backends.sent.Load() != 0 {
			t.Fatalf("policy refuse: %+v after %v", result, time.Since(began))
		}
		alarm := creditCall
		alarm.Service = "alarms"
		if result := r.Call(t.Context(), alarm); result.Outcome != Completed {
			t.Fatalf("policy run: %+v", result)
		}
		store.setDown(false)
		time.Sleep(time.Minute)
		repeat := newTestRouter(t, "r2", store).Call(t.Context(), alarm)
		if !repeat.Replayed {
			t.Fatalf("repeat after the outage: %+v", repeat)
		}
	})
}

// Guards against sending a call again to a server that does not deduplicate, with another key, or after a whole
// response, and against taking the refusal of a repeat for a refusal of the first send.
func TestUnansweredCallIsRepeatedAtDeduplicatingServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestRouter(t, "r1", newFakeStore(),
			&object.BackendServer{Name: "b1", Deduplicates: true}, &object.BackendServer{Name: "b2", Deduplicates: true})
		respond := failThenRespond(SendBroken, SendRefused)
		sends := map[string]int{}
		r.backends.call = func(ctx context.Context, server string, c Call) (*Response, error) {
			sends[server+" "+c.Key]++
			return respond(ctx, server, c)
		}
		if result := r.Call(t.Context(), creditCall); result.Outcome != Completed {
			t.Fatalf("result %+v", result)
		}
		if len(sends) != 1 || sends["b1 reciclaje/k1"] != 3 {
			t.Fatalf("sends by server and key: %v", sends)
		}
		r.backends.call = failThenRespond(SendBroken, SendRefused, SendNotSent)
		other := creditCall
		other.Key = "k2"
		if result := r.Call(t.Context(), other); result.Outcome != Unknown {
			t.Fatalf("a refused repeat was taken for a refusal of the first send: %+v", result)
		}
		r.admitter.settlements(t)
	})
}

// Guards against treating a call as idempotent because of a path that the service may interpret differently.
func TestRouteOfAmbiguousPaths(t *testing.T) {
	service := testObjects.Services["credits"]
	for target, idempotent := range map[string]bool{
		"/stock/7": true, "/stock/7?x=/../credit": true, "/stock/": true,
		"/stock/../credit": false, "/stock/%2e%2e/credit": false, "/stock%2f..%2fcredit": false, "/stock//credit": false,
		"/stock/%252e%252e/credit": false, `/stock\..\credit`: false, "/credit": false,
	} {
		if got := matchRoute(service, "GET", target).Idempotent; got != idempotent {
			t.Errorf("%s: idempotent %v", target, got)
		}
	}
	if r := matchRoute(service, "POST", "/stock/7"); r.Idempotent || r.Cost != 7 {
		t.Errorf("other method: %+v", r)
	}
	if r := matchRoute(&object.Service{}, "GET", "/"); r.Idempotent || r.Cost != ident.Cost(1) {
		t.Errorf("no route: %+v", r)
	}
}
