package engine

import (
	"container/list"

	protocol "gooseberrytide.example/gooseberrytide/internal/protocol/engine"
)

// prefixCache is a bounded LRU set of prefix hashes. It is not safe for concurrent use.
type prefixCache struct {
	limit   int
	recency *list.List // of uint64, most recent first
	byHash  map[uint64]*list.Element
}

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{limit: limit, recency: list.New(), byHash: map[uint64]*list.Element{}}
}

// cachedBytes returns the length in bytes of the longest cached prefix. hashes are those of prefixes of increasing
// length, each twice as long as the one before.
func (c *prefixCache) cachedBytes(hashes []uint64) int {
	for i := len(hashes) - 1; i >= 0; i-- {
		if _, ok := c.byHash[hashes[i]]; ok {
			return protocol.FirstPrefixBytes << i
		}
	}
	return 0
}

// add stores the prefixes and returns those that are new and those that were evicted.
func (c *prefixCache) add(hashes []uint64) (added, removed []protocol.PrefixHash) {
	for _, h := range hashes {
		if e, ok := c.byHash[h]; ok {
			c.recency.MoveToFront(e)
			continue
		}
		c.byHash[h] = c.recency.PushFront(h)
		added = append(added, protocol.PrefixHash(h))
	}
	for c.recency.Len() > c.limit {
		evicted := c.recency.Remove(c.recency.Back()).(uint64)
		delete(c.byHash, evicted)
		removed = append(removed, protocol.PrefixHash(evicted))
	}
	return added, removed
}

// all returns the cached hashes, least recently used first.
func (c *prefixCache) all() []protocol.PrefixHash {
	out := make([]protocol.PrefixHash, 0, c.recency.Len())
	for e := c.recency.Back(); e != nil; e = e.Prev() {
		out = append(out, protocol.PrefixHash(e.Value.(uint64)))
	}
	return out
}
