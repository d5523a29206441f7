package daemon

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"gooseberrytide.example/gooseberrytide/internal/coordination/claim"
	"gooseberrytide.example/gooseberrytide/internal/coordination/membership"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/state/periodic"
	"gooseberrytide.example/gooseberrytide/internal/state/timeline"
	"gooseberrytide.example/gooseberrytide/internal/transport/vmlist"
)

// closeTimeout bounds the closing of callers' idle connections after a drain.
const closeTimeout = 5 * time.Second

// drainPropagationTime is the time until all other routers know of a drain: a router pings 3 members every 500 ms.
// Until a router knows, it still returns this router's address, and callers keep the address for its whole lifetime.
const drainPropagationTime = 2 * time.Second

// drainGrace returns how long new requests are accepted after the start of a drain.
func (d *Daemon) drainGrace() time.Duration {
	return d.settings.AddressLifetime() + drainPropagationTime
}

// IncarnationError reports that an earlier process of this router had a higher incarnation, because the VM's clock went
// back. The router must start again with the incarnation Needed.
type IncarnationError struct {
	Needed ident.Incarnation
}

// Error implements error.
func (e *IncarnationError) Error() string {
	return "an earlier process of this router had a higher incarnation"
}

// Run serves until the context ends, then shuts down gracefully. It returns an *IncarnationError, an error of the
// callers' listener, or an error if requests were still running at the drain limit.
func (d *Daemon) Run(ctx context.Context) error {
	background, stop := context.WithCancelCause(context.Background())
	defer stop(nil)
	var group sync.WaitGroup
	d.runBackground(background, stop, &group)
	serveErr := make(chan error, 1)
	go func() { serveErr <- d.callerServer.Serve(d.callerListener) }()
	err := d.awaitStop(ctx, background, serveErr)
	if err == nil {
		err = d.drain()
	}
	stop(nil)
	group.Wait()
	d.close()
	return err
}

// runBackground starts the background loops, which run until ctx ends. A loop calls stop if the process must end.
func (d *Daemon) runBackground(ctx context.Context, stop context.CancelCauseFunc, group *sync.WaitGroup) {
	group.Go(func() { d.runControl(ctx) })
	group.Go(func() { d.runVMList(ctx) })
	group.Go(func() { _ = d.syncer.Run(ctx) })
	group.Go(func() { d.router.Run(ctx) })
	group.Go(func() { _ = d.orderController.Run(ctx) })
	group.Go(func() { d.runGarbageCollection(ctx) })
	group.Go(func() { d.claims.Sweep(ctx, claim.SweepOptions{Services: d.serviceNames, Owns: d.sweepsClaims}) })
	group.Go(func() { d.checkIncarnation(ctx, stop) })
}

// awaitStop waits for the end of ctx and returns nil, or returns the error that ends the process before that.
func (d *Daemon) awaitStop(ctx, background context.Context, serveErr <-chan error) error {
	select {
	case <-ctx.Done():
		return nil
	case <-background.Done():
		return context.Cause(background)
	case err := <-serveErr:
		return errors.Wrap(err, "serve callers")
	}
}

// drain announces the drain to the other routers, so that they stop returning this router as an entry address and take
// over its dispatcher roles, and waits for callers' requests to end.
func (d *Daemon) drain() error {
	log := d.log.Named("daemon")
	log.Info("drain started", zap.Int("requests", d.callerServer.InFlight()))
	d.events.Add(timeline.Event{Kind: timeline.KindDrain, Detail: "started"})
	d.draining.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.DrainLimit())
	defer cancel()
	err := errors.Wrap(d.callerServer.Drain(ctx, d.drainGrace()), "drain")
	d.executor.Wait()
	if drainErr := d.claims.Drain(ctx); drainErr != nil {
		log.Error("claims not settled", zap.Int("claims", d.claims.Reconciling()))
	}
	if err != nil {
		log.Error("drain limit reached", zap.Int("requests", d.callerServer.InFlight()))
	}
	d.events.Add(timeline.Event{Kind: timeline.KindDrain, Detail: "ended"})
	d.detectorMu.Lock()
	leave := d.detector.Leave(d.now())
	d.detectorMu.Unlock()
	d.sendPackets(leave)
	return err
}

// close closes the listeners and connections.
func (d *Daemon) close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if err := d.callerServer.Shutdown(ctx); err != nil && !errors.Is(err, http.ErrServerClosed) {
		d.log.Named("daemon").Warn("caller connections not closed", zap.Error(err))
	}
	d.claims.Close()
	d.backends.Close()
	_ = d.network.Close()
}

// checkIncarnation stops the daemon with an *IncarnationError if an earlier process of this router had a higher
// incarnation.
func (d *Daemon) checkIncarnation(ctx context.Context, stop context.CancelCauseFunc) {
	periodic.Run(ctx, tickPeriod, func() {
		d.detectorMu.Lock()
		needed := d.detector.SelfIncarnation()
		d.detectorMu.Unlock()
		if needed > d.incarnation {
			stop(&IncarnationError{Needed: needed})
		}
	})
}

// runVMList reads the VM list periodically. If a read fails, the previous list stays in use.
func (d *Daemon) runVMList(ctx context.Context) {
	for {
		d.readVMList(ctx)
		period := vmListPeriod
		if !d.vmListRead.Load() {
			period = initialVMListPeriod
		}
		if !periodic.Sleep(ctx, period) {
			return
		}
	}
}

func (d *Daemon) readVMList(ctx context.Context) {
	vms, err := d.vmList.List(ctx)
	if err != nil {
		d.log.Named("daemon").Warn("VM list not read", zap.Error(err))
		return
	}
	candidates := make([]membership.Candidate, 0, len(vms))
	for _, vm := range vms {
		if vm.State == vmlist.StateLeaving {
			continue
		}
		candidates = append(candidates, membership.Candidate{
			ID:       vm.ID,
			PeerAddr: vm.PeerAddress,
			Domain:   vm.FailureDomain,
		})
	}
	d.detectorMu.Lock()
	defer d.detectorMu.Unlock()
	d.detector.SetCandidates(d.now(), candidates)
	if len(candidates) > 0 {
		d.vmListRead.Store(true)
	}
}

// garbageCollectionPeriod is the time between deletions of unused chunks of earlier configurations.
const garbageCollectionPeriod = time.Hour

// runGarbageCollection deletes unused chunks from the store. Only the routers that watch the store do it, at different
// times.
func (d *Daemon) runGarbageCollection(ctx context.Context) {
	periodic.Run(ctx, garbageCollectionPeriod, func() {
		if !d.watchesStore() {
			return
		}
		if _, err := d.publisher.CollectGarbage(ctx); err != nil {
			d.log.Named("daemon").Warn("unused chunks not deleted", zap.Error(err))
		}
	})
}

// serviceNames returns the sorted names of the services in the configuration in force.
func (d *Daemon) serviceNames() []string {
	set := d.currentObjects()
	if set == nil {
		return nil
	}
	return slices.Sorted(maps.Keys(set.Services))
}

// sweepsClaims reports whether this router deletes the expired claims under a key prefix.
func (d *Daemon) sweepsClaims(prefix string) bool {
	return d.isTopRanked(prefix, 1)
}
