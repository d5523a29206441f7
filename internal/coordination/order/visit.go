package order

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/state/object"
)

// maxDoublings bounds the growth of the pause between orders before its limit applies.
const maxDoublings = 10

// tracked is what a controller knows about an engine.
type tracked struct {
	id     ident.BackendID
	server *object.BackendServer
	target Target
	// since is when the target last changed.
	since    time.Time
	nextRead time.Time
	// nextOrder is the earliest time of the next order.
	nextOrder time.Time
	// unconfirmed counts the orders since the engine last had its target.
	unconfirmed int
	// token is the id of the last order that holds a token, or empty.
	token string
}

// visit compares an engine's state with its target and gives an order if they differ.
func (c *Controller) visit(ctx context.Context, e *tracked, target Target, generation ident.Generation) {
	now := time.Now()
	if target != e.target {
		e.target, e.since, e.unconfirmed, e.nextRead = target, now, 0, now
	}
	if now.Before(e.nextRead) {
		return
	}
	state, err := c.opts.Engines.State(ctx, e.server)
	if err != nil {
		e.nextRead = now.Add(c.opts.ReadBack)
		c.log(e, "cannot read the state", zap.Error(err))
		return
	}
	e.nextRead = now.Add(c.opts.Interval)
	switch {
	case state.Loading != nil && *state.Loading == target:
	case state.Loading == nil && state.Target == target:
		e.nextRead = now.Add(c.opts.ReadBack)
		c.confirm(ctx, e)
	case now.Sub(e.since) < c.opts.StableFor || now.Before(e.nextOrder) || c.held(now):
	default:
		c.handle(e, c.give(ctx, e, generation))
	}
}

// confirm notes that the engine has its target, and returns the token.
func (c *Controller) confirm(ctx context.Context, e *tracked) {
	if e.unconfirmed > 0 {
		e.unconfirmed = 0
		c.count(func(s *Stats) { s.Confirmed++ })
		c.log(e, "confirmed", zap.String("model", e.target.Model), zap.String("version", e.target.Version))
	}
	c.free(ctx, e)
}

// free returns the engine's token. If the store fails, the next visit tries again, and at last the token expires.
func (c *Controller) free(ctx context.Context, e *tracked) {
	if e.token != "" && c.limiter.release(ctx, e.token) == nil {
		e.token = ""
	}
}

// give writes the order's record and sends the order.
func (c *Controller) give(ctx context.Context, e *tracked, generation ident.Generation) error {
	key := keyPrefix + string(e.id)
	last, revision, err := readRecord(ctx, c.opts.Store, key)
	if err != nil {
		return err
	}
	if last.Generation > generation {
		return errOldConfiguration
	}
	id := c.newID()
	if err := c.limiter.acquire(ctx, e.id, id); err != nil {
		return err
	}
	e.token = id
	start := time.Now()
	r := record{ID: id, Generation: generation, Target: e.target}
	fence, err := writeRecord(ctx, c.opts.Store, key, revision, r)
	if err != nil {
		c.free(ctx, e)
		return err
	}
	if time.Since(start) > c.opts.SendWindow || !c.opts.Owns(e.id) {
		c.count(func(s *Stats) { s.Abandoned++ })
		c.free(ctx, e)
		return nil
	}
	return c.send(ctx, e, int64(fence))
}

// send sends the order. An answer that is lost leaves the order unconfirmed; the state tells later.
func (c *Controller) send(ctx context.Context, e *tracked, fence int64) error {
	e.nextOrder = time.Now().Add(c.pause(e))
	e.unconfirmed++
	c.count(func(s *Stats) { s.Orders++ })
	c.log(e, "sent", zap.String("model", e.target.Model), zap.String("version", e.target.Version), zap.Int64("fence", fence))
	err := c.opts.Engines.Order(ctx, e.server, Command{Kind: LoadModel, Target: e.target, Fence: fence})
	if errors.Is(err, ErrStale) {
		c.free(ctx, e)
	}
	if err != nil {
		return &sendError{cause: err}
	}
	return nil
}

// pause is the time until the next order: it doubles with each order that was not confirmed.
func (c *Controller) pause(e *tracked) time.Duration {
	d := c.opts.OrderPause << min(e.unconfirmed, maxDoublings)
	return min(d, c.opts.MaxOrderPause)
}

// handle counts and logs the reason why no order was given or accepted. Failures of the store come without a mark of
// their own, so everything that is not known to be something else counts as one.
func (c *Controller) handle(e *tracked, err error) {
	var send *sendError
	switch {
	case err == nil:
		return
	case errors.Is(err, ErrStale):
		c.count(func(s *Stats) { s.Stale++ })
	case errors.As(err, &send), errors.Is(err, errOldConfiguration):
	case errors.Is(err, errLimited):
		c.hold()
		c.count(func(s *Stats) { s.Limited++ })
	default:
		c.hold()
		c.count(func(s *Stats) { s.StoreErrors++ })
	}
	c.log(e, "put off", zap.Error(err))
}

// sendError is a failure of the engine's answer to an order.
type sendError struct{ cause error }

// Error describes the failure.
func (e *sendError) Error() string { return "order: no answer from the engine: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *sendError) Unwrap() error { return e.cause }
