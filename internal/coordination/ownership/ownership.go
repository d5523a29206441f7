package ownership

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"gooseberrytide.example/gooseberrytide/internal/state/ident"
)

// candidate is the index of a member with its score for a key.
type candidate struct {
	member int
	score  uint64
}

// score returns the rendezvous score of a member for a key, both given as hashes.
func score(key, member uint64) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], key)
	binary.LittleEndian.PutUint64(buf[8:], member)
	return xxhash.Sum64(buf[:])
}

// ranksBefore reports whether a ranks before b. Members are sorted by name, so the first name wins a tie.
func (a candidate) ranksBefore(b candidate) bool {
	if a.score != b.score {
		return a.score > b.score
	}
	return a.member < b.member
}

// compare orders candidates from best to worst.
func compare(a, b candidate) int {
	switch {
	case a.ranksBefore(b):
		return -1
	case b.ranksBefore(a):
		return 1
	default:
		return 0
	}
}

// scoreMembers returns the scores of all members for a key.
func scoreMembers(key uint64, members []uint64) []candidate {
	list := make([]candidate, len(members))
	for i, m := range members {
		list[i] = candidate{member: i, score: score(key, m)}
	}
	return list
}

// sortMembers returns the distinct members sorted by name, and their hashes.
func sortMembers(members []ident.RouterID) ([]ident.RouterID, []uint64) {
	names := slices.Clone(members)
	slices.Sort(names)
	names = slices.Compact(names)
	hashes := make([]uint64, len(names))
	for i, m := range names {
		hashes[i] = xxhash.Sum64String(string(m))
	}
	return names, hashes
}

// Top returns the n best members for a key, best first. The order of members has no effect.
func Top(key string, members []ident.RouterID, n int) []ident.RouterID {
	names, hashes := sortMembers(members)
	list := scoreMembers(xxhash.Sum64String(key), hashes)
	slices.SortFunc(list, compare)
	list = list[:max(min(n, len(list)), 0)]
	top := make([]ident.RouterID, len(list))
	for i, c := range list {
		top[i] = names[c.member]
	}
	return top
}
