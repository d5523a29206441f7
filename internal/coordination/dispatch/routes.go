package dispatch

import (
	"gooseberrytide.example/gooseberrytide/internal/coordination/scheduler"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/state/object"
)

// Owner is the dispatcher of a shard.
type Owner struct {
	Router      ident.RouterID
	Incarnation ident.Incarnation
}

// Pool is a pool of backend servers as the ingress side sees it.
type Pool struct {
	// Owners holds the dispatcher of each shard, by shard index. An empty router means that there is none.
	Owners []Owner
}

// Shard is a shard that this router is the dispatcher of.
type Shard struct {
	ID       ident.ShardID
	Siblings int
	Servers  []*object.BackendServer
}

// Routes is an immutable table made from the configuration in force and the members. It is swapped whole.
type Routes struct {
	Generation ident.Generation
	Pools      map[ident.PoolID]*Pool
	Servers    map[ident.BackendID]*object.BackendServer
	Teams      map[ident.TeamID]scheduler.TeamLimits
	// Own lists the shards that this router is the dispatcher of.
	Own []Shard
	// Live holds the incarnation of each live router.
	Live map[ident.RouterID]ident.Incarnation
}

// owner returns the dispatcher of a shard.
func (r *Routes) owner(id ident.ShardID) (Owner, bool) {
	pool, ok := r.Pools[id.Pool]
	if !ok || int(id.Index) >= len(pool.Owners) {
		return Owner{}, false
	}
	owner := pool.Owners[id.Index]
	return owner, owner.Router != ""
}
