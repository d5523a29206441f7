package snapshot

import (
	"crypto/sha256"
	"encoding/hex"
	"sort"

	"github.com/pkg/errors"

	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/state/object"
)

// Snapshot is an immutable configuration with its indexes. All methods are safe for concurrent use.
type Snapshot struct {
	generation ident.Generation
	digest     string
	set        *object.Set
	keys       map[[sha256.Size]byte]*object.Team
	pools      map[ident.PoolID]*Pool
	order      []*Pool
}

// Pool is a model or a service with its backend servers.
type Pool struct {
	ID ident.PoolID
	// Model is set for the pool of a model.
	Model *object.Model
	// Service is set for the pool of a service.
	Service *object.Service
	// Shards split the backend servers. A pool without backend servers has none; otherwise no shard is empty.
	Shards []Shard
}

// Shard is a slice of a pool's backend servers. Draining backend servers are included, so that draining one does not
// move others between shards.
type Shard struct {
	ID ident.ShardID
	// Backends are ordered by name.
	Backends []*object.BackendServer
}

// Build indexes a set. It works on a copy with defaults applied, so later changes of the set have no effect.
// It reports API key hashes that are malformed or shared, and backend servers without a pool.
func Build(gen ident.Generation, set *object.Set) (*Snapshot, error) {
	copied := set.Clone()
	object.ApplyDefaults(copied)
	s := &Snapshot{generation: gen, set: copied}
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

// Digest returns the hexadecimal SHA-256 hash of a set's canonical form.
func Digest(set *object.Set) (string, error) {
	data, err := object.Encode(set)
	if err != nil {
		return "", errors.Wrap(err, "snapshot: digest")
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:]), nil
}

func (s *Snapshot) indexKeys() error {
	s.keys = make(map[[sha256.Size]byte]*object.Team, len(s.set.Teams))
	for name, team := range s.set.Teams {
		for _, text := range team.APIKeyHashes {
			var hash [sha256.Size]byte
			if n, err := hex.Decode(hash[:], []byte(text)); err != nil || n != len(hash) {
				return errors.Errorf("snapshot: team %s has a malformed API key hash", name)
			}
			if other, taken := s.keys[hash]; taken && other != team {
				return errors.Errorf("snapshot: teams %s and %s share an API key hash", other.Name, name)
			}
			s.keys[hash] = team
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
	members, err := s.members()
	if err != nil {
		return err
	}
	for id, pool := range s.pools {
		pool.Shards = split(id, members[id])
	}
	sort.Slice(s.order, func(i, j int) bool { return s.order[i].ID < s.order[j].ID })
	return nil
}

func (s *Snapshot) addPool(pool *Pool) {
	s.pools[pool.ID] = pool
	s.order = append(s.order, pool)
}

// members groups the backend servers by pool, ordered by name.
func (s *Snapshot) members() (map[ident.PoolID][]*object.BackendServer, error) {
	members := make(map[ident.PoolID][]*object.BackendServer, len(s.pools))
	for name, server := range s.set.BackendServers {
		id := PoolOf(server)
		if _, ok := s.pools[id]; !ok {
			return nil, errors.Errorf("snapshot: backend server %s belongs to unknown pool %s", name, id)
		}
		members[id] = append(members[id], server)
	}
	for _, list := range members {
		sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	}
	return members, nil
}

// PoolOf returns the pool of a backend server.
func PoolOf(server *object.BackendServer) ident.PoolID {
	if server.Kind == object.BackendService {
		return ident.ServicePool(server.Service)
	}
	return ident.ModelPool(server.Model)
}

// Generation returns the configuration's generation.
func (s *Snapshot) Generation() ident.Generation { return s.generation }

// Digest returns the hexadecimal SHA-256 hash of the configuration's canonical form.
func (s *Snapshot) Digest() string { return s.digest }

// Set returns the configuration. It is not to be modified.
func (s *Snapshot) Set() *object.Set { return s.set }

// TeamByAPIKey returns the team that has the API key.
func (s *Snapshot) TeamByAPIKey(key string) (*object.Team, bool) {
	team, ok := s.keys[sha256.Sum256([]byte(key))]
	return team, ok
}

// Pool returns a pool.
func (s *Snapshot) Pool(id ident.PoolID) (*Pool, bool) {
	pool, ok := s.pools[id]
	return pool, ok
}

// Pools returns all pools, ordered by id. The list is not to be modified.
func (s *Snapshot) Pools() []*Pool { return s.order }

// Backend returns a backend server.
func (s *Snapshot) Backend(id ident.BackendID) (*object.BackendServer, bool) {
	server, ok := s.set.BackendServers[string(id)]
	return server, ok
}
