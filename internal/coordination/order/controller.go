package order

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/state/object"
)

// maxParallel bounds the engines that are visited at once, so that one that hangs does not delay the others.
const maxParallel = 16

// Stats are counts since the start.
type Stats struct {
	// Orders is the number of orders sent, Confirmed of those seen in force afterwards.
	Orders, Confirmed int64
	// Stale is the number of orders that engines refused for an old fencing number.
	Stale int64
	// Abandoned is the number of orders whose record was written but which were not sent.
	Abandoned int64
	// Limited is the number of orders put off by the weight store's limits.
	Limited int64
	// StoreErrors is the number of orders put off because the store failed.
	StoreErrors int64
}

// Controller gives orders to the engines that this router owns.
type Controller struct {
	opts    Options
	limiter *limiter
	engines map[ident.BackendID]*tracked
	seq     atomic.Uint64

	mu sync.Mutex
	// holdUntil is when the store is asked again after a failure or a full token record.
	holdUntil time.Time
	stats     Stats
}

// New returns a controller. Run or Step must be called for it to act.
func New(opts Options) *Controller {
	opts = opts.withDefaults()
	return &Controller{
		opts: opts,
		limiter: &limiter{
			store:   opts.Store,
			atOnce:  opts.MaxLoading,
			perMin:  opts.LoadsPerMinute,
			timeout: opts.LoadTimeout,
		},
		engines: map[ident.BackendID]*tracked{},
	}
}

// Run visits the engines every Interval until the context ends, and returns the context's error.
func (c *Controller) Run(ctx context.Context) error {
	ticker := time.NewTicker(c.opts.Interval)
	defer ticker.Stop()
	for {
		c.Step(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// Step visits each owned engine once. It is not called concurrently.
func (c *Controller) Step(ctx context.Context) {
	generation, set := c.opts.Config()
	if set == nil {
		return
	}
	c.forget(set)
	slots := make(chan struct{}, maxParallel)
	var visits sync.WaitGroup
	for _, name := range slices.Sorted(maps.Keys(set.BackendServers)) {
		target, ok := targetOf(set, set.BackendServers[name])
		if !ok || !c.opts.Owns(ident.BackendID(name)) {
			continue
		}
		e := c.track(set.BackendServers[name])
		slots <- struct{}{}
		visits.Go(func() {
			defer func() { <-slots }()
			c.visit(ctx, e, target, generation)
		})
	}
	visits.Wait()
}

// Stats returns the counts.
func (c *Controller) Stats() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stats
}

// targetOf returns what a backend server has to load, if it is a model engine.
func targetOf(set *object.Set, server *object.BackendServer) (Target, bool) {
	if server.Kind != object.BackendModelEngine || server.Model == "" {
		return Target{}, false
	}
	t := Target{Model: server.Model, Version: server.Version}
	if model := set.Models[server.Model]; t.Version == "" && model != nil {
		t.Version = model.DefaultVersion
	}
	return t, t.Version != ""
}

// forget drops engines that left the configuration or belong to another router.
func (c *Controller) forget(set *object.Set) {
	for id := range c.engines {
		if set.BackendServers[string(id)] == nil || !c.opts.Owns(id) {
			delete(c.engines, id)
		}
	}
}

func (c *Controller) track(server *object.BackendServer) *tracked {
	id := ident.BackendID(server.Name)
	e := c.engines[id]
	if e == nil {
		e = &tracked{id: id}
		c.engines[id] = e
	}
	e.server = server
	return e
}

// newID returns an id that no other order of the fleet has.
func (c *Controller) newID() string {
	return fmt.Sprintf("%s-%x-%x", c.opts.Self, uint64(c.opts.Incarnation), c.seq.Add(1))
}

// count changes the statistics.
func (c *Controller) count(change func(*Stats)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(&c.stats)
}

// held says whether the store is to be left alone for a while.
func (c *Controller) held(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Before(c.holdUntil)
}

func (c *Controller) hold() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.holdUntil = time.Now().Add(c.opts.StorePause)
}

func (c *Controller) log(e *tracked, text string, fields ...zap.Field) {
	c.opts.Logger.Info("order: "+text, append(fields, zap.String("backend", string(e.id)))...)
}
