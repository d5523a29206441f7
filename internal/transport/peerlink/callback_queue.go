package peerlink

import (
	"context"
	"sync"
)

// callbackQueue runs callbacks in order on one goroutine, without holding any lock.
type callbackQueue struct {
	mu    sync.Mutex
	queue []func()
	wake  chan struct{}
}

// init must be called before all other methods.
func (q *callbackQueue) init() { q.wake = make(chan struct{}, 1) }

// add appends a callback to the queue.
func (q *callbackQueue) add(callback func()) {
	q.mu.Lock()
	q.queue = append(q.queue, callback)
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// run calls the queued callbacks until the context ends.
func (q *callbackQueue) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-q.wake:
		}
		for _, callback := range q.takeAll() {
			callback()
		}
	}
}

// takeAll removes and returns all queued callbacks.
func (q *callbackQueue) takeAll() []func() {
	q.mu.Lock()
	defer q.mu.Unlock()
	callbacks := q.queue
	q.queue = nil
	return callbacks
}
