package claim

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"

	"gooseberrytide.example/gooseberrytide/internal/state/kv"
)

// Begin claims the call's key. It returns a new claim, or the recorded result of an earlier request. While another
// request holds the claim it waits until the context ends. Errors: ErrBudgetExceeded, ErrInvalidKey, ErrClosed,
// *KeyConflictError, *StoreError, *UncertainError, *OpenError.
func (m *Manager) Begin(ctx context.Context, c Call) (*Claim, *Result, error) {
	if c.Key == "" || len(c.Key) > MaxKeyBytes {
		return nil, nil, ErrInvalidKey
	}
	if m.backgroundCtx.Err() != nil {
		return nil, nil, ErrClosed
	}
	if c.RunOnStoreOutage {
		return m.beginLocal(ctx, c)
	}
	return m.beginStored(ctx, c)
}

// beginStored claims the call's key in the store.
func (m *Manager) beginStored(ctx context.Context, c Call) (*Claim, *Result, error) {
	if !m.writeTokens.take(c.Team, writesPerCall) {
		return nil, nil, ErrBudgetExceeded
	}
	b := &beginOperation{
		m:               m,
		call:            c,
		key:             storeKey(c),
		holder:          m.nextHolder(),
		resolveDeadline: m.clock().Add(resolveTimeout),
		pollBackoff:     newBackoff(minPollInterval, maxPollInterval),
	}
	claim, result, err := b.begin(ctx)
	if claim == nil {
		m.writeTokens.refund(1) // the write reserved to record the result
	}
	return claim, result, err
}

// begin claims the key, unless the store was restored lately.
func (b *beginOperation) begin(ctx context.Context) (*Claim, *Result, error) {
	if err := b.m.restores.start(ctx); err != nil {
		return nil, nil, &StoreError{Err: err}
	}
	if b.m.restores.holding() {
		return b.beginHeld(ctx)
	}
	epoch, err := b.m.fencing.Current(ctx)
	if err != nil {
		return nil, nil, &StoreError{Err: err}
	}
	claim, result, err := b.run(ctx)
	if claim == nil || claim.unconfirmed {
		return claim, result, err
	}
	return b.checkRestored(ctx, claim, epoch)
}

// beginOperation is the state of one call of Begin.
type beginOperation struct {
	m      *Manager
	call   Call
	key    string
	holder holderID
	// expect is the revision of the key that the claim's write requires.
	expect kv.Revision
	// uncertain reports that a write of unknown outcome, which requires the revision expect, may still take effect.
	uncertain bool
	// heldByOther reports that another request holds or held the claim.
	heldByOther bool
	// holderRequestID is the id of that request, if its record was read.
	holderRequestID string
	// writes is the number of writes of the claim so far.
	writes int
	// resolveDeadline ends the attempts to resolve a write of unknown outcome.
	resolveDeadline time.Time
	pollBackoff     *backoff.ExponentialBackOff
}

// run repeats the attempt to claim until it has the claim, a result or an error.
func (b *beginOperation) run(ctx context.Context) (*Claim, *Result, error) {
	for {
		if err := ctx.Err(); err != nil {
			return b.giveUp(ctx, err)
		}
		if b.writes == 0 && b.m.storeUnresponsive() {
			return b.handleRefusal(ctx, errStoreUnresponsive)
		}
		revision, err := b.writeClaim(ctx)
		switch {
		case err == nil:
			return b.newClaim(revision), nil, nil
		case isRefusal(err):
			return b.handleRefusal(ctx, err)
		case !errors.Is(err, kv.ErrConflict):
			b.uncertain = true
		case !b.uncertain:
			b.heldByOther = true
		}
		claim, result, retry, err := b.resolve(ctx, err)
		if !retry {
			return claim, result, err
		}
	}
}

// writeClaim writes the open record. Writes after the first are debited from the budget, since only the first was
// reserved.
func (b *beginOperation) writeClaim(ctx context.Context) (kv.Revision, error) {
	if b.writes > 0 {
		b.m.writeTokens.debit(1)
	}
	b.writes++
	return b.m.compareAndSwap(ctx, b.key, b.expect, b.call.openRecord(b.holder))
}

// resolve reads the record until it shows who holds the claim or that it may be written. When retry is true, the claim
// must be written again; otherwise Begin returns the other results.
func (b *beginOperation) resolve(ctx context.Context, cause error) (c *Claim, r *Result, retry bool, err error) {
	for {
		entry, err := b.readBack(ctx)
		if err != nil {
			c, r, err = b.giveUp(ctx, err)
			return c, r, false, err
		}
		next, err := b.decide(entry)
		if err != nil {
			return nil, nil, false, err
		}
		switch next.action {
		case actionClaimed:
			return b.newClaim(entry.Revision), nil, false, nil
		case actionDone:
			return nil, next.result, false, nil
		case actionWrite:
			if b.uncertain && (b.writes >= maxResolveAttempts || b.m.clock().After(b.resolveDeadline)) {
				c, r, err = b.giveUp(ctx, cause)
				return c, r, false, err
			}
			if b.writes < maxResolveAttempts || sleep(ctx, b.pollBackoff.NextBackOff()) {
				return nil, nil, true, nil
			}
			c, r, err = b.giveUp(ctx, context.Cause(ctx))
			return c, r, false, err
		}
		if !sleep(ctx, b.pollBackoff.NextBackOff()) {
			c, r, err = b.giveUp(ctx, context.Cause(ctx))
			return c, r, false, err
		}
	}
}

