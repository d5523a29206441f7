// Package pending matches the answers of other routers to the requests that wait for them. Requests and answers travel in
// datagrams, which may be lost.
package pending

import (
	"context"
	"sync"
	"time"
)

const (
	// answerTimeout limits the wait for an answer. A round trip between failure domains takes some milliseconds; a
	// router that lacks CPU time answers later.
	answerTimeout = 60 * time.Millisecond
	// unresponsiveBackoff is how long no requests are sent to a router that did not answer. Missing reports reveal a
	// lost router after about a second, and another one takes its tasks over.
	unresponsiveBackoff = 500 * time.Millisecond
)

// Calls holds the requests that wait for an answer of type A. It is safe for concurrent use.
type Calls[A any] struct {
	mu     sync.Mutex
	lastID uint64
	// waiting holds the channels for answers by request ID.
	waiting map[uint64]chan A
	// retryAt holds the time until which no requests are sent to an unresponsive router.
	retryAt map[string]time.Time
}

// NewCalls returns an empty table.
func NewCalls[A any]() *Calls[A] {
	return &Calls[A]{waiting: make(map[uint64]chan A), retryAt: make(map[string]time.Time)}
}

// Call sends a request to a router and waits for its answer. It returns false if no answer came in time or before the
// context ended, or if the router was recently unresponsive and the request was not sent.
func (p *Calls[A]) Call(ctx context.Context, router string, send func(id uint64)) (A, bool) {
	var zero A
	id, answers, ok := p.register(router)
	if !ok {
		return zero, false
	}
	defer p.unregister(id)
	send(id)
	timer := time.NewTimer(answerTimeout)
	defer timer.Stop()
	select {
	case answer := <-answers:
		return answer, true
	case <-ctx.Done():
		return zero, false
	case <-timer.C:
		p.markUnresponsive(router)
		return zero, false
	}
}

// Resolve delivers an answer to the request that waits for it. A late answer is dropped. It reports whether a request
// waited.
func (p *Calls[A]) Resolve(id uint64, answer A) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	answers := p.waiting[id]
	if answers == nil {
		return false
	}
	answers <- answer
	delete(p.waiting, id)
	return true
}

func (p *Calls[A]) register(router string) (uint64, <-chan A, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if time.Now().Before(p.retryAt[router]) {
		return 0, nil, false
	}
	p.lastID++
	answers := make(chan A, 1)
	p.waiting[p.lastID] = answers
	return p.lastID, answers, true
}

func (p *Calls[A]) unregister(id uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.waiting, id)
}

func (p *Calls[A]) markUnresponsive(router string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retryAt[router] = time.Now().Add(unresponsiveBackoff)
}
