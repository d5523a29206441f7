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
	m.mu.Lock()
	refused := m.closed || m.settling >= maxReconcile
	if !refused {
		m.settling++
		m.running.Add(1)
	}
	m.mu.Unlock()
	if refused {
		m.log.Warn("claim: record left open, too many records are being settled", zap.String("key", key))
		return
	}
	e := &ending{m: m, call: c, key: key, holder: holder, expect: expect, result: result}
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

func (e *ending) leave() {
	e.m.mu.Lock()
	e.m.settling--
	e.m.mu.Unlock()
}

// try makes one attempt and reports whether the record is settled.
func (e *ending) try(ctx context.Context) bool {
	entry, err := e.m.read(ctx, e.key)
	if err != nil && !errors.Is(err, kv.ErrNotFound) {
		return false
	}
	if err == nil && !e.writable(entry) {
		return true
	}
	if !e.m.writes.takeOne(false) {
		return false
	}
	_, err = e.m.swap(ctx, e.key, entry.Revision, e.call.ended(e.holder, e.result, e.m.clock()))
	return err == nil
}

// writable reports whether the holder may replace the record that was read.
func (e *ending) writable(entry kv.Entry) bool {
	rec, err := decodeRecord(entry.Value)
	if err != nil {
		return false
	}
	if rec.Holder == e.holder {
		return rec.State == stateOpen
	}
	if rec.State != stateNotRun || rec.Fingerprint != e.call.Fingerprint.String() {
		return false
	}
	// Over another request's not-run record, a result is worth recording. A lost write of a claim can still take
	// effect if the record has not changed since; replacing the record prevents that.
	return e.result != nil || entry.Revision == e.expect
}
