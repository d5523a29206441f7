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

// maxParallelEngines is the number of engines that are reconciled at once, so that one that hangs does not delay the
// others.
const maxParallelEngines = 16

// Stats holds counters since the start of the controller.
type Stats struct {
	// Orders is the number of orders sent. Confirmed is the number of times that an engine was then seen with its target.
	Orders, Confirmed int64
	// Stale is the number of orders that engines refused because of an old fencing number.
	Stale int64
	// Abandoned is the number of orders that were not sent although their record was written.
	Abandoned int64
	// Limited is the number of orders postponed because of the weight store's limits.
	Limited int64
	// StoreErrors is the number of orders postponed because the store failed.
	StoreErrors int64
}

// Controller sends orders to the engines that this router owns.
type Controller struct {
	opts    Options
	limiter *limiter
	engines map[ident.BackendID]*trackedEngine
	seq     atomic.Uint64
	// cluster is the identity of the store's data, as of the last time that its token record had the loads of this
	// router. holdUntil is when orders may be sent again after a restore: the restored token record may lack the loads
	// that were started in the last ratePeriod. Only Step changes these two fields.
	cluster   string
	holdUntil time.Time

	mu sync.Mutex
	// storeBackoffUntil is when the store may be called again after a failure or a reached load limit.
	storeBackoffUntil time.Time
	stats             Stats
}

// New returns a controller. It does nothing until Run or Step is called.
func New(opts Options) *Controller {
	opts = opts.withDefaults()
	return &Controller{
		opts: opts,
		limiter: &limiter{
			store:        opts.Store,
			maxLoading:   opts.MaxLoading,
			maxPerMinute: opts.LoadsPerMinute,
			timeout:      opts.LoadTimeout,
		},
		engines: map[ident.BackendID]*trackedEngine{},
	}
}

// Run reconciles the owned engines every Interval until the context ends, and returns the context's error.
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

// Step reconciles each owned engine once. It must not be called concurrently.
func (c *Controller) Step(ctx context.Context) {
	generation, set := c.opts.Config()
	if set == nil {
		return
	}
	c.learnEpoch(ctx)
	c.untrackEngines(set)
	semaphore := make(chan struct{}, maxParallelEngines)
	var running sync.WaitGroup
	for _, name := range slices.Sorted(maps.Keys(set.BackendServers)) {
		target, ok := targetOf(set, set.BackendServers[name])
		if !ok || !c.opts.Owns(ident.BackendID(name)) {
			continue
		}
		e := c.trackEngine(set.BackendServers[name])
		semaphore <- struct{}{}
		running.Go(func() {
			defer func() { <-semaphore }()
			c.reconcile(ctx, e, target, generation)
		})
	}
	running.Wait()
}

// learnEpoch reads the epoch of the fencing numbers at the start and after a restore of the store. After a restore it
// also holds orders back and writes the loads of this router again. Routers that own no engine read the epoch too: when
// the store is restored from a copy that lacks the epoch, only a router that remembers it can raise it.
func (c *Controller) learnEpoch(ctx context.Context) {
	if c.storeBackingOff(time.Now()) {
		return
	}
	epoch, err := c.opts.Fencing.Current(ctx)
	if err == nil && c.cluster != "" && c.cluster != epoch.Cluster() {
		c.holdUntil = time.Now().Add(ratePeriod)
		err = c.writeLoadsAgain(ctx)
	}
	if err != nil {
		c.startStoreBackoff()
		c.opts.Logger.Info("order: fencing epoch or loads not recorded, will retry", zap.Error(err))
		return
	}
	c.cluster = epoch.Cluster()
}

// writeLoadsAgain adds the loads of this router's engines to the token record of a restored store, which may lack them.
func (c *Controller) writeLoadsAgain(ctx context.Context) error {
	var running []loadEntry
	for id, e := range c.engines {
		if e.tokenID != "" {
			running = append(running, loadEntry{ID: e.tokenID, Engine: id, StartMS: e.tokenSince.UnixMilli()})
		}
	}
	c.opts.Logger.Warn("order: store restored from an older copy, no orders for a minute", zap.Int("loads", len(running)))
	if len(running) == 0 {
		return nil
	}
	return c.limiter.addAgain(ctx, running)
}

// Stats returns the counters.
func (c *Controller) Stats() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stats
}

// targetOf returns what a backend server has to load. It returns false if the server is not a model engine or its model
// or version is not configured.
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

// untrackEngines drops engines that are no longer configured or no longer owned by this router.
func (c *Controller) untrackEngines(set *object.Set) {
	for id := range c.engines {
		if set.BackendServers[string(id)] == nil || !c.opts.Owns(id) {
			delete(c.engines, id)
		}
	}
}

func (c *Controller) trackEngine(server *object.BackendServer) *trackedEngine {
	id := ident.BackendID(server.Name)
	e := c.engines[id]
	if e == nil {
		e = &trackedEngine{id: id}
		c.engines[id] = e
	}
	e.server = server
	return e
}

// newID returns an id that is unique among the orders of the fleet.
func (c *Controller) newID() string {
	return fmt.Sprintf("%s-%x-%x", c.opts.Self, uint64(c.opts.Incarnation), c.seq.Add(1))
}

// updateStats changes the counters.
func (c *Controller) updateStats(change func(*Stats)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(&c.stats)
}

// storeBackingOff reports whether calls to the store are to be postponed.
func (c *Controller) storeBackingOff(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Before(c.storeBackoffUntil)
}

func (c *Controller) startStoreBackoff() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.storeBackoffUntil = time.Now().Add(c.opts.StoreBackoff)
}

func (c *Controller) log(e *trackedEngine, message string, fields ...zap.Field) {
	c.opts.Logger.Info("order: "+message, append(fields, zap.String("backend", string(e.id)))...)
}
