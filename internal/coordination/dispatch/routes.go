package dispatch

import (
	"gooseberrytide.example/gooseberrytide/internal/coordination/scheduler"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/state/object"
)

// Owner identifies the process that dispatches a shard.
type Owner struct {
	Router      ident.RouterID
	Incarnation ident.Incarnation
}

// Pool is a pool of backend servers as the ingress side uses it.
type Pool struct {
	// Owners holds the dispatcher of each shard, by shard index. An empty router means that the shard has none.
	Owners []Owner
}

// Shard is a shard that this router owns.
type Shard struct {
	ID ident.ShardID
	// Siblings is the number of shards of the pool, this one included.
	Siblings int
	Servers  []*object.BackendServer
}

// Routes is an immutable routing table built from the current configuration and membership. A change replaces the whole
// table.
type Routes struct {
	Generation ident.Generation
	Pools      map[ident.PoolID]*Pool
	Servers    map[ident.BackendID]*object.BackendServer
	Teams      map[ident.TeamID]scheduler.TeamLimits
	// OwnedShards lists the shards that this router owns, which it is the dispatcher of.
	OwnedShards []Shard
	// Live holds the incarnation of each live router.
	Live map[ident.RouterID]ident.Incarnation
}

// owner returns the dispatcher of a shard. It returns false if the shard does not exist or has none.
func (r *Routes) owner(id ident.ShardID) (Owner, bool) {
	pool, ok := r.Pools[id.Pool]
	if !ok || int(id.Index) >= len(pool.Owners) {
		return Owner{}, false
	}
	owner := pool.Owners[id.Index]
	return owner, owner.Router != ""
}
