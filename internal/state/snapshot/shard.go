package snapshot

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/state/object"
)

// ShardSize is the maximum average number of backend servers per shard. A pool of n has ceil(n/ShardSize) shards.
const ShardSize = 12

// assignShards assigns backend servers, ordered by name, to shards by rendezvous hashing. As long as the number of
// shards stays the same, adding or removing a backend server moves no other one, unless a shard would be empty.
func assignShards(pool ident.PoolID, servers []*object.BackendServer) []Shard {
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
	fillEmptyShards(shards)
	return shards
}

// bestShard returns the index of the shard with the highest rendezvous weight for a server.
func bestShard(shardHashes []uint64, server string) int {
	serverHash := xxhash.Sum64String(server)
	best := 0
	var highestWeight uint64
	for i, shardHash := range shardHashes {
		weight := rendezvousWeight(shardHash, serverHash)
		if i == 0 || weight > highestWeight {
			best = i
			highestWeight = weight
		}
	}
	return best
}

// rendezvousWeight combines the hashes of a shard and a server. Hashing their names for each pair takes ten times as
// long, and the largest pool of the target deployment has a million pairs.
func rendezvousWeight(shardHash, serverHash uint64) uint64 {
	var pair [16]byte
	binary.LittleEndian.PutUint64(pair[:8], shardHash)
	binary.LittleEndian.PutUint64(pair[8:], serverHash)
	return xxhash.Sum64(pair[:])
}

// fillEmptyShards moves the last backend server of the largest shard to each empty shard. A request sent to an empty
// shard would be refused although the pool has capacity.
func fillEmptyShards(shards []Shard) {
	for i := range shards {
		if len(shards[i].Backends) > 0 {
			continue
		}
		from := largestShard(shards)
		last := len(shards[from].Backends) - 1
		shards[i].Backends = []*object.BackendServer{shards[from].Backends[last]}
		shards[from].Backends = shards[from].Backends[:last]
	}
}

func largestShard(shards []Shard) int {
	largest := 0
	for i := range shards {
		if len(shards[i].Backends) > len(shards[largest].Backends) {
			largest = i
		}
	}
	return largest
}
