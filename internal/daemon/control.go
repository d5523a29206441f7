package daemon

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"gooseberrytide.example/gooseberrytide/internal/coordination/dispatch"
	"gooseberrytide.example/gooseberrytide/internal/coordination/membership"
	"gooseberrytide.example/gooseberrytide/internal/coordination/ownership"
	"gooseberrytide.example/gooseberrytide/internal/coordination/scheduler"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/state/object"
	"gooseberrytide.example/gooseberrytide/internal/state/periodic"
	"gooseberrytide.example/gooseberrytide/internal/state/snapshot"
	"gooseberrytide.example/gooseberrytide/internal/state/timeline"
)

// maxStaleWait is how long a process that was paused or has just started waits for a majority before it acts on its own
// view. Without this limit, a router that reaches the store but no other router would never dispatch.
const maxStaleWait = 3 * time.Second

// controlState is the state that the control loop keeps between iterations. The mutex guards lastInput and staleSince.
type controlState struct {
	mu          sync.Mutex
	lastInput   routesInput
	staleSince  time.Duration
	lastMembers map[ident.RouterID]memberState
	lastServing bool
}

// onSnapshot records a new configuration and rebuilds the routes.
func (d *Daemon) onSnapshot(s *snapshot.Snapshot) {
	d.events.Add(timeline.Event{Kind: timeline.KindGeneration, Generation: s.Generation()})
	d.log.Named("daemon").Info("configuration in force", zap.Uint64("generation", uint64(s.Generation())))
	d.refreshRoutes()
}

// runControl runs the control loop: it drives the failure detector, and rebuilds the routes when the members or the
// configuration changed.
func (d *Daemon) runControl(ctx context.Context) {
	periodic.Run(ctx, tickPeriod, func() {
		d.tickDetector()
		d.recordChanges()
		d.refreshRoutes()
	})
}

func (d *Daemon) tickDetector() {
	generation := d.syncer.AnnouncedGeneration()
	d.detectorMu.Lock()
	d.detector.SetSelf(d.isDraining(), generation, uint32(d.router.Ingress().Active()))
	out := d.detector.Tick(d.now())
	d.detectorMu.Unlock()
	d.sendPackets(out)
}

// isDraining reports whether this router is draining, because its process was told to stop or because an operator
// drains its VM.
func (d *Daemon) isDraining() bool {
	if d.draining.Load() {
		return true
	}
	set := d.currentObjects()
	if set == nil {
		return false
	}
	vm, ok := set.VMs[d.settings.ID]
	return ok && vm.State == object.StateDraining
}

// refreshRoutes rebuilds the routes if their input changed.
func (d *Daemon) refreshRoutes() {
	d.control.mu.Lock()
	defer d.control.mu.Unlock()
	s := d.snapshot.Load()
	view := d.view()
	if s == nil || d.deferStaleView(view) {
		return
	}
	input := newRoutesInput(s, view)
	if input.equal(d.control.lastInput) {
		return
	}
	d.control.lastInput = input
	routes := buildRoutes(ident.RouterID(d.settings.ID), s, view)
	d.routes.Store(routes)
	d.router.Update(routes)
}

// deferStaleView reports whether the view is stale and must not be acted on yet.
func (d *Daemon) deferStaleView(view *membership.View) bool {
	// A router that is the only one in the VM list is a majority by itself, although nobody answers it.
	if !view.Stale || d.majority() {
		d.control.staleSince = 0
		return false
	}
	if d.control.staleSince == 0 {
		d.control.staleSince = d.now()
	}
	return d.now()-d.control.staleSince < maxStaleWait
}

// routesInput identifies the input of the routes. Equal inputs give equal routes.
type routesInput struct {
	generation ident.Generation
	members    []routeMember
}

// routeMember holds the properties of a member that routes depend on.
type routeMember struct {
	id          ident.RouterID
	incarnation ident.Incarnation
	eligible    bool
}

