package engine

import (
	"context"
	"time"

	protocol "gooseberrytide.example/gooseberrytide/internal/protocol/engine"
)

// acquire waits for a slot in the order of arrival. waiting is called from time to time while it waits.
func (e *Engine) acquire(ctx context.Context, waiting func() error) error {
	e.mu.Lock()
	if e.running < e.opts.Slots && len(e.waiters) == 0 {
		e.startLocked()
		e.mu.Unlock()
		return nil
	}
	turn := make(chan struct{})
	e.waiters = append(e.waiters, turn)
	e.mu.Unlock()
	ticker := time.NewTicker(e.opts.KeepAlive)
	defer ticker.Stop()
	for {
		select {
		case <-turn:
			return nil
		case <-ctx.Done():
			e.leave(turn)
			return ctx.Err()
		case <-ticker.C:
			if err := waiting(); err != nil {
				e.leave(turn)
				return err
			}
		}
	}
}

// leave withdraws a waiter. When its turn came at the same time, the slot goes to the next one.
func (e *Engine) leave(turn chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, w := range e.waiters {
		if w == turn {
			e.waiters = append(e.waiters[:i], e.waiters[i+1:]...)
			return
		}
	}
	e.finishLocked()
}

func (e *Engine) release() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.finishLocked()
}

func (e *Engine) startLocked() {
	e.accountLocked()
	e.running++
	e.peak = max(e.peak, e.running)
}

func (e *Engine) finishLocked() {
	e.accountLocked()
	e.running--
	if len(e.waiters) > 0 && e.running < e.opts.Slots {
		next := e.waiters[0]
		e.waiters = e.waiters[1:]
		e.startLocked()
		close(next)
	}
}

// accountLocked adds the time since the last change to the busy times.
func (e *Engine) accountLocked() {
	now := time.Now()
	passed := now.Sub(e.changed)
	e.changed = now
	e.slotBusy += passed * time.Duration(e.running)
	if e.running > 0 {
		e.busy += passed
	}
}

// loadNow returns the current load, or the one that a fault put in its place.
func (e *Engine) loadNow() protocol.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Load != nil {
		return *e.faults.Load
	}
	return protocol.Load{Slots: e.opts.Slots, Running: e.running, Waiting: len(e.waiters)}
}

// pace spreads the steps of one request evenly, without adding up the delays of timers.
type pace struct {
	next time.Time
}

// wait waits for the time of a step that takes d.
func (p *pace) wait(ctx context.Context, d time.Duration) error {
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

func seconds(n, rate float64) time.Duration {
	return time.Duration(n / rate * float64(time.Second))
}
