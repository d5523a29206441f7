package snapshot

import (
	"encoding/binary"

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
	hashes := make([]uint64, count)
	for i := range shards {
		shards[i].ID = ident.ShardID{Pool: pool, Index: uint16(i)}
		hashes[i] = xxhash.Sum64String(shards[i].ID.String())
	}
	for _, server := range servers {
		best := bestShard(hashes, server.Name)
		shards[best].Backends = append(shards[best].Backends, server)
	}
	fillEmpty(shards)
	return shards
}

// bestShard returns the index of the shard with the highest weight for a server.
func bestShard(shards []uint64, server string) int {
	hash := xxhash.Sum64String(server)
	best := 0
	var highest uint64
	for i, shard := range shards {
		score := weight(shard, hash)
		if i == 0 || score > highest {
			best = i
			highest = score
		}
	}
	return best
}

// weight hashes the hashes of a shard and a server. Hashing their names for each pair takes ten times as long, and
// the largest pool of the target has a million pairs.
func weight(shard, server uint64) uint64 {
	var pair [16]byte
	binary.LittleEndian.PutUint64(pair[:8], shard)
	binary.LittleEndian.PutUint64(pair[8:], server)
	return xxhash.Sum64(pair[:])
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