func newRoutesInput(s *snapshot.Snapshot, view *membership.View) routesInput {
	live := view.Live()
	input := routesInput{generation: s.Generation(), members: make([]routeMember, 0, len(live))}
	for _, m := range live {
		input.members = append(input.members, routeMember{m.ID, m.Incarnation, eligible(m)})
	}
	return input
}

func (i routesInput) equal(other routesInput) bool {
	return i.generation == other.generation && slices.Equal(i.members, other.members)
}

// eligible reports whether a member may be a dispatcher: it is not draining and has a configuration.
func eligible(m membership.Member) bool {
	return !m.Draining && m.Generation > 0
}

// buildRoutes computes the dispatchers of all shards from the configuration and the live members.
func buildRoutes(self ident.RouterID, s *snapshot.Snapshot, view *membership.View) *dispatch.Routes {
	routes := &dispatch.Routes{
		Generation: s.Generation(),
		Pools:      make(map[ident.PoolID]*dispatch.Pool),
		Servers:    make(map[ident.BackendID]*object.BackendServer),
		Teams:      make(map[ident.TeamID]scheduler.TeamLimits),
		Live:       make(map[ident.RouterID]ident.Incarnation),
	}
	var members []ident.RouterID
	for _, m := range view.Live() {
		routes.Live[m.ID] = m.Incarnation
		if eligible(m) {
			members = append(members, m.ID)
		}
	}
	addTeams(routes, s.Set())
	owners := ownership.Assign(shardIDs(s), members)
	for _, pool := range s.Pools() {
		addPool(routes, self, pool, owners)
	}
	return routes
}

func addTeams(routes *dispatch.Routes, set *object.Set) {
	for name, team := range set.Teams {
		routes.Teams[ident.TeamID(name)] = scheduler.TeamLimits{
			Weight:      team.Weight,
			MaxQueued:   team.MaxQueued,
			MaxInFlight: team.MaxInFlight,
		}
	}
}

func shardIDs(s *snapshot.Snapshot) []ident.ShardID {
	var ids []ident.ShardID
	for _, pool := range s.Pools() {
		for _, shard := range pool.Shards {
			ids = append(ids, shard.ID)
		}
	}
	return ids
}

func addPool(
	routes *dispatch.Routes, self ident.RouterID, pool *snapshot.Pool, owners map[ident.ShardID]ident.RouterID,
) {
	p := &dispatch.Pool{}
	for _, shard := range pool.Shards {
		owner := owners[shard.ID]
		p.Owners = append(p.Owners, dispatch.Owner{Router: owner, Incarnation: routes.Live[owner]})
		for _, server := range shard.Backends {
			routes.Servers[ident.BackendID(server.Name)] = server
		}
		if owner == self {
			routes.OwnedShards = append(routes.OwnedShards, dispatch.Shard{
				ID:       shard.ID,
				Siblings: len(pool.Shards),
				Servers:  shard.Backends,
			})
		}
	}
	routes.Pools[pool.ID] = p
}

// dispatchers returns the routers that dispatch for a pool.
func (d *Daemon) dispatchers(pool ident.PoolID) []ident.RouterID {
	routes := d.routes.Load()
	if routes == nil || routes.Pools[pool] == nil {
		return nil
	}
	var list []ident.RouterID
	for _, owner := range routes.Pools[pool].Owners {
		if owner.Router != "" && !slices.Contains(list, owner.Router) {
			list = append(list, owner.Router)
		}
	}
	return list
}

// currentConfig returns the generation and the objects of the configuration in force, or 0 and nil. The order
// controller uses it.
func (d *Daemon) currentConfig() (ident.Generation, *object.Set) {
	s := d.snapshot.Load()
	if s == nil {
		return 0, nil
	}
	return s.Generation(), s.Set()
}

// ownsBackend reports whether this router dispatches for the backend server's shard and therefore sends its orders.
func (d *Daemon) ownsBackend(id ident.BackendID) bool {
	routes := d.routes.Load()
	if routes == nil || d.view().Stale {
		return false
	}
	for _, shard := range routes.OwnedShards {
		for _, server := range shard.Servers {
			if server.Name == string(id) {
				return true
			}
		}
	}
	return false
}
