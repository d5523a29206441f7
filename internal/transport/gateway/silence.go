package gateway

import (
	"context"
	"sync"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/state/routing"
)

const (
	// firstSilence is the time without a first event, as a multiple of the objective, after which a stream is moved.
	firstSilence = 3
	// pauseSilence is the pause, as a multiple of the allowed one, after which a stream is moved.
	pauseSilence = 2.5
	// minSilence keeps a busy server from being taken for a silent one.
	minSilence = 1500 * time.Millisecond
	// safeShare is the part of the time left that one server gets for an answer while another may be tried.
	safeShare = 0.5
)

// silence gives up a send when nothing comes from the server, if the request may be sent to another one.
type silence struct {
	mu    sync.Mutex
	timer *time.Timer
	pause time.Duration
}

// watchSilence starts the timer of a send. It does nothing for a request that may not be sent once more.
func (x *exchange) watchSilence(cancel context.CancelCauseFunc) *silence {
	s := &silence{}
	if !x.route.Idempotent() || x.runs+1 >= x.route.MaxAttempts {
		return s
	}
	limit := time.Duration(safeShare * float64(time.Until(x.deadline)))
	if x.route.Kind == routing.Stream {
		limit = min(limit, max(firstSilence*x.route.Objective, minSilence))
		s.pause = max(time.Duration(pauseSilence*float64(x.route.MaxPause)), minSilence)
	}
	s.timer = time.AfterFunc(limit, func() { cancel(errSilent) })
	return s
}

// heard starts the wait for the next event.
func (s *silence) heard() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.timer != nil && s.pause > 0 {
		s.timer.Reset(s.pause)
	}
}

func (s *silence) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.timer != nil {
		s.timer.Stop()
	}
}
