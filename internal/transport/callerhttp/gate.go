package callerhttp

import (
	"context"
	"sync"
)

// gate counts running requests and refuses new ones once it is closed.
type gate struct {
	mu       sync.Mutex
	running  int
	draining bool
	closed   bool
	// idle is closed when the gate is closed and nothing runs.
	idle chan struct{}
}

func newGate() *gate { return &gate{idle: make(chan struct{})} }

// enter admits a request unless the gate is closed.
func (g *gate) enter() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.running++
	return true
}

func (g *gate) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
	g.signal()
}

func (g *gate) drain() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = true
}

func (g *gate) isDraining() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.draining
}

func (g *gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return
	}
	g.closed = true
	g.signal()
}

// signal closes idle once. Nothing enters a closed gate, so its count reaches zero once.
func (g *gate) signal() {
	if g.closed && g.running == 0 {
		close(g.idle)
	}
}

func (g *gate) wait(ctx context.Context) error {
	select {
	case <-g.idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (g *gate) count() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.running
}
