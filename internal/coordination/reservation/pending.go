package reservation

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
	// lost router after about a second, and the next owner takes over.
	unresponsiveBackoff = 500 * time.Millisecond
)

// PendingRequests holds the requests that wait for an owner's answer. It is safe for concurrent use.
type PendingRequests struct {
	mu     sync.Mutex
	lastID uint64
	// waiting holds the channels for answers by request ID.
	waiting map[uint64]chan Answer
	// retryAt holds the time until which no requests are sent to an unresponsive router.
	retryAt map[string]time.Time
}

// NewPendingRequests returns an empty table.
func NewPendingRequests() *PendingRequests {
	return &PendingRequests{waiting: make(map[uint64]chan Answer), retryAt: make(map[string]time.Time)}
}

// Call sends a request to an owner and waits for its answer. It returns false if no answer came in time or before the
// context ended, or if the owner was recently unresponsive and the request was not sent.
func (p *PendingRequests) Call(ctx context.Context, owner string, send func(id uint64)) (Answer, bool) {
	id, answers, ok := p.register(owner)
	if !ok {
		return Answer{}, false
	}
	defer p.unregister(id)
	send(id)
	timer := time.NewTimer(answerTimeout)
	defer timer.Stop()
	select {
	case answer := <-answers:
		return answer, true
	case <-ctx.Done():
		return Answer{}, false
	case <-timer.C:
		p.markUnresponsive(owner)
		return Answer{}, false
	}
}

// Resolve delivers an answer to the request that waits for it. A late answer is dropped.
func (p *PendingRequests) Resolve(answer Answer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if answers := p.waiting[answer.ID]; answers != nil {
		answers <- answer
		delete(p.waiting, answer.ID)
	}
}

func (p *PendingRequests) register(owner string) (uint64, <-chan Answer, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if time.Now().Before(p.retryAt[owner]) {
		return 0, nil, false
	}
	p.lastID++
	answers := make(chan Answer, 1)
	p.waiting[p.lastID] = answers
	return p.lastID, answers, true
}

func (p *PendingRequests) unregister(id uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.waiting, id)
}

func (p *PendingRequests) markUnresponsive(owner string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retryAt[owner] = time.Now().Add(unresponsiveBackoff)
}
