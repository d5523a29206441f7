package claim

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a second run at the same router while the store is down, before or after the first has ended, and
// against a table of calls that grows without bound.
func TestRouterRunsCallsWithoutClaimOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		m := newManager(t, store, "r1")
		c := testCall
		c.RunOnStoreOutage = true
		first := mustBegin(t, m, c)
		store.setFaults(func(string, []byte) fault { return faultRefused }, func(string) fault { return faultRefused })
		short, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		var open *OpenError
		if _, _, err := m.Begin(short, c); !errors.As(err, &open) {
			t.Fatalf("while the first runs: %v", err)
		}
		time.AfterFunc(time.Second, func() { _ = first.Abandon(context.Background()) })
		second := mustBegin(t, m, c)
		_ = second.Finish(t.Context(), Result{Outcome: Completed, Status: 200, Body: []byte("rung")})
		if _, r, err := m.Begin(t.Context(), c); err != nil || string(r.Body) != "rung" {
			t.Fatalf("after the end: %+v, %v", r, err)
		}
		other := c
		other.Fingerprint = NewFingerprint()
		var conflict *KeyConflictError
		if _, _, err := m.Begin(t.Context(), other); !errors.As(err, &conflict) {
			t.Fatalf("other request: %v", err)
		}
		store.setFaults(nil, nil)
		time.Sleep(2 * maxReconcileDelay)
		if r := store.record(c); r.State != stateDone {
			t.Fatalf("after the outage: %+v", r)
		}
		c.Key = "large"
		_ = mustBegin(t, m, c).Finish(t.Context(), Result{Outcome: Completed, Body: make([]byte, maxLocalBodyBytes+1)})
		if _, r, err := m.Begin(t.Context(), c); err != nil || r.BodyOmitted || len(r.Body) != maxLocalBodyBytes+1 {
			t.Fatalf("large result: omitted %v, %v", r.BodyOmitted, err)
		}
		for i := range maxEndedLocalCalls + 10 {
			c.Key = fmt.Sprint(i)
			local, _ := m.localCalls.getOrAdd(storeKey(c), c)
			local.end(&Result{Body: make([]byte, maxLocalBodyBytes+1)})
		}
		if n := len(m.localCalls.calls); n != maxEndedLocalCalls || len(m.localCalls.ended) != maxEndedLocalCalls {
			t.Fatalf("%d calls kept in memory", n)
		}
	})
}

// Guards against unbounded memory use by results that wait for the store.
func TestUnrecordedResultsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		m := newManager(t, store, "r1")
		m.maxReconcilingBytes = 4 * MaxResultBody
		const calls = 8
		var held []*Claim
		for i := range calls {
			c := testCall
			c.Key = fmt.Sprint(i)
			held = append(held, mustBegin(t, m, c))
		}
		store.setFaults(func(string, []byte) fault { return faultRefused }, nil)
		for _, h := range held {
			_ = h.Finish(t.Context(), Result{Outcome: Completed, Body: make([]byte, MaxResultBody)})
		}
		if m.reconcilingBytes > m.maxReconcilingBytes || m.reconcilingBytes == 0 || m.Reconciling() != calls {
			t.Fatalf("%d bytes of %d results wait to be recorded", m.reconcilingBytes, m.Reconciling())
		}
		store.setFaults(nil, nil)
		if err := m.Drain(t.Context()); err != nil || m.reconcilingBytes != 0 {
			t.Fatalf("%v, %d bytes left", err, m.reconcilingBytes)
		}
		for key, r := range store.allRecords() {
			if r.State != stateDone {
				t.Fatalf("%s: %s", key, r.State)
			}
		}
	})
}
