package claim

import (
	"context"

	"go.uber.org/zap"

	"gooseberrytide.example/gooseberrytide/internal/state/kv"
)

// reconcile brings a record to its final state in the background: done with the result, or not-run when result is
// nil. expect is the revision that the holder's last write required or created.
func (m *Manager) reconcile(c Call, key string, holder holderID, expect kv.Revision, result *Result) {
	t := &reconcileTask{m: m, call: c, key: key, holder: holder, expect: expect}
	if !t.register(result) {
		m.log.Warn("claim: record left open, too many records are being reconciled", zap.String("key", key))
		return
	}
	go t.run()
}

// reconcileTask reconciles one record in the background.
type reconcileTask struct {
	m      *Manager
	call   Call
	key    string
	holder holderID
	expect kv.Revision
	result *Result
}

// run repeats the attempt until the record is reconciled, reconcileTimeout has passed or the manager is closed.
func (t *reconcileTask) run() {
	defer t.m.backgroundTasks.Done()
	defer t.unregister()
	ctx, cancel := context.WithTimeout(t.m.backgroundCtx, reconcileTimeout)
	defer cancel()
	delays := newBackoff(minReconcileDelay, maxReconcileDelay)
	for !t.attempt(ctx) {
		if !sleep(ctx, delays.NextBackOff()) {
			t.m.log.Warn("claim: record left open", zap.String("key", t.key))
			return
		}
	}
}

// register counts the task. It drops the result's body when the bodies of all results would exceed their limit. It
// returns false when the manager is closed or has too many tasks.
func (t *reconcileTask) register(result *Result) bool {
	m := t.m
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed || m.reconciling >= maxReconcileTasks {
		return false
	}
	if result != nil {
		kept := result.forRecord()
		if m.reconcilingBytes+len(kept.Body) > m.maxReconcilingBytes {
			kept = kept.withoutBody()
		}
		m.reconcilingBytes += len(kept.Body)
		t.result = &kept
	}
	m.reconciling++
	m.backgroundTasks.Add(1)
	return true
}

// unregister releases what register counted.
func (t *reconcileTask) unregister() {
	m := t.m
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reconciling--
	if t.result != nil {
		m.reconcilingBytes -= len(t.result.Body)
	}
}

// attempt tries once to reconcile the record and reports whether nothing is left to do.
func (t *reconcileTask) attempt(ctx context.Context) bool {
	entry, err := t.m.readOrAbsent(ctx, t.key)
	if err != nil {
		return false
	}
	if entry.Revision != 0 {
		switch t.decide(entry) {
		case actionWait:
			return false
		case actionDone:
			return true
		}
	}
	if !t.m.writeTokens.takeBackground(false) {
		return false
	}
	_, err = t.m.compareAndSwap(ctx, t.key, entry.Revision, t.call.endedRecord(t.holder, t.result, t.m.clock()))
	return err == nil
}

// decide returns the action that follows from the record that was read: actionWrite to replace it, actionWait to read
// it again later, actionDone when nothing is left to do.
func (t *reconcileTask) decide(entry kv.Entry) action {
	rec, err := decodeRecord(entry.Value)
	switch {
	case err != nil || rec.State == stateDone || rec.Fingerprint != t.call.Fingerprint.String():
		return actionDone
	case rec.Holder == t.holder && rec.State == stateOpen:
		return actionWrite
	case rec.Holder == t.holder:
		return actionDone
	case t.result == nil:
		return t.decideNotRun(entry, rec)
	case rec.State == stateNotRun:
		return actionWrite // another request's not-run is replaced by the result
	}
	return actionWait // another request holds the claim and may still abandon it
}

// decideNotRun returns the action for a claim to be marked not-run when another request's record was read. An
// uncertain write of the claim can still take effect as long as the record has the revision that it requires;
// replacing the record prevents that.
func (t *reconcileTask) decideNotRun(entry kv.Entry, rec record) action {
	if rec.State == stateNotRun && entry.Revision == t.expect {
		return actionWrite
	}
	return actionDone
}
