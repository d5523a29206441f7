package claim

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"

	"gooseberrytide.example/gooseberrytide/internal/state/kv"
)

// Begin claims the call's key. It returns a new claim, or the recorded result of an earlier request. While another
// request holds the claim it waits until the context ends. Errors: ErrBudget, ErrKey, ErrClosed, *MismatchError,
// *StoreError, *UnsettledError, *OpenError.
func (m *Manager) Begin(ctx context.Context, c Call) (*Claim, *Result, error) {
	if c.Key == "" || len(c.Key) > MaxKeyBytes {
		return nil, nil, ErrKey
	}
	if m.background.Err() != nil {
		return nil, nil, ErrClosed
	}
	if c.RunUnclaimed {
		return m.beginLocal(ctx, c)
	}
	return m.beginStored(ctx, c)
}

// beginStored claims the call's key in the store.
func (m *Manager) beginStored(ctx context.Context, c Call) (*Claim, *Result, error) {
	if !m.writes.take(c.Team, writesPerCall) {
		return nil, nil, ErrBudget
	}
	b := &beginning{
		m:        m,
		call:     c,
		key:      storeKey(c),
		holder:   m.nextHolder(),
		settleBy: m.clock().Add(settleFor),
		poll:     newBackoff(pollMin, pollMax),
	}
	claim, result, err := b.run(ctx)
	if claim == nil {
		m.writes.refund(1) // the write that would have recorded the end
	}
	return claim, result, err
}

// beginning is the state of one Begin.
type beginning struct {
	m      *Manager
	call   Call
	key    string
	holder holderID
	// expect is the revision that the claim's write expects.
	expect kv.Revision
	// lost says that a write that expects expect may still take effect.
	lost bool
	// held says that another request holds or held the claim.
	held bool
	// heldBy is the id of that request, if its record was read.
	heldBy string
	// writes counts the claim's writes.
	writes int
	// settleBy is when tries to settle a lost write end.
	settleBy time.Time
	poll     *backoff.ExponentialBackOff
}

// run tries to claim until it has the claim, a result or an error.
func (b *beginning) run(ctx context.Context) (*Claim, *Result, error) {
	for {
		if err := ctx.Err(); err != nil {
			return b.giveUp(ctx, err)
		}
		if b.writes == 0 && b.m.silent() {
			return b.refused(ctx, errSilent)
		}
		revision, err := b.write(ctx)
		switch {
		case err == nil:
			return b.claim(revision), nil, nil
		case isRefused(err):
			return b.refused(ctx, err)
		case !errors.Is(err, kv.ErrConflict):
			b.lost = true
		case !b.lost:
			b.held = true
		}
		claim, result, again, err := b.settle(ctx, err)
		if !again {
			return claim, result, err
		}
	}
}

func (b *beginning) write(ctx context.Context) (kv.Revision, error) {
	if b.writes > 0 {
		b.m.writes.debit(1)
	}
	b.writes++
	return b.m.swap(ctx, b.key, b.expect, b.call.open(b.holder))
}

// settle reads the record back until the next step is clear; again asks for another write.
func (b *beginning) settle(ctx context.Context, cause error) (c *Claim, r *Result, again bool, err error) {
	for {
		entry, err := b.readBack(ctx)
		if err != nil {
			c, r, err = b.giveUp(ctx, err)
			return c, r, false, err
		}
		verdict, err := b.examine(entry)
		if err != nil {
			return nil, nil, false, err
		}
		switch verdict.step {
		case stepMine:
			return b.claim(entry.Revision), nil, false, nil
		case stepResult:
			return nil, verdict.result, false, nil
		case stepWrite:
			if b.lost && (b.writes >= settleTries || b.m.clock().After(b.settleBy)) {
				c, r, err = b.giveUp(ctx, cause)
				return c, r, false, err
			}
			if b.writes < settleTries || pause(ctx, b.poll.NextBackOff()) {
				return nil, nil, true, nil
			}
			c, r, err = b.giveUp(ctx, context.Cause(ctx))
			return c, r, false, err
		}
		if !pause(ctx, b.poll.NextBackOff()) {
			c, r, err = b.giveUp(ctx, context.Cause(ctx))
			return c, r, false, err
		}
	}
}

