package faults

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"gooseberrytide.example/gooseberrytide/internal/protocol/admin"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/state/periodic"
	"gooseberrytide.example/gooseberrytide/test/fleet"
	"gooseberrytide.example/gooseberrytide/test/standin/engine"
	"gooseberrytide.example/gooseberrytide/test/standin/kvstore"
	"gooseberrytide.example/gooseberrytide/test/standin/service"
)

// Limits of waits for conditions. They are wide because the machine may be busy.
const (
	serveLimit = 60 * time.Second
	drainLimit = 150 * time.Second
)

// dispatcher returns the router that dispatches for a pool, as another router sees it.
func (w *world) dispatcher(ctx context.Context, pool string) (*fleet.Router, error) {
	var found *fleet.Router
	err := fleet.Await(ctx, serveLimit, "dispatcher of "+pool, func() error {
		status, err := w.current()[0].Status(ctx)
		if err != nil {
			return err
		}
		for shard, owner := range status.Owners {
			if strings.HasPrefix(shard, pool) && w.router(string(owner)) != nil {
				found = w.router(string(owner))
				return nil
			}
		}
		return errors.Errorf("none in %v", status.Owners)
	})
	return found, err
}

func (w *world) router(id string) *fleet.Router {
	for _, r := range w.current() {
		if r.ID == id {
			return r
		}
	}
	return nil
}

// take reserves a router as the victim of a fault, so that two faults at once do not hit the same process. It reports
// false when it is taken.
func (w *world) take(r *fleet.Router) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.victims[r.ID] {
		return false
	}
	w.victims[r.ID] = true
	return true
}

// kill ends a router at once.
func (w *world) kill(r *fleet.Router) {
	w.excuse(r)
	r.Kill()
}

// replace starts a new process for a router that has ended. Callers use it at once when it is offered.
func (w *world) replace(ctx context.Context, old *fleet.Router, offered bool) (*fleet.Router, error) {
	number, err := strconv.Atoi(strings.TrimPrefix(old.ID, "r"))
	if err != nil {
		return nil, errors.Wrap(err, "router name")
	}
	r, err := w.fleet.StartRouter(ctx, number-1)
	if err != nil {
		return nil, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.routers[number-1] = r
	w.offered[r.Caller] = offered
	w.fleet.Routers[number-1] = r
	w.watch(r)
	return r, w.fleet.PublishVMs(ctx)
}

// awaitServing waits until the present process of a router takes new requests.
func (w *world) awaitServing(ctx context.Context, id string) error {
	r := w.router(id)
	return fleet.AwaitProcess(ctx, r.Process, serveLimit, id+" serves", func() error {
		status, err := r.Status(ctx)
		if err != nil {
			return err
		}
		if !status.Serving {
			return errors.Errorf("problems: %v", status.Problems)
		}
		return nil
	})
}

// awaitIdle waits until no dispatcher holds requests: a slot that is never released would stay idle for good.
func (w *world) awaitIdle(ctx context.Context) error {
	for _, r := range w.current() {
		err := fleet.AwaitProcess(ctx, r.Process, serveLimit, r.ID+" holds no requests", func() error {
			status, err := r.Status(ctx)
			if err != nil {
				return err
			}
			for _, p := range status.Shards {
				if p.Queued > 0 || p.Running > 0 {
					return errors.Errorf("%s: %d queued, %d running", p.Shard, p.Queued, p.Running)
				}
			}
			return nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// pause suspends a router for a time.
func (w *world) pause(ctx context.Context, r *fleet.Router, length time.Duration) {
	w.excuse(r)
	r.Pause()
	periodic.Sleep(ctx, length)
	r.Resume()
	w.endExcuse(r)
}

// restart shuts a router down gracefully and replaces it.
func (w *world) restart(ctx context.Context, r *fleet.Router) error {
	w.mu.Lock()
	w.offered[r.Caller] = false
	w.mu.Unlock()
	if err := r.Terminate(drainLimit); err != nil {
		w.violate("planned stop: " + err.Error())
		r.Kill()
	}
	started, err := w.replace(ctx, r, false)
	if err != nil {
		return err
	}
	err = w.awaitServing(ctx, started.ID)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.offered[started.Caller] = true
	return err
}

// partition cuts routers off from the others, and with platform also from the store and the VM list.
func (w *world) partition(ctx context.Context, side []*fleet.Router, platform bool) error {
	var near, far []ident.RouterID
	for _, r := range w.current() {
		if slices.Contains(side, r) {
			near = append(near, ident.RouterID(r.ID))
		} else {
			far = append(far, ident.RouterID(r.ID))
		}
	}
	for _, r := range w.current() {
		blocked := near
		if slices.Contains(side, r) {
			blocked = far
		}
		if err := w.block(ctx, r, blocked); err != nil {
			return err
		}
	}
	if platform {
		for _, r := range side {
			w.cutPlatform(r.ID, true)
		}
	}
	return nil
}

func (w *world) cutPlatform(id string, cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.relays[id] {
		r.setCut(cut)
	}
}

// block cuts a router off from exactly the given ones. A router that has ended, by another fault, is passed over.
func (w *world) block(ctx context.Context, r *fleet.Router, list []ident.RouterID) error {
	err := fleet.Do(ctx, http.MethodPost, "http://"+r.Caller+"/v1/admin/blocked", admin.BlockedRequest{Routers: list}, nil)
	if r.Ended() {
		return nil
	}
	return err
}

// heal ends all partitions.
func (w *world) heal(ctx context.Context) error {
	for _, r := range w.current() {
		w.cutPlatform(r.ID, false)
		if err := w.block(ctx, r, nil); err != nil {
			return err
		}
	}
	return nil
}

func (w *world) store(ctx context.Context, f kvstore.Faults) error {
	return fleet.Do(ctx, http.MethodPost, w.fleet.StoreURL+"/admin/faults", f, nil)
}

// backendFaults sends faults to a backend server, which answers without a body.
func (w *world) backendFaults(ctx context.Context, b *fleet.Backend, faults any) error {
	return fleet.Do(ctx, http.MethodPost, "http://"+b.Address+"/admin/faults", faults, nil)
}

// engineExecution is an entry of an engine's log, with the engine's name.
type engineExecution struct {
	engine string
	engine.Execution
}

// keepExecutions reads an engine's log, which is lost when the engine is killed.
func (w *world) keepExecutions(ctx context.Context, b *fleet.Backend) error {
	var list []engine.Execution
	if err := fleet.Do(ctx, http.MethodGet, "http://"+b.Address+"/admin/executions", nil, &list); err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, x := range list {
		w.engines = append(w.engines, engineExecution{engine: b.Name, Execution: x})
	}
	return nil
}

// counts reads the counts of all instances of the service.
func (w *world) counts(ctx context.Context) ([]service.Counts, error) {
	var out []service.Counts
	for _, b := range w.fleet.Services {
		var c service.Counts
		if err := fleet.Do(ctx, http.MethodGet, "http://"+b.Address+"/admin/counts", nil, &c); err != nil {
			return nil, err
		}
		out = append(out, c)
	}
	return out, nil
}
