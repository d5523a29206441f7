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

// Timeouts of waits for conditions. They are long because the machine may be busy.
const (
	serveTimeout = 60 * time.Second
	drainTimeout = 150 * time.Second
)

// findDispatcher returns the router that dispatches for a pool, according to the status of the first router. It waits
// until there is one.
func (h *harness) findDispatcher(ctx context.Context, pool string) (*fleet.Router, error) {
	var found *fleet.Router
	err := fleet.Await(ctx, serveTimeout, "dispatcher of "+pool, func() error {
		status, err := h.currentRouters()[0].Status(ctx)
		if err != nil {
			return err
		}
		for shard, owner := range status.Owners {
			if strings.HasPrefix(shard, pool) && h.router(string(owner)) != nil {
				found = h.router(string(owner))
				return nil
			}
		}
		return errors.Errorf("no running owner in %v", status.Owners)
	})
	return found, err
}

// router returns the newest process of a router, or nil if there is no router with the ID.
func (h *harness) router(id string) *fleet.Router {
	for _, r := range h.currentRouters() {
		if r.ID == id {
			return r
		}
	}
	return nil
}

// reserve reserves a router as the victim of a fault, so that two faults at once do not hit the same router. It returns
// false if another fault has reserved the router.
func (h *harness) reserve(r *fleet.Router) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.reserved[r.ID] {
		return false
	}
	h.reserved[r.ID] = true
	return true
}

// kill begins an outage of a router, kills its process, and waits until it has ended.
func (h *harness) kill(r *fleet.Router) {
	h.beginOutage(r)
	r.Kill()
}

// replace starts a new process for a router that has ended. With isEntry callers send it requests at once.
func (h *harness) replace(ctx context.Context, old *fleet.Router, isEntry bool) (*fleet.Router, error) {
	number, err := strconv.Atoi(strings.TrimPrefix(old.ID, "r"))
	if err != nil {
		return nil, errors.Wrap(err, "router name")
	}
	r, err := h.fleet.StartRouter(ctx, number-1)
	if err != nil {
		return nil, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.routers[number-1] = r
	h.isEntry[r.CallerAddress] = isEntry
	h.fleet.Routers[number-1] = r
	h.pollStatus(r)
	return r, h.fleet.PublishVMs(ctx)
}

// awaitServing waits until the current process of a router serves.
func (h *harness) awaitServing(ctx context.Context, id string) error {
	r := h.router(id)
	return fleet.AwaitProcess(ctx, r.Process, serveTimeout, id+" serves", func() error {
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

// awaitIdle waits until no dispatcher holds queued or running requests. It finds slots that are never released and
// would stay unused.
func (h *harness) awaitIdle(ctx context.Context) error {
	for _, r := range h.currentRouters() {
		err := fleet.AwaitProcess(ctx, r.Process, serveTimeout, r.ID+" holds no requests", func() error {
			status, err := r.Status(ctx)
			if err != nil {
				return err
			}
			for _, shard := range status.Shards {
				if shard.Queued > 0 || shard.Running > 0 {
					return errors.Errorf("%s: %d queued, %d running", shard.Shard, shard.Queued, shard.Running)
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

// pause suspends a router for a time. The time is an outage of the router.
func (h *harness) pause(ctx context.Context, r *fleet.Router, duration time.Duration) {
	h.beginOutage(r)
	r.Pause()
	periodic.Sleep(ctx, duration)
	r.Resume()
	h.endOutage(r)
}

// restart shuts a router down gracefully and replaces it. Callers send it requests again once the new process serves.
func (h *harness) restart(ctx context.Context, r *fleet.Router) error {
	h.mu.Lock()
	h.isEntry[r.CallerAddress] = false
	h.mu.Unlock()
	if err := r.Terminate(drainTimeout); err != nil {
		h.addViolation("graceful shutdown: " + err.Error())
		r.Kill()
	}
	started, err := h.replace(ctx, r, false)
	if err != nil {
		return err
	}
	err = h.awaitServing(ctx, started.ID)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.isEntry[started.CallerAddress] = true
	return err
}

// partition cuts the routers of side off from the others, and with blockPlatform also from the store and the VM list.
func (h *harness) partition(ctx context.Context, side []*fleet.Router, blockPlatform bool) error {
	var sideIDs, otherIDs []ident.RouterID
	for _, r := range h.currentRouters() {
		if slices.Contains(side, r) {
			sideIDs = append(sideIDs, ident.RouterID(r.ID))
		} else {
			otherIDs = append(otherIDs, ident.RouterID(r.ID))
		}
	}
	for _, r := range h.currentRouters() {
		blocked := sideIDs
		if slices.Contains(side, r) {
			blocked = otherIDs
		}
		if err := h.block(ctx, r, blocked); err != nil {
			return err
		}
	}
	if blockPlatform {
		for _, r := range side {
			h.setPlatformBlocked(r.ID, true)
		}
	}
	return nil
}

func (h *harness) setPlatformBlocked(id string, blocked bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, p := range h.proxies[id] {
		p.setBlocked(blocked)
	}
}

// block cuts a router off from exactly the given routers. A router that another fault has ended is skipped.
func (h *harness) block(ctx context.Context, r *fleet.Router, list []ident.RouterID) error {
	err := fleet.Do(ctx, http.MethodPost, "http://"+r.CallerAddress+"/v1/admin/blocked",
		admin.BlockedRequest{Routers: list}, nil)
	if r.Ended() {
		return nil
	}
	return err
}

// heal ends all partitions, between routers and from the platform.
func (h *harness) heal(ctx context.Context) error {
	for _, r := range h.currentRouters() {
		h.setPlatformBlocked(r.ID, false)
		if err := h.block(ctx, r, nil); err != nil {
			return err
		}
	}
	return nil
}

func (h *harness) setStoreFaults(ctx context.Context, f kvstore.Faults) error {
	return fleet.Do(ctx, http.MethodPost, h.fleet.StoreURL+"/admin/faults", f, nil)
}

// setBackendFaults sets the faults of a backend server. The response has no body.
func (h *harness) setBackendFaults(ctx context.Context, b *fleet.Backend, faults any) error {
	return fleet.Do(ctx, http.MethodPost, "http://"+b.Address+"/admin/faults", faults, nil)
}

// engineExecution is an entry of an engine's execution log, with the engine's name.
type engineExecution struct {
	engine string
	engine.Execution
}

// saveExecutions reads and stores an engine's execution log, which is lost when the engine is killed.
func (h *harness) saveExecutions(ctx context.Context, b *fleet.Backend) error {
	var list []engine.Execution
	if err := fleet.Do(ctx, http.MethodGet, "http://"+b.Address+"/admin/executions", nil, &list); err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, x := range list {
		h.engineExecutions = append(h.engineExecutions, engineExecution{engine: b.Name, Execution: x})
	}
	return nil
}

// serviceCounts reads the execution counts of all instances of the service.
func (h *harness) serviceCounts(ctx context.Context) ([]service.Counts, error) {
	var out []service.Counts
	for _, b := range h.fleet.Services {
		var c service.Counts
		if err := fleet.Do(ctx, http.MethodGet, "http://"+b.Address+"/admin/counts", nil, &c); err != nil {
			return nil, err
		}
		out = append(out, c)
	}
	return out, nil
}
