package scheduler

import "time"

// Limits of the prefix index.
const (
	// holderTTL is the age at which an entry is no longer used, because removal events may be lost.
	holderTTL = 60 * time.Second
	// maxPrefixEntries is the maximum number of prefixes in a shard's index: about 3 MB.
	maxPrefixEntries = 1 << 15
	// maxHolders is the maximum number of backend servers stored per prefix.
	maxHolders = 4
)

// holder records that a backend server had a prefix in its cache.
type holder struct {
	backend *backend
	expires time.Duration
	epoch   uint32
}

func (h *holder) valid(now time.Duration) bool {
	return h.backend != nil && now < h.expires && h.epoch == h.backend.cacheEpoch
}

// prefixEntry lists the holders of a prefix.
type prefixEntry struct {
	hash    uint64
	holders [maxHolders]holder
}

// prefixIndex maps hashes of prompt prefixes to the backend servers that have them cached. When it is full, the prefix
// that was inserted first is replaced.
type prefixIndex struct {
	byHash  map[uint64]int32
	entries []prefixEntry
	oldest  int
}

func newPrefixIndex() prefixIndex {
	return prefixIndex{byHash: map[uint64]int32{}}
}

// add records that b has the prefix in its cache.
func (p *prefixIndex) add(hash uint64, b *backend, now time.Duration) {
	e := p.getOrCreate(hash)
	h := e.holderFor(b, now)
	*h = holder{backend: b, expires: now + holderTTL, epoch: b.cacheEpoch}
}

func (p *prefixIndex) getOrCreate(hash uint64) *prefixEntry {
	if i, ok := p.byHash[hash]; ok {
		return &p.entries[i]
	}
	if len(p.entries) < maxPrefixEntries {
		p.entries = append(p.entries, prefixEntry{hash: hash})
		p.byHash[hash] = int32(len(p.entries) - 1)
		return &p.entries[len(p.entries)-1]
	}
	e := &p.entries[p.oldest]
	delete(p.byHash, e.hash)
	*e = prefixEntry{hash: hash}
	p.byHash[hash] = int32(p.oldest)
	p.oldest = (p.oldest + 1) % maxPrefixEntries
	return e
}

// holderFor returns the element to store b in: its own, an unused or invalid one, or the one that expires first.
func (e *prefixEntry) holderFor(b *backend, now time.Duration) *holder {
	best := &e.holders[0]
	for i := range e.holders {
		h := &e.holders[i]
		if h.backend == b {
			return h
		}
		if !h.valid(now) {
			h.expires = 0
		}
		if h.expires < best.expires {
			best = h
		}
	}
	return best
}

func (p *prefixIndex) remove(hash uint64, b *backend) {
	i, ok := p.byHash[hash]
	if !ok {
		return
	}
	e := &p.entries[i]
	for j := range e.holders {
		if e.holders[j].backend == b {
			e.holders[j] = holder{}
		}
	}
}

// match sets cachedShare[b.index] of each backend server b to the share of the prompt in its cache, from 0 to 1.
func (p *prefixIndex) match(r *request, now time.Duration, cachedShare []float64) {
	clear(cachedShare)
	for i := range r.prefixCount {
		j, ok := p.byHash[r.prefix[i]]
		if !ok {
			continue
		}
		fraction := float64(i+1) / float64(r.prefixCount)
		e := &p.entries[j]
		for k := range e.holders {
			h := &e.holders[k]
			if h.valid(now) && h.backend.index >= 0 {
				cachedShare[h.backend.index] = fraction
			}
		}
	}
}
