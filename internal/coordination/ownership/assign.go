package ownership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"gooseberrytide.example/gooseberrytide/internal/state/ident"
)

// proposal is a shard held by a member, or asking for one.
type proposal struct {
	shard int
	score uint64
}

// assignment runs deferred acceptance: each shard asks members in its order, and a member keeps the shards that score
// best with it, at most its cap. The result does not depend on the order in which shards ask, and a change of one
// member moves few shards of the others.
type assignment struct {
	// ranks holds the members' scores for each shard.
	ranks [][]candidate
	// asked is the member that each shard asked last; its member is -1 before the first.
	asked []candidate
	held  [][]proposal
	cap   int
}

// Assign gives each shard one member, and each member at most ceil(shards/members) shards. Without members the result
// is empty. The order of the arguments has no effect.
func Assign(shards []ident.ShardID, members []ident.RouterID) map[ident.ShardID]ident.RouterID {
	names, hashes := normalise(members)
	owners := make(map[ident.ShardID]ident.RouterID, len(shards))
	if len(names) == 0 {
		return owners
	}
	ids := distinct(shards)
	a := newAssignment(ids, hashes)
	for i := range ids {
		a.place(i)
	}
	for m, list := range a.held {
		for _, p := range list {
			owners[ids[p.shard]] = names[m]
		}
	}
	return owners
}

func distinct(shards []ident.ShardID) []ident.ShardID {
	ids := slices.Clone(shards)
	slices.SortFunc(ids, func(a, b ident.ShardID) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Index, b.Index))
	})
	return slices.Compact(ids)
}

func newAssignment(ids []ident.ShardID, members []uint64) *assignment {
	a := &assignment{
		ranks: make([][]candidate, len(ids)),
		asked: make([]candidate, len(ids)),
		held:  make([][]proposal, len(members)),
		cap:   (len(ids) + len(members) - 1) / len(members),
	}
	for i, id := range ids {
		a.ranks[i] = scores(xxhash.Sum64String(id.String()), members)
		a.asked[i].member = -1
	}
	return a
}

// place finds a member for the shard, and for the shards that it displaces.
func (a *assignment) place(shard int) {
	for shard >= 0 {
		c := a.nextOf(shard)
		a.asked[shard] = c
		shard = a.offer(c.member, proposal{shard: shard, score: c.score})
	}
}

// nextOf returns the best member that the shard has not asked. Few shards ask more than a few members, so a scan costs
// less than sorting the members for each shard.
func (a *assignment) nextOf(shard int) candidate {
	last := a.asked[shard]
	best := candidate{member: -1}
	for _, c := range a.ranks[shard] {
		if last.member >= 0 && !last.better(c) {
			continue
		}
		if best.member < 0 || c.better(best) {
			best = c
		}
	}
	return best
}

// offer gives the member a shard and returns the shard that it turns down, or -1.
func (a *assignment) offer(member int, p proposal) int {
	list := append(a.held[member], p)
	slices.SortFunc(list, func(x, y proposal) int {
		return cmp.Or(cmp.Compare(y.score, x.score), cmp.Compare(x.shard, y.shard))
	})
	if len(list) <= a.cap {
		a.held[member] = list
		return -1
	}
	a.held[member] = list[:a.cap]
	return list[a.cap].shard
}
