package faults

import (
	"context"
	"fmt"
	"sort"
	"time"
)

// Result is what one scenario with one seed showed.
type Result struct {
	Scenario string
	Seed     uint64
	Requests int
	// ExecutedTwice is the number of idempotency keys that ran more than once.
	ExecutedTwice int
	// NotRunButExecuted is the number of requests that ran although their callers were told not-run.
	NotRunButExecuted int
	// Lost and Cut are the requests without an outcome that no killed or paused ingress router explains: no answer
	// within the caller's limit, and a broken connection.
	Lost int
	Cut  int
	// Reverted is the number of times a router process went back to a lower generation.
	Reverted int
	// Stalest is the longest time for which a router was seen to serve after the next configuration was accepted.
	Stalest time.Duration
	// Details describe each failure.
	Details []string
	// Outcomes are the numbers of requests by kind and outcome.
	Outcomes map[string]int
	// Dir holds the logs of a failed run.
	Dir string
	Err error
}

// Failed reports whether a promise was broken or the scenario could not be run.
func (r *Result) Failed() bool {
	return r.Err != nil || len(r.Details) > 0
}

// check compares what callers were told with the execution counts.
func (w *world) check(ctx context.Context, t *traffic) (*Result, error) {
	counts, err := w.counts(ctx)
	if err != nil {
		return nil, err
	}
	for _, b := range w.fleet.Engines {
		if b.Ended() {
			continue
		}
		if err := w.keepExecutions(ctx, b); err != nil {
			return nil, err
		}
	}
	byKey, byRequest := map[string]int{}, map[string]int{}
	for _, c := range counts {
		for key, n := range c.ByKey {
			byKey[key] += n
		}
		for id, n := range c.ByRequest {
			byRequest[id] += n
		}
	}
	for _, x := range w.engines {
		byRequest[x.RequestID]++
	}
	r := &Result{}
	r.checkKeys(byKey, t)
	r.checkNotRun(byRequest, t)
	r.addTraffic(w, t)
	return r, nil
}

// checkKeys finds keys that ran twice, and completed calls that did not run.
func (r *Result) checkKeys(byKey map[string]int, t *traffic) {
	for key, n := range byKey {
		if n > 1 {
			r.ExecutedTwice++
			r.fail("key %s ran %d times", key, n)
		}
	}
	for key := range t.completed {
		if byKey[key] == 0 {
			r.fail("key %s completed without a run", key)
		}
	}
}

func (r *Result) checkNotRun(byRequest map[string]int, t *traffic) {
	for id, reason := range t.notRun {
		if byRequest[id] > 0 {
			r.NotRunButExecuted++
			r.fail("request %s was answered not-run (%s) and ran %d times", id, reason, byRequest[id])
		}
	}
}

// addTraffic adds what callers and polls saw.
func (r *Result) addTraffic(w *world, t *traffic) {
	r.Requests = t.requests
	r.Lost = t.lost
	r.Cut = t.cut
	r.Reverted = len(w.reverted)
	r.Stalest = w.stalest
	r.Outcomes = t.outcomes
	r.Details = append(r.Details, t.details...)
	r.Details = append(r.Details, w.reverted...)
	r.Details = append(r.Details, w.violations...)
	sort.Strings(r.Details)
}

func (r *Result) fail(format string, args ...any) {
	r.Details = append(r.Details, fmt.Sprintf(format, args...))
}
