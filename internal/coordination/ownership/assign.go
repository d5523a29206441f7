package ownership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"gooseberrytide.example/gooseberrytide/internal/state/ident"
)

// proposal is a shard that proposes to a member or is held by it, with the member's score for the shard.
type proposal struct {
	shard int
	score uint64
}

// assignment runs the deferred acceptance algorithm: each shard proposes to members from its highest score down, and a
// member keeps the shards with its highest scores, at most cap. The result does not depend on the order of the
// proposals, and a change of one member moves few shards of the others.
type assignment struct {
	// scores holds the members' scores for each shard.
	scores [][]candidate
	// lastCandidates holds the candidate that each shard proposed to last; its member field is -1 before the first
	// proposal.
	lastCandidates []candidate
	// held holds the shards that each member keeps, with the highest score first.
	held [][]proposal
	// cap is the largest number of shards of one member.
	cap int
}

// Assign gives each shard one member, and each member at most ceil(shards/members) shards. Without members the result
// is empty. The order of the arguments has no effect.
func Assign(shards []ident.ShardID, members []ident.RouterID) map[ident.ShardID]ident.RouterID {
	names, hashes := sortMembers(members)
	owners := make(map[ident.ShardID]ident.RouterID, len(shards))
	if len(names) == 0 {
		return owners
	}
	ids := sortUnique(shards)
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

func sortUnique(shards []ident.ShardID) []ident.ShardID {
	ids := slices.Clone(shards)
	slices.SortFunc(ids, func(a, b ident.ShardID) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Index, b.Index))
	})
	return slices.Compact(ids)
}

func newAssignment(ids []ident.ShardID, members []uint64) *assignment {
	a := &assignment{
		scores:         make([][]candidate, len(ids)),
		lastCandidates: make([]candidate, len(ids)),
		held:           make([][]proposal, len(members)),
		cap:            (len(ids) + len(members) - 1) / len(members),
	}
	for i, id := range ids {
		a.scores[i] = scoreMembers(xxhash.Sum64String(id.String()), members)
		a.lastCandidates[i].member = -1
	}
	return a
}

// place finds a member for a shard, and for the shards that are displaced in turn.
func (a *assignment) place(shard int) {
	for shard >= 0 {
		c := a.nextCandidate(shard)
		a.lastCandidates[shard] = c
		shard = a.offer(c.member, proposal{shard: shard, score: c.score})
	}
}

// nextCandidate returns the best member that the shard has not proposed to. Few shards propose to more than a few
// members, so a scan costs less than sorting the members for each shard.
func (a *assignment) nextCandidate(shard int) candidate {
	last := a.lastCandidates[shard]
	best := candidate{member: -1}
	for _, c := range a.scores[shard] {
		if last.member >= 0 && !last.ranksBefore(c) {
			continue
		}
		if best.member < 0 || c.ranksBefore(best) {
			best = c
		}
	}
	return best
}

// offer proposes a shard to a member and returns the shard that the member rejects, or -1.
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
