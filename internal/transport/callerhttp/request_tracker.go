package callerhttp

import (
	"context"
	"sync"
)

// requestTracker counts running requests and refuses new ones once it is closed.
type requestTracker struct {
	mu       sync.Mutex
	running  int
	draining bool
	closed   bool
	// idle is closed when the tracker is closed and no request is running.
	idle chan struct{}
}

func newRequestTracker() *requestTracker { return &requestTracker{idle: make(chan struct{})} }

// tryStart counts a new request. It returns false if the tracker is closed.
func (t *requestTracker) tryStart() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return false
	}
	t.running++
	return true
}

func (t *requestTracker) finish() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running--
	t.signalIdle()
}

func (t *requestTracker) startDrain() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.draining = true
}

func (t *requestTracker) isDraining() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.draining
}

func (t *requestTracker) close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return
	}
	t.closed = true
	t.signalIdle()
}

// signalIdle closes idle when the tracker is closed and no request is running. This happens only once, because no
// request starts after close. The caller holds the lock.
func (t *requestTracker) signalIdle() {
	if t.closed && t.running == 0 {
		close(t.idle)
	}
}

func (t *requestTracker) wait(ctx context.Context) error {
	select {
	case <-t.idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (t *requestTracker) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.running
}
