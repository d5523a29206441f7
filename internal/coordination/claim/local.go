package claim

import (
	"context"
	"sync"
)

const (
	// localMax is the number of ended calls that a router remembers.
	localMax = 4096
	// localBody is the largest body that it remembers with them, in bytes, so that all take at most 64 MB.
	localBody = 16 << 10
)

// localTable remembers the calls of services that may run without a claim, so that at least one router does not run
// a call twice while the store is down.
type localTable struct {
	mu    sync.Mutex
	calls map[string]*localCall
	// ended holds the keys of ended calls, oldest first.
	ended []string
}

// localCall is a call that runs or has ended. result is set before done is closed; nil means that it did not run.
type localCall struct {
	table       *localTable
	key         string
	fingerprint Fingerprint
	requestID   string
	done        chan struct{}
	result      *Result
}

func newLocalTable() *localTable { return &localTable{calls: map[string]*localCall{}} }

// enter returns the call under the key, and whether it is new.
func (t *localTable) enter(key string, c Call) (call *localCall, first bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if call, ok := t.calls[key]; ok {
		return call, false
	}
	call = &localCall{table: t, key: key, fingerprint: c.Fingerprint, requestID: c.RequestID, done: make(chan struct{})}
	t.calls[key] = call
	return call, true
}

// end ends a call. Without a result it is forgotten and may run anew.
func (l *localCall) end(r *Result) {
	t := l.table
	t.mu.Lock()
	defer t.mu.Unlock()
	defer close(l.done)
	if r == nil {
		delete(t.calls, l.key)
		return
	}
	kept := r.limitedTo(localBody)
	l.result = &kept
	t.ended = append(t.ended, l.key)
	if len(t.ended) > localMax {
		delete(t.calls, t.ended[0])
		t.ended = t.ended[1:]
	}
}

// wait waits for the call's end and returns its result, or nil when it did not run.
func (l *localCall) wait(ctx context.Context, c Call) (*Result, error) {
	if l.fingerprint != c.Fingerprint {
		return nil, &MismatchError{Service: c.Service, RequestID: l.requestID}
	}
	select {
	case <-l.done:
		return l.result, nil
	case <-ctx.Done():
		return nil, &OpenError{RequestID: l.requestID, Err: context.Cause(ctx)}
	}
}

// beginLocal begins a call that may run without a claim. Repeats at this router wait for the first.
func (m *Manager) beginLocal(ctx context.Context, c Call) (*Claim, *Result, error) {
	for {
		local, first := m.local.enter(storeKey(c), c)
		if first {
			return m.beginFirst(ctx, c, local)
		}
		result, err := local.wait(ctx, c)
		if result != nil && result.BodyOmitted {
			result = m.stored(ctx, c, result)
		}
		if result != nil || err != nil {
			return nil, result, err
		}
	}
}

// stored returns the recorded result of a call, or the local one when the store has none.
func (m *Manager) stored(ctx context.Context, c Call, local *Result) *Result {
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

func (m *Manager) beginFirst(ctx context.Context, c Call, local *localCall) (*Claim, *Result, error) {
	claim, result, err := m.beginStored(ctx, c)
	if claim == nil {
		local.end(result)
		return nil, result, err
	}
	claim.local = local
	return claim, nil, nil
}
