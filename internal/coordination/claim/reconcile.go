package claim

import (
	"context"
	"errors"

	"go.uber.org/zap"

	"gooseberrytide.example/gooseberrytide/internal/state/kv"
)

// reconcile brings a record to its final state in the background: done with the result, or not-run when result is
// nil. expect is the revision that the holder's last write expected or made.
func (m *Manager) reconcile(c Call, key string, holder holderID, expect kv.Revision, result *Result) {
	e := &ending{m: m, call: c, key: key, holder: holder, expect: expect}
	if !e.enter(result) {
		m.log.Warn("claim: record left open, too many records are being settled", zap.String("key", key))
		return
	}
	go e.run()
}

// ending is the background work on one record.
type ending struct {
	m      *Manager
	call   Call
	key    string
	holder holderID
	expect kv.Revision
	result *Result
}

func (e *ending) run() {
	defer e.m.running.Done()
	defer e.leave()
	ctx, cancel := context.WithTimeout(e.m.background, reconcileFor)
	defer cancel()
	waits := newBackoff(reconcileMin, reconcileMax)
	for !e.try(ctx) {
		if !pause(ctx, waits.NextBackOff()) {
			e.m.log.Warn("claim: record left open", zap.String("key", e.key))
			return
		}
	}
}

// enter counts the work, and keeps the result within the limit of all results.
func (e *ending) enter(result *Result) bool {
	m := e.m
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed || m.settling >= maxReconcile {
		return false
	}
	if result != nil {
		kept := result.limited()
		if m.settlingBytes+len(kept.Body) > m.settlingLimit {
			kept = kept.bare()
		}
		m.settlingBytes += len(kept.Body)
		e.result = &kept
	}
	m.settling++
	m.running.Add(1)
	return true
}

func (e *ending) leave() {
	m := e.m
	m.mu.Lock()
	defer m.mu.Unlock()
	m.settling--
	if e.result != nil {
		m.settlingBytes -= len(e.result.Body)
	}
}

// try makes one attempt and reports whether the record is settled.
func (e *ending) try(ctx context.Context) bool {
	entry, err := e.m.read(ctx, e.key)
	if err != nil && !errors.Is(err, kv.ErrNotFound) {
		return false
	}
	if err == nil {
		switch e.stepFor(entry) {
		case stepWait:
			return false
		case stepResult:
			return true
		}
	}
	if !e.m.writes.takeOne(false) {
		return false
	}
	_, err = e.m.swap(ctx, e.key, entry.Revision, e.call.ended(e.holder, e.result, e.m.clock()))
	return err == nil
}

// stepFor decides from the record that was read: stepWrite to replace it, stepWait to look again later, stepResult when
// it is settled.
func (e *ending) stepFor(entry kv.Entry) step {
	rec, err := decodeRecord(entry.Value)
	switch {
	case err != nil || rec.State == stateDone || rec.Fingerprint != e.call.Fingerprint.String():
		return stepResult
	case rec.Holder == e.holder && rec.State == stateOpen:
		return stepWrite
	case rec.Holder == e.holder:
		return stepResult
	case e.result == nil:
		return e.stepToNotRun(entry, rec)
	case rec.State == stateNotRun:
		return stepWrite // another request's not-run is replaced by the result
	}
	return stepWait // another request holds the key and may yet give it up
}

// stepToNotRun decides how to give up a claim when another request's record is found. A lost write of the claim can
// still take effect while the record has not changed since; replacing it prevents that.
func (e *ending) stepToNotRun(entry kv.Entry, rec record) step {
	if rec.State == stateNotRun && entry.Revision == e.expect {
		return stepWrite
	}
	return stepResult
}
