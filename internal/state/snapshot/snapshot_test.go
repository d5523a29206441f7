package snapshot

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"sync"
	"testing"

	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/state/object"
)

// Numbers of objects in the target deployment in two years.
const (
	targetTeams   = 11_000
	targetEngines = 4_500
	targetModels  = 23
)

func apiKey(team int) string { return fmt.Sprintf("key-%d", team) }

func apiKeyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// newSet returns a set with the given numbers of teams, model engines and models.
func newSet(teams, engines, models int) *object.Set {
	set := object.NewSet()
	set.FailureDomains["a"] = &object.FailureDomain{Name: "a"}
	for i := range models {
		model, version := fmt.Sprintf("model-%d", i), fmt.Sprintf("model-%d-v1", i)
		set.Models[model] = &object.Model{Name: model, DefaultVersion: version, InputTokenCost: 1}
		set.Versions[version] = &object.Version{Name: version, Model: model, Weights: "w"}
	}
	for i := range engines {
		name := fmt.Sprintf("engine-%d", i)
		set.BackendServers[name] = &object.BackendServer{
			Name: name, Kind: object.BackendModelEngine, Model: fmt.Sprintf("model-%d", i%models),
			Address: fmt.Sprintf("10.%d.%d.1:8000", i/250, i%250), FailureDomain: "a",
		}
	}
	for i := range teams {
		name := fmt.Sprintf("team-%d", i)
		set.Teams[name] = &object.Team{Name: name, APIKeyHashes: []string{apiKeyHash(apiKey(i))}}
	}
	return set
}

func mustBuild(t testing.TB, generation ident.Generation, set *object.Set) *Snapshot {
	t.Helper()
	s, err := Build(generation, set)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// Guards against backend servers that are missing from all shards or are in two, empty shards, and a wrong number of
// shards.
func TestShards(t *testing.T) {
	for _, engines := range []int{0, 1, 12, 13, 25, 300} {
		s := mustBuild(t, 1, newSet(0, engines, 1))
		pool, ok := s.Pool(ident.ModelPool("model-0"))
		if !ok || len(pool.Shards) != (engines+11)/12 {
			t.Fatalf("%d engines: %d shards", engines, len(pool.Shards))
		}
		seen := make(map[string]bool)
		for i, shard := range pool.Shards {
			if len(shard.Backends) == 0 || shard.ID.Index != uint16(i) || shard.ID.Pool != pool.ID {
				t.Fatalf("%d engines: shard %s has %d", engines, shard.ID, len(shard.Backends))
			}
			for _, server := range shard.Backends {
				seen[server.Name] = true
			}
		}
		if len(seen) != engines {
			t.Fatalf("%d engines: %d in shards", engines, len(seen))
		}
	}
}

// Guards against a changed engine that moves other engines between shards, which empties their queues.
func TestShardsAreStable(t *testing.T) {
	set := newSet(0, 299, 1)
	before := shardsByServer(mustBuild(t, 1, set))
	set.BackendServers["engine-7"].State = object.StateDraining
	set.BackendServers["engine-new"] = &object.BackendServer{Kind: object.BackendModelEngine, Model: "model-0"}
	after := shardsByServer(mustBuild(t, 2, set))
	for name, shard := range before {
		if after[name] != shard {
			t.Fatalf("%s moved from %s to %s", name, shard, after[name])
		}
	}
}

func shardsByServer(s *Snapshot) map[string]ident.ShardID {
	shards := make(map[string]ident.ShardID)
	for _, pool := range s.Pools() {
		for _, shard := range pool.Shards {
			for _, server := range shard.Backends {
				shards[server.Name] = shard.ID
			}
		}
	}
	return shards
}

// Guards against sets in which one API key belongs to two teams, and against a snapshot that follows later changes of
// its set.
func TestBuildRejectsInvalidSetsAndCopies(t *testing.T) {
	set := newSet(2, 1, 1)
	s := mustBuild(t, 1, set)
	set.Teams["team-0"].Weight = 9
	if team, ok := s.TeamByAPIKey(apiKey(0)); !ok || team.Weight != 1 {
		t.Fatalf("got %+v", team)
	}
	set.Teams["team-1"].APIKeyHashes = set.Teams["team-0"].APIKeyHashes
	if _, err := Build(2, set); err == nil {
		t.Error("shared hash accepted")
	}
	set.Teams["team-1"].APIKeyHashes = []string{"ab"}
	if _, err := Build(2, set); err == nil {
		t.Error("malformed hash accepted")
	}
	set = newSet(0, 1, 1)
	delete(set.Models, "model-0")
	if _, err := Build(2, set); err == nil {
		t.Error("backend server without pool accepted")
	}
}

// Guards against a return to an older configuration, and against data races between readers and writers of a holder, at
// target size.
func TestHolderAtTargetSize(t *testing.T) {
	var holder Holder
	if holder.Load() != nil {
		t.Fatal("empty holder holds a snapshot")
	}
	set := newSet(targetTeams, targetEngines, targetModels)
	snapshots := make([]*Snapshot, 3)
	for i := range snapshots {
		snapshots[i] = mustBuild(t, ident.Generation(i+1), set)
	}
	holder.Advance(snapshots[0])
	stop := make(chan struct{})
	var readers, writers sync.WaitGroup
	for range 8 {
		readers.Add(1)
		go func() {
			defer readers.Done()
			readUntil(t, &holder, stop)
		}()
	}
	for range 4 {
		writers.Add(1)
		go func() {
			defer writers.Done()
			for _, i := range []int{2, 0, 1, 2} {
				holder.Advance(snapshots[i])
			}
		}()
	}
	writers.Wait()
	close(stop)
	readers.Wait()
	if holder.Load() != snapshots[2] || holder.Advance(snapshots[2]) || holder.Advance(snapshots[0]) {
		t.Fatal("the generation did not stay at the highest")
	}
}

func readUntil(t *testing.T, holder *Holder, stop <-chan struct{}) {
	last := ident.Generation(0)
	for i := 0; ; i = (i + 1) % targetTeams {
		s := holder.Load()
		if s.Generation() < last {
			t.Errorf("generation fell from %d to %d", last, s.Generation())
			return
		}
		last = s.Generation()
		if team, ok := s.TeamByAPIKey(apiKey(i)); !ok || team.Name != fmt.Sprintf("team-%d", i) {
			t.Errorf("key of team %d: %v", i, team)
			return
		}
		select {
		case <-stop:
			return
		default:
		}
	}
}

func BenchmarkBuildTargetSize(b *testing.B) {
	set := newSet(targetTeams, targetEngines, targetModels)
	b.ReportAllocs()
	for b.Loop() {
		mustBuild(b, 1, set)
	}
}

func BenchmarkTeamByAPIKeyTargetSize(b *testing.B) {
	var holder Holder
	holder.Advance(mustBuild(b, 1, newSet(targetTeams, targetEngines, targetModels)))
	keys := make([]string, targetTeams)
	for i := range keys {
		keys[i] = apiKey(i)
	}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for i := 0; pb.Next(); i = (i + 1) % targetTeams {
			if _, ok := holder.Load().TeamByAPIKey(keys[i]); !ok {
				b.Error("team not found")
				return
			}
		}
	})
}
