package session

import (
	"slices"

	"gooseberrytide.example/gooseberrytide/internal/coordination/dispatch"
	"gooseberrytide.example/gooseberrytide/internal/coordination/ownership"
	"gooseberrytide.example/gooseberrytide/internal/coordination/scheduler"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/state/object"
	"gooseberrytide.example/gooseberrytide/internal/state/snapshot"
)

// routes builds a router's routes from its configuration, the live routers, and the routers that may dispatch.
func (n *node) routes(live, eligible []ident.RouterID) *dispatch.Routes {
	s := n.holder.Load()
	r := &dispatch.Routes{
		Generation: s.Generation(),
		Pools:      make(map[ident.PoolID]*dispatch.Pool),
		Servers:    make(map[ident.BackendID]*object.BackendServer),
		Teams:      make(map[ident.TeamID]scheduler.TeamLimits),
		Live:       make(map[ident.RouterID]ident.Incarnation),
	}
	for _, id := range live {
		r.Live[id] = ident.Incarnation(slices.Index(routerIDs, id) + 1)
	}
	for name, team := range s.Set().Teams {
		r.Teams[ident.TeamID(name)] = scheduler.TeamLimits{Weight: team.Weight, MaxQueued: team.MaxQueued}
	}
	owners := owners(s, eligible)
	for _, pool := range s.Pools() {
		p := &dispatch.Pool{}
		for _, shard := range pool.Shards {
			owner := owners[shard.ID]
			p.Owners = append(p.Owners, dispatch.Owner{Router: owner, Incarnation: r.Live[owner]})
			for _, server := range shard.Backends {
				r.Servers[ident.BackendID(server.Name)] = server
			}
			if owner == n.id {
				r.OwnedShards = append(r.OwnedShards, dispatch.Shard{ID: shard.ID, Siblings: len(pool.Shards),
					Servers: shard.Backends})
			}
		}
		r.Pools[pool.ID] = p
	}
	return r
}

func owners(s *snapshot.Snapshot, eligible []ident.RouterID) map[ident.ShardID]ident.RouterID {
	var shards []ident.ShardID
	for _, pool := range s.Pools() {
		for _, shard := range pool.Shards {
			shards = append(shards, shard.ID)
		}
	}
	return ownership.Assign(shards, eligible)
}

// owner returns the dispatcher of a pool's only shard while all routers are live.
func (f *fleet) owner(pool ident.PoolID) ident.RouterID {
	return owners(f.node("r1").holder.Load(), routerIDs)[ident.ShardID{Pool: pool}]
}

// fixture returns the initial configuration of the sessions.
func fixture() *object.Set {
	set := object.NewSet()
	for _, name := range []string{"alarms", "summaries"} {
		set.Teams[name] = &object.Team{Name: name, APIKeyHashes: []string{sha256Hex(name)}}
	}
	set.FailureDomains["d1"] = &object.FailureDomain{Name: "d1"}
	set.Models["m"] = &object.Model{Name: "m", DefaultVersion: "v1", InputTokenCost: 1}
	set.Versions["v1"] = &object.Version{Name: "v1", Model: "m", Weights: "m-1"}
	set.Services["credits"] = &object.Service{
		Name:   "credits",
		Routes: []object.Route{{PathPrefix: "/", Cost: 5}},
	}
	set.BackendServers["e1"] = &object.BackendServer{
		Name: "e1", Kind: object.BackendModelEngine, Address: "10.0.0.1:8000", FailureDomain: "d1", Model: "m", Slots: 2,
	}
	set.BackendServers["credits1"] = &object.BackendServer{
		Name: "credits1", Kind: object.BackendService, Address: "10.0.0.2:8000", FailureDomain: "d1",
		Service: "credits", Slots: 2,
	}
	return set
}