// readBack reads the record. While another request is known to hold the claim, it goes on until the context ends.
func (b *beginning) readBack(ctx context.Context) (kv.Entry, error) {
	waits := newBackoff(settlePause, pollMax)
	for try := 1; ; try++ {
		if err := ctx.Err(); err != nil {
			return kv.Entry{}, err
		}
		entry, err := b.read(ctx)
		if err == nil {
			return entry, nil
		}
		if errors.Is(err, kv.ErrNotFound) {
			return kv.Entry{Key: b.key}, nil
		}
		if !b.held && (try >= settleTries || b.m.clock().After(b.settleBy)) {
			return kv.Entry{}, err
		}
		if !pause(ctx, waits.NextBackOff()) {
			return kv.Entry{}, context.Cause(ctx)
		}
	}
}

// read reads the record once, in the time that is left to settle a write.
func (b *beginning) read(ctx context.Context) (kv.Entry, error) {
	if b.held {
		return b.m.read(ctx, b.key)
	}
	bounded, cancel := context.WithTimeout(ctx, max(b.settleBy.Sub(b.m.clock()), settlePause))
	defer cancel()
	return b.m.read(bounded, b.key)
}

// step is what a Begin does after it has read the record.
type step int

const (
	stepMine   step = iota + 1 // the claim is held
	stepResult                 // the call was ended by another request
	stepWrite                  // the key is free
	stepWait                   // another request holds the claim
)

type verdict struct {
	step   step
	result *Result
}

// examine decides from the record that was read.
func (b *beginning) examine(e kv.Entry) (verdict, error) {
	if e.Revision != b.expect {
		b.lost = false // the lost write can take effect no longer, or has done so
	}
	if e.Revision == 0 {
		b.expect = 0
		return verdict{step: stepWrite}, nil
	}
	rec, err := decodeRecord(e.Value)
	if err != nil {
		return verdict{}, &OpenError{Err: err}
	}
	if rec.Holder == b.holder {
		return verdict{step: stepMine}, nil
	}
	b.held = true
	b.heldBy = rec.RequestID
	if rec.Fingerprint != b.call.Fingerprint.String() {
		return verdict{}, &MismatchError{Service: b.call.Service, RequestID: rec.RequestID}
	}
	switch rec.State {
	case stateDone:
		return verdict{step: stepResult, result: rec.Result}, nil
	case stateNotRun:
		b.expect = e.Revision
		return verdict{step: stepWrite}, nil
	}
	return verdict{step: stepWait}, nil
}

// refused ends a Begin whose write the store refused.
func (b *beginning) refused(ctx context.Context, err error) (*Claim, *Result, error) {
	if b.lost {
		return b.giveUp(ctx, err)
	}
	if b.call.RunUnclaimed {
		return b.unclaimed(), nil, nil
	}
	return nil, nil, &StoreError{Err: err}
}

// giveUp ends a Begin that could not be settled.
func (b *beginning) giveUp(ctx context.Context, cause error) (*Claim, *Result, error) {
	if b.held && !b.lost {
		return nil, nil, &OpenError{RequestID: b.heldBy, Err: cause}
	}
	// A caller who left while the write was under way says nothing about the store.
	if b.lost && ctx.Err() == nil {
		b.m.markSilent()
	}
	if b.call.RunUnclaimed {
		return b.unclaimed(), nil, nil
	}
	if b.lost {
		b.m.reconcile(b.call, b.key, b.holder, b.expect, nil)
	}
	return nil, nil, &UnsettledError{Err: cause}
}

func (b *beginning) claim(revision kv.Revision) *Claim {
	return &Claim{m: b.m, call: b.call, key: b.key, holder: b.holder, revision: revision}
}

func (b *beginning) unclaimed() *Claim {
	return &Claim{m: b.m, call: b.call, key: b.key, holder: b.holder, revision: b.expect, unsettled: true}
}

// isRefused reports whether the store refused a write, which then did not take effect.
func isRefused(err error) bool {
	return errors.Is(err, kv.ErrUnavailable) || errors.Is(err, kv.ErrThrottled)
}
