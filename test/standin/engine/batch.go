package engine

import (
	"context"
	"time"

	protocol "gooseberrytide.example/gooseberrytide/internal/protocol/engine"
)

// acquire waits for a slot; slots are granted in order of arrival. onWait is called at the keep-alive interval while
// it waits; its error ends the wait.
func (e *Engine) acquire(ctx context.Context, onWait func() error) error {
	e.mu.Lock()
	if e.running < e.opts.Slots && len(e.waiters) == 0 {
		e.occupySlotLocked()
		e.mu.Unlock()
		return nil
	}
	granted := make(chan struct{})
	e.waiters = append(e.waiters, granted)
	e.mu.Unlock()
	ticker := time.NewTicker(e.opts.KeepAlive)
	defer ticker.Stop()
	for {
		select {
		case <-granted:
			return nil
		case <-ctx.Done():
			e.removeWaiter(granted)
			return ctx.Err()
		case <-ticker.C:
			if err := onWait(); err != nil {
				e.removeWaiter(granted)
				return err
			}
		}
	}
}

// removeWaiter removes a waiter from the queue. If it has been granted a slot meanwhile, the slot is passed on to the
// next waiter.
func (e *Engine) removeWaiter(granted chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, w := range e.waiters {
		if w == granted {
			e.waiters = append(e.waiters[:i], e.waiters[i+1:]...)
			return
		}
	}
	e.freeSlotLocked()
}

func (e *Engine) release() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.freeSlotLocked()
}

func (e *Engine) occupySlotLocked() {
	e.accrueBusyTimeLocked()
	e.running++
	e.peakRunning = max(e.peakRunning, e.running)
}

func (e *Engine) freeSlotLocked() {
	e.accrueBusyTimeLocked()
	e.running--
	if len(e.waiters) > 0 && e.running < e.opts.Slots {
		next := e.waiters[0]
		e.waiters = e.waiters[1:]
		e.occupySlotLocked()
		close(next)
	}
}

// accrueBusyTimeLocked adds the time since its last call to the busy times.
func (e *Engine) accrueBusyTimeLocked() {
	now := time.Now()
	elapsed := now.Sub(e.accruedAt)
	e.accruedAt = now
	e.slotBusyTime += elapsed * time.Duration(e.running)
	if e.running > 0 {
		e.busyTime += elapsed
	}
}

// currentLoad returns the current load, or the one set by an injected fault.
func (e *Engine) currentLoad() protocol.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Load != nil {
		return *e.faults.Load
	}
	return protocol.Load{Slots: e.opts.Slots, Running: e.running, Waiting: len(e.waiters)}
}

// pacer schedules the steps of one request at fixed intervals, so that timer delays do not accumulate.
type pacer struct {
	next time.Time
}

// wait waits until the end of a step that takes d.
func (p *pacer) wait(ctx context.Context, d time.Duration) error {
	p.next = p.next.Add(d)
	left := time.Until(p.next)
	if left <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// tokenDuration returns the time for n tokens at a rate in tokens per second.
func tokenDuration(n, rate float64) time.Duration {
	return time.Duration(n / rate * float64(time.Second))
}
