package scheduler

import "time"

// Limits of the prefix index.
const (
	// hintTTL is the age at which a cache hint is no longer believed, because removals may be lost.
	hintTTL = 60 * time.Second
	// maxPrefixEntries bounds the prefixes known to a shard: about 3 MB.
	maxPrefixEntries = 1 << 15
	// maxHolders bounds the backend servers remembered per prefix.
	maxHolders = 4
)

// holder says that a backend server had a prefix in its cache.
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

// prefixIndex maps prefixes to backend servers. When full, the oldest prefix is replaced.
type prefixIndex struct {
	byHash  map[uint64]int32
	entries []prefixEntry
	oldest  int
}

func newPrefixIndex() prefixIndex {
	return prefixIndex{byHash: map[uint64]int32{}}
}

// add records that b holds the prefix.
func (p *prefixIndex) add(hash uint64, b *backend, now time.Duration) {
	e := p.entry(hash)
	h := e.place(b, now)
	*h = holder{backend: b, expires: now + hintTTL, epoch: b.cacheEpoch}
}

func (p *prefixIndex) entry(hash uint64) *prefixEntry {
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

// place returns the place of b: its own, a free one, or the one that expires first.
func (e *prefixEntry) place(b *backend, now time.Duration) *holder {
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

// match writes to each backend server's place in share the part of the prompt that it holds, from 0 to 1.
func (p *prefixIndex) match(r *request, now time.Duration, share []float64) {
	clear(share)
	for i := range r.prefixes {
		j, ok := p.byHash[r.prefix[i]]
		if !ok {
			continue
		}
		part := float64(i+1) / float64(r.prefixes)
		e := &p.entries[j]
		for k := range e.holders {
			h := &e.holders[k]
			if h.valid(now) && h.backend.index >= 0 {
				share[h.backend.index] = part
			}
		}
	}
}
