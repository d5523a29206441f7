package engine

import (
	"container/list"

	protocol "gooseberrytide.example/gooseberrytide/internal/protocol/engine"
)

// prefixCache is a bounded set of prefix hashes that drops the least recently used one. Its user locks.
type prefixCache struct {
	limit int
	order *list.List // of uint64, most recent first
	index map[uint64]*list.Element
}

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{limit: limit, order: list.New(), index: map[uint64]*list.Element{}}
}

// cachedBytes returns the length of the longest cached prefix.
func (c *prefixCache) cachedBytes(hashes []uint64) int {
	for i := len(hashes) - 1; i >= 0; i-- {
		if _, ok := c.index[hashes[i]]; ok {
			return protocol.FirstPrefixBytes << i
		}
	}
	return 0
}

// add stores the prefixes and returns the ones that are new and the ones that were dropped for them.
func (c *prefixCache) add(hashes []uint64) (added, removed []protocol.PrefixHash) {
	for _, h := range hashes {
		if e, ok := c.index[h]; ok {
			c.order.MoveToFront(e)
			continue
		}
		c.index[h] = c.order.PushFront(h)
		added = append(added, protocol.PrefixHash(h))
	}
	for c.order.Len() > c.limit {
		last := c.order.Remove(c.order.Back()).(uint64)
		delete(c.index, last)
		removed = append(removed, protocol.PrefixHash(last))
	}
	return added, removed
}

func (c *prefixCache) all() []protocol.PrefixHash {
	out := make([]protocol.PrefixHash, 0, c.order.Len())
	for e := c.order.Back(); e != nil; e = e.Prev() {
		out = append(out, protocol.PrefixHash(e.Value.(uint64)))
	}
	return out
}
