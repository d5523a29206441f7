package hedge

import (
	"context"
	"sync"
	"time"
)

// State is the state of a Hedge.
type State uint8

const (
	// Waiting means that the first attempt has been quiet for no longer than its limit.
	Waiting State = iota
	// Delivering means that a part of the first attempt's response is being delivered. The attempt is not quiet
	// meanwhile.
	Delivering
	// Hedged means that the first attempt is quiet and that substitutes are in progress.
	Hedged
	// Replaced means that a substitute delivers and that the first attempt is cancelled.
	Replaced
	// Stopped means that the first attempt has ended. No substitute is started any more.
	Stopped
)

// maxTimerDelay is the delay of a timer above which the process, and not the server, is taken to have been inactive.
const maxTimerDelay = 200 * time.Millisecond

// Options configures a Hedge for attempts of type A that continue at positions of type P.
type Options[A, P any] struct {
	// Context bounds the substitutes.
	Context context.Context
	// FirstLimit is the time after which an attempt without any part of the response is quiet, PauseLimit the time
	// after which it is quiet after a part. No substitute is made if FirstLimit is 0.
	FirstLimit, PauseLimit time.Duration
	// Unread reports whether bytes of the first attempt's response have arrived and have not been read yet.
	Unread func() bool
	// OnQuiet is called each time that the first attempt has exceeded its limit, before a substitute is made.
	OnQuiet func()
	// Substitute makes an attempt that continues at a position. It returns once the attempt has its first part, or
	// false if there is no such attempt. It returns soon after its context has ended.
	Substitute func(ctx context.Context, position P) (A, bool)
	// Discard ends a substitute that does not deliver, because the first attempt has delivered in the meantime.
	Discard func(A)
	// CancelFirst cancels the first attempt.
	CancelFirst func()
}

// Hedge coordinates the first attempt at a request with its substitutes. If a substitute has no part within the limit
// either, a further one is made beside it. It is safe for concurrent use.
type Hedge[A, P any] struct {
	opts Options[A, P]

	mu       sync.Mutex
	state    State
	stopping bool
	position P
	limit    time.Duration
	// due is when timer is to fire after wait. If onTimer runs earlier, the timer was restarted while it fired.
	due   time.Time
	wait  time.Duration
	timer *time.Timer
	// substitutes are those in progress. It is nil before the first one, since most attempts get none.
	substitutes map[*substitution]struct{}
	// settled is closed when an attempt delivers or the last substitute in progress has failed. It is nil while no
	// substitute is in progress.
	settled chan struct{}
	// substitute is the attempt that delivers in state Replaced.
	substitute A
}

// New starts a hedge for an attempt that continues at a position. Stop must be called when the attempt has ended.
func New[A, P any](position P, opts Options[A, P]) *Hedge[A, P] {
	h := &Hedge[A, P]{opts: opts, position: position, limit: opts.FirstLimit}
	if h.limit > 0 {
		h.mu.Lock() // the timer may fire before the field is set
		defer h.mu.Unlock()
		h.due, h.wait = time.Now().Add(h.limit), h.limit
		h.timer = time.AfterFunc(h.limit, h.onTimer)
	}
	return h
}

// State returns the state.
func (h *Hedge[A, P]) State() State {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.state
}

// Deliver records that the first attempt has a part, after which the response continues at the given position.
// Substitutes in progress are cancelled. It returns false if a substitute delivers already; the part must then be
// dropped.
func (h *Hedge[A, P]) Deliver(position P) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.state == Replaced {
		return false
	}
	h.position = position
	h.limit = h.opts.PauseLimit
	h.cancelSubstitutes()
	h.settle()
	h.state = Delivering
	return true
}

// Await records that a part has been delivered and that the first attempt waits for the next one.
func (h *Hedge[A, P]) Await() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.state == Delivering {
		h.state = Waiting
		h.restart(h.limit)
	}
}

// Stop ends the hedge after the first attempt has ended. If substitutes are in progress, Stop waits until one of them
// has its first part or all have failed. It returns the substitute that delivers, if there is one.
func (h *Hedge[A, P]) Stop() (A, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stopping = true
	if settled := h.settled; settled != nil {
		h.mu.Unlock()
		<-settled
		h.mu.Lock()
	}
	if h.timer != nil {
		h.timer.Stop()
	}
	if h.state == Replaced {
		return h.substitute, true
	}
	h.state = Stopped
	var none A
	return none, false
}

// restart starts the timer if substitutes may be made. The hedge must be locked.
func (h *Hedge[A, P]) restart(wait time.Duration) {
	if h.timer == nil || h.limit <= 0 {
		return
	}
	h.due, h.wait = time.Now().Add(wait), wait
	h.timer.Reset(wait)
}

// cancelSubstitutes cancels the substitutes in progress. The hedge must be locked.
func (h *Hedge[A, P]) cancelSubstitutes() {
	for s := range h.substitutes {
		s.cancel()
	}
	clear(h.substitutes)
}

// settle ends the wait for the substitutes in progress. The hedge must be locked.
func (h *Hedge[A, P]) settle() {
	if h.settled != nil {
		close(h.settled)
	}
	h.settled = nil
}

// onTimer makes a substitute if the first attempt is quiet.
func (h *Hedge[A, P]) onTimer() {
	s, position, ok := h.begin()
	if !ok {
		return
	}
	h.opts.OnQuiet()
	a, ok := h.opts.Substitute(s.ctx, position)
	if h.finish(s, a, ok) {
		h.opts.CancelFirst()
	} else if ok {
		h.opts.Discard(a)
	}
}

// substitution is a substitute in progress.
type substitution struct {
	ctx    context.Context
	cancel context.CancelFunc
}

// begin changes to state Hedged if the first attempt is quiet. It returns the position at which the substitute
// continues.
func (h *Hedge[A, P]) begin() (*substitution, P, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	if !h.mayBegin() || now.Before(h.due) {
		return nil, h.position, false
	}
	if now.Sub(h.due) > maxTimerDelay {
		// What has arrived meanwhile is read soon. The whole limit once more might last until the deadline.
		h.restart(min(h.wait/2, maxTimerDelay))
		return nil, h.position, false
	}
	h.restart(h.limit)
	if h.opts.Unread() {
		return nil, h.position, false
	}
	h.state = Hedged
	s := &substitution{}
	s.ctx, s.cancel = context.WithCancel(h.opts.Context)
	if h.substitutes == nil {
		h.substitutes = make(map[*substitution]struct{})
	}
	h.substitutes[s] = struct{}{}
	if h.settled == nil {
		h.settled = make(chan struct{})
	}
	return s, h.position, true
}

// mayBegin reports whether a substitute may be made in the current state. After the first attempt has ended, only one
// that joins others in progress may. The hedge must be locked.
func (h *Hedge[A, P]) mayBegin() bool {
	return h.state == Hedged || h.state == Waiting && !h.stopping
}

// finish records the outcome of a substitute: ok if it has its first part. It returns whether the substitute delivers.
func (h *Hedge[A, P]) finish(s *substitution, a A, ok bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, current := h.substitutes[s]; !current {
		return false // another attempt has delivered a part in the meantime
	}
	delete(h.substitutes, s)
	switch {
	case ok:
		h.state, h.substitute = Replaced, a
		h.cancelSubstitutes()
	case len(h.substitutes) == 0:
		s.cancel()
		h.state = Waiting
		h.restart(h.limit)
	default:
		s.cancel()
		return false
	}
	h.settle()
	return ok
}
