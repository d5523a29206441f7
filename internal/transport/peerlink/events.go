package peerlink

import (
	"context"
	"sync"
)

// events runs callbacks in order on one goroutine, outside all locks.
type events struct {
	mu    sync.Mutex
	queue []func()
	wake  chan struct{}
}

// init prepares the queue.
func (e *events) init() { e.wake = make(chan struct{}, 1) }

// add queues a callback.
func (e *events) add(f func()) {
	e.mu.Lock()
	e.queue = append(e.queue, f)
	e.mu.Unlock()
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// run calls the callbacks until the context ends.
func (e *events) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.wake:
		}
		for _, f := range e.take() {
			f()
		}
	}
}

// take empties the queue.
func (e *events) take() []func() {
	e.mu.Lock()
	defer e.mu.Unlock()
	queue := e.queue
	e.queue = nil
	return queue
}
