package publish

import (
	"encoding/json"
	"fmt"
	"testing"

	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/state/kv"
	"gooseberrytide.example/gooseberrytide/internal/state/object"
	"gooseberrytide.example/gooseberrytide/internal/state/snapshot"
)

// targetSet returns a configuration with the target's 11,000 teams and 4,500 backend servers.
func targetSet() *object.Set {
	set := object.NewSet()
	set.FailureDomains["a"] = &object.FailureDomain{Name: "a"}
	set.Models["m"] = &object.Model{Name: "m", DefaultVersion: "v", InputTokenCost: 1}
	set.Versions["v"] = &object.Version{Name: "v", Model: "m", Weights: "w"}
	for i := range 4_500 {
		name := fmt.Sprintf("engine-%d", i)
		set.BackendServers[name] = &object.BackendServer{
			Name: name, Kind: object.BackendModelEngine, Model: "m", FailureDomain: "a",
			Address: fmt.Sprintf("10.%d.%d.1:8000", i/250, i%250),
		}
	}
	for i := range 11_000 {
		name := fmt.Sprintf("team-%d", i)
		set.Teams[name] = &object.Team{Name: name, APIKeyHashes: []string{contentHash([]byte(name))}}
	}
	object.ApplyDefaults(set)
	return set
}

// BenchmarkPublishOneChange publishes a change of one team at the target size.
func BenchmarkPublishOneChange(b *testing.B) {
	store := kv.NewFake()
	p := NewPublisher(store, always)
	set := targetSet()
	gen, err := p.Publish(b.Context(), 0, set)
	if err != nil {
		b.Fatal(err)
	}
	before := store.Counts()[kv.OpCompareAndSwap]
	for b.Loop() {
		set.Teams["team-7"].Weight += 0.01
		if gen, err = p.Publish(b.Context(), gen, set); err != nil {
			b.Fatal(err)
		}
	}
	writes := store.Counts()[kv.OpCompareAndSwap] - before
	b.ReportMetric(float64(writes)/float64(b.N), "writes/op")
}

// BenchmarkPullOneChange brings a change of one team from one router to another at the target size.
func BenchmarkPullOneChange(b *testing.B) {
	set := targetSet()
	first, err := snapshot.Build(1, set)
	if err != nil {
		b.Fatal(err)
	}
	source := NewSyncer(SyncOptions{Holder: &snapshot.Holder{}})
	source.advance(first)
	target := NewSyncer(SyncOptions{Holder: &snapshot.Holder{}})
	target.advance(first)
	gen, size := ident.Generation(1), 0
	for b.Loop() {
		b.StopTimer()
		gen++
		set.Teams["team-7"].Weight += 0.01
		next, err := snapshot.Build(gen, set)
		if err != nil {
			b.Fatal(err)
		}
		source.advance(next)
		b.StartTimer()
		page, err := source.HandlePull(PullRequest{Have: gen - 1})
		if err != nil {
			b.Fatal(err)
		}
		data, _ := json.Marshal(page)
		size = len(data)
		result := &pullResult{changes: object.NewSet()}
		if err := result.add(page); err != nil {
			b.Fatal(err)
		}
		built, err := snapshot.Build(gen, result.applyTo(target.opts.Holder.Load().Set()))
		if err != nil || built.Digest() != page.Digest {
			b.Fatal(err)
		}
		target.advance(built)
	}
	b.ReportMetric(float64(size), "bytes/pull")
}
