package order

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"gooseberrytide.example/gooseberrytide/internal/coordination/fencing"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/state/object"
)

// maxDoublings bounds the doublings of Options.OrderBackoff before MaxOrderBackoff applies.
const maxDoublings = 10

// trackedEngine is what a controller knows about an engine.
type trackedEngine struct {
	id     ident.BackendID
	server *object.BackendServer
	target Target
	// targetSince is when the target last changed.
	targetSince time.Time
	// nextRead is the earliest time of the next read of the engine's state.
	nextRead time.Time
	// nextOrder is the earliest time of the next order.
	nextOrder time.Time
	// unconfirmed counts the orders since the engine last had its target.
	unconfirmed int
	// tokenID is the id of the last order that holds an entry of the token record, or empty.
	tokenID string
	// tokenSince is when the entry was added.
	tokenSince time.Time
}

// reconcile compares an engine's state with its target and sends an order if they differ.
func (c *Controller) reconcile(ctx context.Context, e *trackedEngine, target Target, generation ident.Generation) {
	now := time.Now()
	if target != e.target {
		e.target, e.targetSince, e.unconfirmed, e.nextRead = target, now, 0, now
	}
	if now.Before(e.nextRead) {
		return
	}
	state, err := c.opts.Engines.State(ctx, e.server)
	if err != nil {
		e.nextRead = now.Add(c.opts.ReadBackInterval)
		c.log(e, "cannot read the engine's state", zap.Error(err))
		return
	}
	e.nextRead = now.Add(c.opts.Interval)
	switch {
	case state.Loading != nil && *state.Loading == target:
	case state.Loading == nil && state.Target == target:
		e.nextRead = now.Add(c.opts.ReadBackInterval)
		c.confirm(ctx, e)
	case now.Sub(e.targetSince) < c.opts.StableFor || now.Before(e.nextOrder) || c.storeBackingOff(now):
	case now.Before(c.holdUntil):
	default:
		c.recordFailure(e, c.issue(ctx, e, generation))
	}
}

// confirm records that the engine has its target, and releases its entry of the token record.
func (c *Controller) confirm(ctx context.Context, e *trackedEngine) {
	if e.unconfirmed > 0 {
		e.unconfirmed = 0
		c.updateStats(func(s *Stats) { s.Confirmed++ })
		c.log(e, "confirmed", zap.String("model", e.target.Model), zap.String("version", e.target.Version))
	}
	c.releaseToken(ctx, e)
}

// releaseToken marks the engine's entry of the token record as done. If the store fails, a later call of reconcile
// tries again, and finally the entry expires.
func (c *Controller) releaseToken(ctx context.Context, e *trackedEngine) {
	if e.tokenID != "" && c.limiter.release(ctx, e.tokenID) == nil {
		e.tokenID = ""
	}
}

// issue writes the order's record and sends the order.
func (c *Controller) issue(ctx context.Context, e *trackedEngine, generation ident.Generation) error {
	key := keyPrefix + string(e.id)
	epoch, err := c.opts.Fencing.Current(ctx)
	if err != nil {
		return err
	}
	if epoch.Cluster() != c.cluster {
		return fencing.ErrRestored // the next Step holds the orders back
	}
	last, revision, err := readRecord(ctx, c.opts.Store, key)
	if err != nil {
		return err
	}
	if last.Generation > generation {
		return errNewerConfiguration
	}
	id := c.newID()
	if err := c.limiter.acquire(ctx, e.id, id); err != nil {
		return err
	}
	start := time.Now()
	e.tokenID, e.tokenSince = id, start
	r := record{ID: id, Generation: generation, Target: e.target}
	fence, err := writeFenced(ctx, c.opts.Store, epoch, key, revision, r)
	if err != nil {
		c.releaseToken(ctx, e)
		return err
	}
	if time.Since(start) > c.opts.SendWindow || !c.opts.Owns(e.id) {
		c.updateStats(func(s *Stats) { s.Abandoned++ })
		c.releaseToken(ctx, e)
		return nil
	}
	return c.send(ctx, e, fence)
}

// send sends the order. If the answer is lost, the order stays unconfirmed until the engine's state shows its effect.
func (c *Controller) send(ctx context.Context, e *trackedEngine, fence int64) error {
	e.nextOrder = time.Now().Add(c.nextBackoff(e))
	e.unconfirmed++
	c.updateStats(func(s *Stats) { s.Orders++ })
	c.log(e, "sent", zap.String("model", e.target.Model), zap.String("version", e.target.Version),
		zap.Int64("fence", fence))
	err := c.opts.Engines.Order(ctx, e.server, Command{Kind: LoadModel, Target: e.target, Fence: fence})
	if errors.Is(err, ErrStale) {
		c.opts.Fencing.Refresh()
		c.releaseToken(ctx, e)
	}
	if err != nil {
		return &sendError{cause: err}
	}
	return nil
}

// nextBackoff returns the time until the next order. It doubles with each order that was not confirmed.
func (c *Controller) nextBackoff(e *trackedEngine) time.Duration {
	d := c.opts.OrderBackoff << min(e.unconfirmed, maxDoublings)
	return min(d, c.opts.MaxOrderBackoff)
}

// recordFailure counts and logs the reason why no order was sent or acknowledged. Store errors have no common type, so
// every error that is not known to be something else counts as one.
func (c *Controller) recordFailure(e *trackedEngine, err error) {
	var send *sendError
	switch {
	case err == nil:
		return
	case errors.Is(err, ErrStale):
		c.updateStats(func(s *Stats) { s.Stale++ })
	case errors.As(err, &send), errors.Is(err, errNewerConfiguration):
	case errors.Is(err, errLoadLimit):
		c.startStoreBackoff()
		c.updateStats(func(s *Stats) { s.Limited++ })
	default:
		c.startStoreBackoff()
		c.updateStats(func(s *Stats) { s.StoreErrors++ })
	}
	c.log(e, "order not acknowledged, will retry", zap.Error(err))
}

// sendError reports that the engine did not acknowledge an order.
type sendError struct{ cause error }

// Error returns the message with the cause.
func (e *sendError) Error() string {
	return "order: engine did not acknowledge the order: " + e.cause.Error()
}

// Unwrap returns the cause.
func (e *sendError) Unwrap() error { return e.cause }
