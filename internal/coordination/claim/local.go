package claim

import (
	"context"
	"sync"
)

const (
	// maxEndedCalls is the number of ended calls that a router keeps in memory.
	maxEndedCalls = 4096
	// maxLocalBody is the largest body that is kept with such a call, in bytes, so that all together take at most 64 MB.
	maxLocalBody = 16 << 10
)

// localTable keeps the calls of services that may run without a claim in memory, so that one router does not run the
// same call twice while the store is down.
type localTable struct {
	mu    sync.Mutex
	calls map[string]*localCall
	// ended holds the keys of ended calls, oldest first.
	ended []string
}

// localCall is a call that is running or has ended. result is set before done is closed; nil means that the call did
// not run.
type localCall struct {
	table       *localTable
	key         string
	fingerprint Fingerprint
	requestID   string
	done        chan struct{}
	result      *Result
}

func newLocalTable() *localTable { return &localTable{calls: map[string]*localCall{}} }

// getOrAdd returns the call with the key, and whether it was added.
func (t *localTable) getOrAdd(key string, c Call) (call *localCall, added bool) {
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
	kept := r.withBodyLimit(maxLocalBody)
	l.result = &kept
	t.ended = append(t.ended, l.key)
	if len(t.ended) > maxEndedCalls {
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
		local, added := m.localCalls.getOrAdd(storeKey(c), c)
		if added {
			return m.beginFirst(ctx, c, local)
		}
		result, err := local.wait(ctx, c)
		if result != nil && result.BodyOmitted {
			result = m.storedResult(ctx, c, result)
		}
		if result != nil || err != nil {
			return nil, result, err
		}
	}
}

// storedResult returns the recorded result of a call, or the local one when the store has none or cannot be read.
func (m *Manager) storedResult(ctx context.Context, c Call, local *Result) *Result {
	entry, err := m.read(ctx, storeKey(c))
	if err != nil {
		return local
	}
	rec, err := decodeRecord(entry.Value)
	if err != nil || rec.State != stateDone || rec.Fingerprint != c.Fingerprint.String() {
		return local
	}
	return rec.Result
}

// beginFirst begins the first request for a call at this router. Without a claim it ends the local call.
func (m *Manager) beginFirst(ctx context.Context, c Call, local *localCall) (*Claim, *Result, error) {
	claim, result, err := m.beginStored(ctx, c)
	if claim == nil {
		local.end(result)
		return nil, result, err
	}
	claim.local = local
	return claim, nil, nil
}
