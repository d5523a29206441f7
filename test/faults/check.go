package faults

import (
	"context"
	"fmt"
	"sort"
	"time"
)

// Result is the result of one scenario with one seed.
type Result struct {
	Scenario string
	Seed     uint64
	Requests int
	// ExecutedTwice is the number of idempotency keys that ran more than once.
	ExecutedTwice int
	// NotRunButExecuted is the number of requests that ran although their callers got the outcome not-run.
	NotRunButExecuted int
	// Lost and Cut are the numbers of requests without an outcome whose ingress router was neither killed nor paused.
	// Lost requests got no answer within the caller's timeout; the connections of Cut requests broke.
	Lost int
	Cut  int
	// Reverted is the number of times that a router process went back to a lower generation.
	Reverted int
	// MaxStaleness is the longest time after the acceptance of a configuration at which a router was seen to serve with
	// the previous one.
	MaxStaleness time.Duration
	// Failures describes each violation of a guarantee.
	Failures []string
	// Outcomes holds the numbers of requests and publishes by kind and outcome.
	Outcomes map[string]int
	// Dir is the directory with the logs of a failed run.
	Dir string
	// Err is set if the scenario could not be run to its end.
	Err error
}

// Failed reports whether a guarantee was violated or the scenario could not be run to its end.
func (r *Result) Failed() bool {
	return r.Err != nil || len(r.Failures) > 0
}

// check compares the outcomes that callers got with the execution counts of the stand-ins.
func (h *harness) check(ctx context.Context, t *traffic) (*Result, error) {
	counts, err := h.serviceCounts(ctx)
	if err != nil {
		return nil, err
	}
	for _, b := range h.fleet.Engines {
		if b.Ended() {
			continue
		}
		if err := h.saveExecutions(ctx, b); err != nil {
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
	for _, x := range h.engineExecutions {
		byRequest[x.RequestID]++
	}
	r := &Result{}
	r.checkKeys(byKey, t)
	r.checkNotRun(byRequest, t)
	r.addTraffic(h, t)
	return r, nil
}

// checkKeys reports keys that ran more than once, and completed calls that did not run.
func (r *Result) checkKeys(byKey map[string]int, t *traffic) {
	for key, n := range byKey {
		if n > 1 {
			r.ExecutedTwice++
			r.addFailure("key %s ran %d times", key, n)
		}
	}
	for key := range t.completed {
		if byKey[key] == 0 {
			r.addFailure("key %s was completed but never ran", key)
		}
	}
}

func (r *Result) checkNotRun(byRequest map[string]int, t *traffic) {
	for id, reason := range t.notRun {
		if byRequest[id] > 0 {
			r.NotRunButExecuted++
			r.addFailure("request %s was answered not-run (%s) and ran %d times", id, reason, byRequest[id])
		}
	}
}

// addTraffic adds the counts and failures of the load and of the status polls.
func (r *Result) addTraffic(h *harness, t *traffic) {
	r.Requests = t.requests
	r.Lost = t.lost
	r.Cut = t.cut
	r.Reverted = len(h.reversions)
	r.MaxStaleness = h.maxStaleness
	r.Outcomes = t.outcomes
	r.Failures = append(r.Failures, t.failures...)
	r.Failures = append(r.Failures, h.reversions...)
	r.Failures = append(r.Failures, h.violations...)
	sort.Strings(r.Failures)
}

func (r *Result) addFailure(format string, args ...any) {
	r.Failures = append(r.Failures, fmt.Sprintf(format, args...))
}
