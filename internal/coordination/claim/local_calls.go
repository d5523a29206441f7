package claim

import (
	"context"
	"sync"
)

const (
	// maxEndedLocalCalls is the maximum number of ended calls that a router keeps in memory.
	maxEndedLocalCalls = 4096
	// maxLocalBodyBytes is the largest body that is kept with an ended call, in bytes, so that all bodies together take
	// at most 64 MB.
	maxLocalBodyBytes = 16 << 10
)

// localCallTable holds this router's calls with RunOnStoreOutage in memory, so that one router does not run the same
// call twice while the store is down.
type localCallTable struct {
	mu    sync.Mutex
	calls map[string]*localCall
	// ended holds the keys of ended calls, oldest first.
	ended []string
}

// localCall is a call of this router that is running or has ended. result is set before done is closed; nil means that
// the call did not run.
type localCall struct {
	table       *localCallTable
	key         string
	fingerprint Fingerprint
	requestID   string
	done        chan struct{}
	result      *Result
}

func newLocalCallTable() *localCallTable { return &localCallTable{calls: map[string]*localCall{}} }

// getOrAdd returns the call with the key, and whether it was added.
func (t *localCallTable) getOrAdd(key string, c Call) (call *localCall, added bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if call, ok := t.calls[key]; ok {
		return call, false
	}
	call = &localCall{table: t, key: key, fingerprint: c.Fingerprint, requestID: c.RequestID, done: make(chan struct{})}
	t.calls[key] = call
	return call, true
}

// end ends a call. A call without a result is removed and may run again.
func (l *localCall) end(r *Result) {
	t := l.table
	t.mu.Lock()
	defer t.mu.Unlock()
	defer close(l.done)
	if r == nil {
		delete(t.calls, l.key)
		return
	}
	kept := r.withBodyLimit(maxLocalBodyBytes)
	l.result = &kept
	t.ended = append(t.ended, l.key)
	if len(t.ended) > maxEndedLocalCalls {
		delete(t.calls, t.ended[0])
		t.ended = t.ended[1:]
	}
}

// wait waits until the call has ended and returns its result, or nil when it did not run. Errors: *KeyConflictError,
// *OpenError.
func (l *localCall) wait(ctx context.Context, c Call) (*Result, error) {
	if l.fingerprint != c.Fingerprint {
		return nil, &KeyConflictError{Service: c.Service, RequestID: l.requestID}
	}
	select {
	case <-l.done:
		return l.result, nil
	case <-ctx.Done():
		return nil, &OpenError{RequestID: l.requestID, Err: context.Cause(ctx)}
	}
}

// beginLocal begins a call that may run without a claim. Repeated requests at this router wait for the first one.
func (m *Manager) beginLocal(ctx context.Context, c Call) (*Claim, *Result, error) {
	for {
		call, added := m.localCalls.getOrAdd(storeKey(c), c)
		if added {
			return m.beginFirst(ctx, c, call)
		}
		result, err := call.wait(ctx, c)
		if result != nil && result.BodyOmitted {
			result = m.storedResult(ctx, c, result)
		}
		if result != nil || err != nil {
			return nil, result, err
		}
	}
}

// storedResult returns the call's result in the store, or the fallback when the store has none or cannot be read.
func (m *Manager) storedResult(ctx context.Context, c Call, fallback *Result) *Result {
	entry, err := m.read(ctx, storeKey(c))
	if err != nil {
		return fallback
	}
	rec, err := decodeRecord(entry.Value)
	if err != nil || rec.State != stateDone || rec.Fingerprint != c.Fingerprint.String() {
		return fallback
	}
	return rec.Result
}

// beginFirst begins the first request for a call at this router. If it gets no claim, it ends the local call.
func (m *Manager) beginFirst(ctx context.Context, c Call, call *localCall) (*Claim, *Result, error) {
	claim, result, err := m.beginStored(ctx, c)
	if claim == nil {
		call.end(result)
		return nil, result, err
	}
	claim.localCall = call
	return claim, nil, nil
}
