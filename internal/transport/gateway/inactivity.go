package gateway

import (
	"context"
	"sync"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/state/routing"
)

const (
	// firstEventFactor is the time without a first event, as a multiple of the route's objective, after which a stream is
	// moved to another server.
	firstEventFactor = 3
	// pauseFactor is the pause between events, as a multiple of the route's maximum pause, after which a stream is moved
	// to another server.
	pauseFactor = 2.5
	// minInactivity is the lower bound of both times. It prevents a busy server from being treated as unresponsive.
	minInactivity = 1500 * time.Millisecond
	// attemptTimeShare is the share of the remaining time that one server gets to respond while another may be tried.
	attemptTimeShare = 0.5
)

// inactivityTimer cancels a send when the server sends nothing for too long and the request may be sent to another
// server.
type inactivityTimer struct {
	mu         sync.Mutex
	timer      *time.Timer
	pauseLimit time.Duration
}

// startInactivityTimer starts the timer of a send. The timer never fires for a request that may not be sent again.
func (x *exchange) startInactivityTimer(cancel context.CancelCauseFunc) *inactivityTimer {
	it := &inactivityTimer{}
	if !x.route.Idempotent() || x.possibleRuns+1 >= x.route.MaxAttempts {
		return it
	}
	limit := time.Duration(attemptTimeShare * float64(time.Until(x.deadline)))
	if x.route.Kind == routing.Stream {
		limit = min(limit, max(firstEventFactor*x.route.Objective, minInactivity))
		it.pauseLimit = max(time.Duration(pauseFactor*float64(x.route.MaxPause)), minInactivity)
	}
	it.timer = time.AfterFunc(limit, func() { cancel(errServerTimeout) })
	return it
}

// reset restarts the timer with the limit for the pause before the next event.
func (it *inactivityTimer) reset() {
	it.mu.Lock()
	defer it.mu.Unlock()
	if it.timer != nil && it.pauseLimit > 0 {
		it.timer.Reset(it.pauseLimit)
	}
}

func (it *inactivityTimer) stop() {
	it.mu.Lock()
	defer it.mu.Unlock()
	if it.timer != nil {
		it.timer.Stop()
	}
}
