package reservation

import (
	"context"
	"sync"
	"time"
)

const (
	// answerLimit is how long an answer is awaited. A round trip between failure domains takes some milliseconds; a router
	// that waits for its processor answers later.
	answerLimit = 60 * time.Millisecond
	// silentTime is how long a router that did not answer is not asked again. Reports show a lost router after a second or
	// so, and the next owner takes over.
	silentTime = 500 * time.Millisecond
)

// Asks are the requests that wait for an owner's answer. It is safe for concurrent use.
type Asks struct {
	mu      sync.Mutex
	last    uint64
	waiting map[uint64]chan Answer
	// silent holds the end of the time in which a router is not asked.
	silent map[string]time.Time
}

// NewAsks returns an empty table.
func NewAsks() *Asks {
	return &Asks{waiting: make(map[uint64]chan Answer), silent: make(map[string]time.Time)}
}

// Ask sends a request to an owner and waits for its answer. It is false when none came in time, or when the owner has
// not answered lately.
func (a *Asks) Ask(ctx context.Context, owner string, send func(id uint64)) (Answer, bool) {
	id, answers, ok := a.begin(owner)
	if !ok {
		return Answer{}, false
	}
	defer a.end(id)
	send(id)
	timer := time.NewTimer(answerLimit)
	defer timer.Stop()
	select {
	case answer := <-answers:
		return answer, true
	case <-ctx.Done():
		return Answer{}, false
	case <-timer.C:
		a.avoid(owner)
		return Answer{}, false
	}
}

// Settle takes an answer. One that comes late is dropped.
func (a *Asks) Settle(answer Answer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if answers := a.waiting[answer.ID]; answers != nil {
		answers <- answer
		delete(a.waiting, answer.ID)
	}
}

func (a *Asks) begin(owner string) (uint64, <-chan Answer, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if time.Now().Before(a.silent[owner]) {
		return 0, nil, false
	}
	a.last++
	answers := make(chan Answer, 1)
	a.waiting[a.last] = answers
	return a.last, answers, true
}

func (a *Asks) end(id uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.waiting, id)
}

func (a *Asks) avoid(owner string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.silent[owner] = time.Now().Add(silentTime)
}
