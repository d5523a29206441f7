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

// closeLimit bounds the closing of idle callers' connections after a drain.
const closeLimit = 5 * time.Second

// announceTime is how long it takes until all other routers know of a drain: heartbeats reach 3 members each 500 ms. A
// router that has not heard of it still names this one, and callers keep that address for its whole lifetime.
const announceTime = 2 * time.Second

// drainGrace is how long new requests are served after the start of a drain.
func (d *Daemon) drainGrace() time.Duration { return d.settings.AddressLifetime() + announceTime }

// IncarnationError reports that another process ran under the router's name with a higher incarnation, because this
// VM's clock went back. The router has to start again with the needed incarnation.
type IncarnationError struct {
	Needed ident.Incarnation
}

// Error describes the conflict.
func (e *IncarnationError) Error() string {
	return "an earlier process of this router had a higher incarnation"
}

// Run serves until the context ends, then shuts down gracefully. Errors: *IncarnationError, errors of the listeners,
// and an error when requests still ran at the drain limit.
func (d *Daemon) Run(ctx context.Context) error {
	background, stop := context.WithCancelCause(context.Background())
	defer stop(nil)
	var group sync.WaitGroup
	d.runBackground(background, stop, &group)
	server := make(chan error, 1)
	go func() { server <- d.callers.Serve(d.listener) }()
	err := d.await(ctx, background, server)
	if err == nil {
		err = d.drain()
	}
	stop(nil)
	group.Wait()
	d.close()
	return err
}

// runBackground starts everything that does not serve callers.
func (d *Daemon) runBackground(ctx context.Context, stop context.CancelCauseFunc, group *sync.WaitGroup) {
	group.Go(func() { d.runControl(ctx) })
	group.Go(func() { d.runList(ctx) })
	group.Go(func() { _ = d.syncer.Run(ctx) })
	group.Go(func() { d.router.Run(ctx) })
	group.Go(func() { _ = d.orders.Run(ctx) })
	group.Go(func() { d.runCollect(ctx) })
	group.Go(func() { d.claims.Sweep(ctx, claim.SweepOptions{Services: d.services, Owns: d.sweeps}) })
	group.Go(func() { d.checkIncarnation(ctx, stop) })
}

// await returns nil when a stop is asked for.
func (d *Daemon) await(ctx, background context.Context, server <-chan error) error {
	select {
	case <-ctx.Done():
		return nil
	case <-background.Done():
		return context.Cause(background)
	case err := <-server:
		return errors.Wrap(err, "serve callers")
	}
}

// drain leaves the entry addresses, hands the dispatcher roles over, and waits for the requests of callers.
func (d *Daemon) drain() error {
	log := d.log.Named("daemon")
	log.Info("drain started", zap.Int("requests", d.callers.InFlight()))
	d.events.Add(timeline.Event{Kind: timeline.KindDrain, Detail: "started"})
	d.draining.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.DrainLimit())
	defer cancel()
	err := errors.Wrap(d.callers.Drain(ctx, d.drainGrace()), "drain")
	d.executor.Wait()
	if drainErr := d.claims.Drain(ctx); drainErr != nil {
		log.Error("claims not settled", zap.Int("claims", d.claims.Settling()))
	}
	if err != nil {
		log.Error("drain limit reached", zap.Int("requests", d.callers.InFlight()))
	}
	d.events.Add(timeline.Event{Kind: timeline.KindDrain, Detail: "ended"})
	d.detection.Lock()
	leave := d.detector.Leave(d.now())
	d.detection.Unlock()
	d.sendPackets(leave)
	return err
}

// close frees listeners and connections.
func (d *Daemon) close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeLimit)
	defer cancel()
	if err := d.callers.Shutdown(ctx); err != nil && !errors.Is(err, http.ErrServerClosed) {
		d.log.Named("daemon").Warn("connections of callers left open", zap.Error(err))
	}
	d.claims.Close()
	d.backends.Close()
	_ = d.network.Close()
}

// checkIncarnation ends the process when an earlier one of this router had a higher incarnation.
func (d *Daemon) checkIncarnation(ctx context.Context, stop context.CancelCauseFunc) {
	periodic.Run(ctx, tickPeriod, func() {
		d.detection.Lock()
		needed := d.detector.SelfIncarnation()
		d.detection.Unlock()
		if needed > d.incarnation {
			stop(&IncarnationError{Needed: needed})
		}
	})
}

// runList reads the VM list. A failed read keeps the former list.
func (d *Daemon) runList(ctx context.Context) {
	for {
		d.readList(ctx)
		period := listPeriod
		if !d.listRead.Load() {
			period = firstListPeriod
		}
		if !periodic.Sleep(ctx, period) {
			return
		}
	}
}

func (d *Daemon) readList(ctx context.Context) {
	list, err := d.list.List(ctx)
	if err != nil {
		d.log.Named("daemon").Warn("VM list not read", zap.Error(err))
		return
	}
	candidates := make([]membership.Candidate, 0, len(list))
	for _, vm := range list {
		if vm.State == vmlist.StateLeaving {
			continue
		}
		candidates = append(candidates, membership.Candidate{
			ID:       vm.ID,
			PeerAddr: vm.PeerAddress,
			Domain:   vm.FailureDomain,
		})
	}
	d.detection.Lock()
	defer d.detection.Unlock()
	d.detector.SetCandidates(d.now(), candidates)
	if len(candidates) > 0 {
		d.listRead.Store(true)
	}
}

// collectPeriod is how often unused chunks of former configurations are deleted.
const collectPeriod = time.Hour

// runCollect deletes unused chunks. The routers that watch the store do it, at different times.
func (d *Daemon) runCollect(ctx context.Context) {
	periodic.Run(ctx, collectPeriod, func() {
		if !d.watches() {
			return
		}
		if _, err := d.publisher.CollectGarbage(ctx); err != nil {
			d.log.Named("daemon").Warn("unused chunks not deleted", zap.Error(err))
		}
	})
}

// services returns the names of the services in force.
func (d *Daemon) services() []string {
	set := d.objects()
	if set == nil {
		return nil
	}
	return slices.Sorted(maps.Keys(set.Services))
}

// sweeps reports whether this router deletes the expired claims with a key prefix.
func (d *Daemon) sweeps(prefix string) bool {
	return d.ranked(prefix, 1)
}
