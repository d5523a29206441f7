package claim

import (
	"context"
	"errors"
	"sync/atomic"

	"gooseberrytide.example/gooseberrytide/internal/state/kv"
)

// Claim is the right to run a call. Exactly one of Finish and Abandon ends it.
type Claim struct {
	m        *Manager
	call     Call
	key      string
	holder   holderID
	revision kv.Revision
	// fencingNumber is 0 for an unconfirmed claim.
	fencingNumber int64
	// unconfirmed reports that the store did not confirm the claim.
	unconfirmed bool
	// localCall is the router's in-memory record of the call, or nil.
	localCall *localCall
	ended     atomic.Bool
}

// FencingNumber returns the number of the claim that is sent to the backend server. It is 0 for an unconfirmed claim.
func (c *Claim) FencingNumber() int64 { return c.fencingNumber }

// Unconfirmed reports whether the call runs without a claim that the store confirmed, which only happens with
// Call.RunOnStoreOutage.
func (c *Claim) Unconfirmed() bool { return c.unconfirmed }

// Finish records the call's result. An error other than ErrAlreadyEnded means that the result is not recorded yet: the
// manager retries in the background, and repeated requests wait until it succeeds.
func (c *Claim) Finish(ctx context.Context, r Result) error {
	if r.RequestID == "" {
		r.RequestID = c.call.RequestID
	}
	return c.end(ctx, &r)
}

// Abandon records that the call was never sent and will not be sent under this claim. Its errors are those of Finish.
func (c *Claim) Abandon(ctx context.Context) error { return c.end(ctx, nil) }

// end records the result, or not-run if it is nil. If the store does not confirm the write, the record is reconciled in
// the background.
func (c *Claim) end(ctx context.Context, result *Result) error {
	if c.ended.Swap(true) {
		return ErrAlreadyEnded
	}
	if c.localCall != nil {
		c.localCall.end(result)
	}
	if c.unconfirmed {
		c.m.reconcile(c.call, c.key, c.holder, c.revision, result)
		return nil
	}
	rec := c.call.endedRecord(c.holder, result, c.m.clock())
	c.m.restores.remember(c.key, rec)
	if c.m.storeUnresponsive() {
		c.m.reconcile(c.call, c.key, c.holder, c.revision, result)
		return &StoreError{Err: errStoreUnresponsive}
	}
	_, err := c.m.compareAndSwap(ctx, c.key, c.revision, rec)
	if err == nil {
		return nil
	}
	c.m.reconcile(c.call, c.key, c.holder, c.revision, result)
	if errors.Is(err, kv.ErrConflict) {
		return &OpenError{RequestID: c.call.RequestID, Err: err}
	}
	return &StoreError{Err: err}
}
