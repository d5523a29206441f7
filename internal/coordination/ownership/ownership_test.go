package ownership

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"pgregory.net/rapid"
)

func routers(n int) []ident.RouterID {
	list := make([]ident.RouterID, n)
	for i := range list {
		list[i] = ident.RouterID(fmt.Sprintf("router-%03d", i))
	}
	return list
}

func shards(n int) []ident.ShardID {
	list := make([]ident.ShardID, n)
	for i := range list {
		list[i] = ident.ShardID{Pool: ident.ModelPool(fmt.Sprintf("m%d", i/17)), Index: uint16(i % 17)}
	}
	return list
}

// Guards against routers that compute different owners from the same view, and against overloaded members.
func TestAssignIsBoundedAndIndependentOfOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := shards(rapid.IntRange(0, 60).Draw(t, "shards"))
		members := routers(rapid.IntRange(1, 30).Draw(t, "members"))
		owners := Assign(s, members)
		if len(owners) != len(s) {
			t.Fatalf("%d of %d shards have an owner", len(owners), len(s))
		}
		load := map[ident.RouterID]int{}
		for _, o := range owners {
			load[o]++
		}
		limit := (len(s) + len(members) - 1) / len(members)
		for r, n := range load {
			if n > limit {
				t.Fatalf("%s owns %d shards, limit %d", r, n, limit)
			}
		}
		shuffled := Assign(rapid.Permutation(s).Draw(t, "s"), rapid.Permutation(members).Draw(t, "m"))
		if !maps.Equal(owners, shuffled) {
			t.Fatal("the order of the arguments changed the owners")
		}
	})
}

// Guards against a membership change that moves many shards between members that stay. The shards of the member that
// leaves must move; where members are full, each may displace a short chain of others, at most two on average.
func TestAssignMovesFewShardsWhenAMemberLeaves(t *testing.T) {
	for _, size := range []struct{ shards, members int }{{10, 8}, {46, 8}, {391, 400}, {391, 100}} {
		s, members := shards(size.shards), routers(size.members)
		before := Assign(s, members)
		moved, forced := 0, 0
		for i := range min(size.members, 8) {
			after := Assign(s, slices.Delete(slices.Clone(members), i, i+1))
			for id, o := range before {
				if o == members[i] {
					forced++
				} else if after[id] != o {
					moved++
				}
			}
		}
		t.Logf("%d shards, %d members: %d forced and %d other moves", size.shards, size.members, forced, moved)
		if moved > 2*forced {
			t.Errorf("%d shards, %d members: %d other moves for %d forced ones", size.shards, size.members, moved, forced)
		}
	}
}

func BenchmarkAssignTarget(b *testing.B) {
	s, m := shards(391), routers(400)
	for b.Loop() {
		Assign(s, m)
	}
}

// Guards against a change of the ranking among the members that stay.
func TestTopKeepsOrderWhenAMemberLeaves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := routers(rapid.IntRange(2, 20).Draw(t, "members"))
		key := rapid.String().Draw(t, "key")
		all := Top(key, members, len(members))
		removed := rapid.SampledFrom(members).Draw(t, "gone")
		isRemoved := func(r ident.RouterID) bool { return r == removed }
		want := slices.DeleteFunc(slices.Clone(all), isRemoved)
		got := Top(key, slices.DeleteFunc(slices.Clone(members), isRemoved), len(members))
		if !slices.Equal(got, want) {
			t.Fatalf("got %v, want %v", got, want)
		}
		if first := Top(key, members, 1); first[0] != all[0] {
			t.Fatalf("Top(1) = %v, want %v", first, all[:1])
		}
	})
}
