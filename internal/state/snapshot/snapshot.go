package snapshot

import (
	"crypto/sha256"
	"encoding/hex"
	"sort"

	"github.com/pkg/errors"

	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/state/object"
)

// Snapshot is an immutable, indexed configuration. All methods are safe for concurrent use.
type Snapshot struct {
	generation     ident.Generation
	digest         string
	set            *object.Set
	teamsByKeyHash map[[sha256.Size]byte]*object.Team
	pools          map[ident.PoolID]*Pool
	sortedPools    []*Pool
}

// Pool is a model or a service with its backend servers.
type Pool struct {
	ID ident.PoolID
	// Model is set for the pool of a model.
	Model *object.Model
	// Service is set for the pool of a service.
	Service *object.Service
	// Shards partition the backend servers. A pool without backend servers has no shards; otherwise no shard is empty.
	Shards []Shard
}

// Shard is a subset of a pool's backend servers. It includes draining backend servers, so that draining one does not
// move others between shards.
type Shard struct {
	ID ident.ShardID
	// Backends is ordered by name.
	Backends []*object.BackendServer
}

// Build returns a snapshot of a set. It indexes a copy with defaults applied, so later changes of the set have no
// effect. It returns an error for API key hashes that are malformed or shared between teams, and for backend servers
// without a pool.
func Build(generation ident.Generation, set *object.Set) (*Snapshot, error) {
	copied := set.Clone()
	object.ApplyDefaults(copied)
	s := &Snapshot{generation: generation, set: copied}
	if err := s.indexKeys(); err != nil {
		return nil, err
	}
	if err := s.indexPools(); err != nil {
		return nil, err
	}
	digest, err := Digest(copied)
	s.digest = digest
	return s, err
}

// Digest returns the hexadecimal SHA-256 hash of a set's canonical encoding.
func Digest(set *object.Set) (string, error) {
	data, err := object.Encode(set)
	if err != nil {
		return "", errors.Wrap(err, "snapshot: digest")
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:]), nil
}

func (s *Snapshot) indexKeys() error {
	s.teamsByKeyHash = make(map[[sha256.Size]byte]*object.Team, len(s.set.Teams))
	for name, team := range s.set.Teams {
		for _, text := range team.APIKeyHashes {
			var hash [sha256.Size]byte
			if n, err := hex.Decode(hash[:], []byte(text)); err != nil || n != len(hash) {
				return errors.Errorf("snapshot: team %s has a malformed API key hash", name)
			}
			if other, taken := s.teamsByKeyHash[hash]; taken && other != team {
				return errors.Errorf("snapshot: teams %s and %s share an API key hash", other.Name, name)
			}
			s.teamsByKeyHash[hash] = team
		}
	}
	return nil
}

func (s *Snapshot) indexPools() error {
	s.pools = make(map[ident.PoolID]*Pool, len(s.set.Models)+len(s.set.Services))
	for name, model := range s.set.Models {
		s.addPool(&Pool{ID: ident.ModelPool(name), Model: model})
	}
	for name, service := range s.set.Services {
		s.addPool(&Pool{ID: ident.ServicePool(name), Service: service})
	}
	byPool, err := s.serversByPool()
	if err != nil {
		return err
	}
	for id, pool := range s.pools {
		pool.Shards = assignShards(id, byPool[id])
	}
	sort.Slice(s.sortedPools, func(i, j int) bool { return s.sortedPools[i].ID < s.sortedPools[j].ID })
	return nil
}

func (s *Snapshot) addPool(pool *Pool) {
	s.pools[pool.ID] = pool
	s.sortedPools = append(s.sortedPools, pool)
}

// serversByPool groups the backend servers by pool, each group ordered by name.
func (s *Snapshot) serversByPool() (map[ident.PoolID][]*object.BackendServer, error) {
	byPool := make(map[ident.PoolID][]*object.BackendServer, len(s.pools))
	for name, server := range s.set.BackendServers {
		id := PoolOf(server)
		if _, ok := s.pools[id]; !ok {
			return nil, errors.Errorf("snapshot: backend server %s belongs to unknown pool %s", name, id)
		}
		byPool[id] = append(byPool[id], server)
	}
	for _, list := range byPool {
		sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	}
	return byPool, nil
}

// PoolOf returns the ID of a backend server's pool.
func PoolOf(server *object.BackendServer) ident.PoolID {
	if server.Kind == object.BackendService {
		return ident.ServicePool(server.Service)
	}
	return ident.ModelPool(server.Model)
}

// Generation returns the configuration's generation.
func (s *Snapshot) Generation() ident.Generation { return s.generation }

// Digest returns the hexadecimal SHA-256 hash of the configuration's canonical encoding.
func (s *Snapshot) Digest() string { return s.digest }

// Set returns the configuration, which must not be modified.
func (s *Snapshot) Set() *object.Set { return s.set }

// TeamByAPIKey returns the team that owns an API key.
func (s *Snapshot) TeamByAPIKey(key string) (*object.Team, bool) {
	team, ok := s.teamsByKeyHash[sha256.Sum256([]byte(key))]
	return team, ok
}

// Pool returns the pool with an ID.
func (s *Snapshot) Pool(id ident.PoolID) (*Pool, bool) {
	pool, ok := s.pools[id]
	return pool, ok
}

// Pools returns all pools, ordered by ID. The slice must not be modified.
func (s *Snapshot) Pools() []*Pool { return s.sortedPools }

// Backend returns the backend server with an ID.
func (s *Snapshot) Backend(id ident.BackendID) (*object.BackendServer, bool) {
	server, ok := s.set.BackendServers[string(id)]
	return server, ok
}