// readBack reads the record, retrying on errors. While another request is known to hold the claim, it retries until the
// context ends.
func (b *beginOperation) readBack(ctx context.Context) (kv.Entry, error) {
	delays := newBackoff(minResolveDelay, maxPollInterval)
	for attempt := 1; ; attempt++ {
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
		if !b.heldByOther && (attempt >= maxResolveAttempts || b.m.clock().After(b.resolveDeadline)) {
			return kv.Entry{}, err
		}
		if !sleep(ctx, delays.NextBackOff()) {
			return kv.Entry{}, context.Cause(ctx)
		}
	}
}

// read reads the record once, within the time that is left to resolve a write.
func (b *beginOperation) read(ctx context.Context) (kv.Entry, error) {
	if b.heldByOther {
		return b.m.read(ctx, b.key)
	}
	bounded, cancel := context.WithTimeout(ctx, max(b.resolveDeadline.Sub(b.m.clock()), minResolveDelay))
	defer cancel()
	return b.m.read(bounded, b.key)
}

// action is what to do after reading a record.
type action int

const (
	actionClaimed action = iota + 1 // this request holds the claim
	actionDone                      // the record is final
	actionWrite                     // the record may be written
	actionWait                      // another request holds the claim
)

// decision is the action that follows from a record, with the recorded result for actionDone.
type decision struct {
	action action
	result *Result
}

// decide returns the action that follows from the record that was read. Errors: *OpenError for a record that cannot be
// decoded, *KeyConflictError.
func (b *beginOperation) decide(e kv.Entry) (decision, error) {
	if e.Revision != b.expect {
		b.uncertain = false // the uncertain write has taken effect or no longer can
	}
	if e.Revision == 0 {
		b.expect = 0
		return decision{action: actionWrite}, nil
	}
	rec, err := decodeRecord(e.Value)
	if err != nil {
		return decision{}, &OpenError{Err: err}
	}
	if rec.Holder == b.holder {
		return decision{action: actionClaimed}, nil
	}
	b.heldByOther = true
	b.holderRequestID = rec.RequestID
	if rec.Fingerprint != b.call.Fingerprint.String() {
		return decision{}, &KeyConflictError{Service: b.call.Service, RequestID: rec.RequestID}
	}
	switch rec.State {
	case stateDone:
		return decision{action: actionDone, result: rec.Result}, nil
	case stateNotRun:
		b.expect = e.Revision
		return decision{action: actionWrite}, nil
	}
	return decision{action: actionWait}, nil
}

// handleRefusal ends a Begin whose write the store refused.
func (b *beginOperation) handleRefusal(ctx context.Context, err error) (*Claim, *Result, error) {
	if b.uncertain {
		return b.giveUp(ctx, err)
	}
	if b.call.RunOnStoreOutage {
		return b.newUnconfirmedClaim(), nil, nil
	}
	return nil, nil, &StoreError{Err: err}
}

// giveUp ends a Begin that did not get the claim or a result. The record of an uncertain write is reconciled in the
// background.
func (b *beginOperation) giveUp(ctx context.Context, cause error) (*Claim, *Result, error) {
	if b.heldByOther && !b.uncertain {
		return nil, nil, &OpenError{RequestID: b.holderRequestID, Err: cause}
	}
	// A caller that canceled during the write does not show that the store is unresponsive.
	if b.uncertain && ctx.Err() == nil {
		b.m.markStoreUnresponsive()
	}
	if b.call.RunOnStoreOutage {
		return b.newUnconfirmedClaim(), nil, nil
	}
	if b.uncertain {
		b.m.reconcile(b.call, b.key, b.holder, b.expect, nil)
	}
	return nil, nil, &UncertainError{Err: cause}
}

// newClaim returns the claim that was confirmed at the revision.
func (b *beginOperation) newClaim(revision kv.Revision) *Claim {
	return &Claim{m: b.m, call: b.call, key: b.key, holder: b.holder, revision: revision}
}

// newUnconfirmedClaim returns a claim that the store did not confirm, for a call with RunOnStoreOutage.
func (b *beginOperation) newUnconfirmedClaim() *Claim {
	return &Claim{m: b.m, call: b.call, key: b.key, holder: b.holder, revision: b.expect, unconfirmed: true}
}

// isRefusal reports whether the store refused a write, which then did not take effect.
func isRefusal(err error) bool {
	return errors.Is(err, kv.ErrUnavailable) || errors.Is(err, kv.ErrThrottled)
}
