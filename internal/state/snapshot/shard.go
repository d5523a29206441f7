package snapshot

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/state/object"
)

// ShardSize is the number of backend servers per shard, on average. A pool of n has ceil(n/ShardSize) shards.
const ShardSize = 12

// split assigns backend servers, ordered by name, to shards by rendezvous hashing. When the number of shards stays
// the same, a new or removed backend server moves no other one, unless a shard would be empty.
func split(pool ident.PoolID, servers []*object.BackendServer) []Shard {
	count := (len(servers) + ShardSize - 1) / ShardSize
	shards := make([]Shard, count)
	for i := range shards {
		shards[i].ID = ident.ShardID{Pool: pool, Index: uint16(i)}
	}
	for _, server := range servers {
		best := bestShard(shards, server.Name)
		shards[best].Backends = append(shards[best].Backends, server)
	}
	fillEmpty(shards)
	return shards
}

func bestShard(shards []Shard, server string) int {
	best := 0
	var highest uint64
	for i := range shards {
		score := weight(shards[i].ID, server)
		if i == 0 || score > highest {
			best = i
			highest = score
		}
	}
	return best
}

func weight(shard ident.ShardID, server string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(string(shard.Pool))
	_, _ = digest.WriteString("#")
	_, _ = digest.WriteString(strconv.Itoa(int(shard.Index)))
	_, _ = digest.WriteString("/")
	_, _ = digest.WriteString(server)
	return digest.Sum64()
}

// fillEmpty gives each empty shard the last backend server of the largest shard. A request that is sent to an empty
// shard would be refused although the pool has capacity.
func fillEmpty(shards []Shard) {
	for i := range shards {
		if len(shards[i].Backends) > 0 {
			continue
		}
		from := largest(shards)
		last := len(shards[from].Backends) - 1
		shards[i].Backends = []*object.BackendServer{shards[from].Backends[last]}
		shards[from].Backends = shards[from].Backends[:last]
	}
}

func largest(shards []Shard) int {
	best := 0
	for i := range shards {
		if len(shards[i].Backends) > len(shards[best].Backends) {
			best = i
		}
	}
	return best
}
