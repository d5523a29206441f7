package admission

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"gooseberrytide.example/gooseberrytide/internal/state/backends"
	"gooseberrytide.example/gooseberrytide/internal/state/relay"
)

const (
	// cacheLifetime is how long a part is expected in an engine's cache after its last use.
	cacheLifetime = 20 * time.Second
	// maxParts is the number of parts and of announcements above which entries are evicted.
	maxParts = 20_000
)

// partUse records when engines last processed a part of a prompt.
type partUse struct {
	engines  map[string]time.Time
	lastUsed time.Time
}

// prefixIndex tracks which engines are expected to have cached which parts of prompts.
type prefixIndex struct {
	parts map[uint64]*partUse
	// announced holds the time of the last announcement of a cached part to the other routers; unsent holds the parts
	// for the next reports.
	announced map[CachedPart]time.Time
	unsent    []CachedPart
}

// CachedPart is a part of a prompt that a server is expected to have in its cache.
type CachedPart struct {
	Server string
	Part   uint64
}

const (
	// reannounceInterval is the shortest time between two announcements of the same cached part.
	reannounceInterval = cacheLifetime / 4
	// maxUnsent bounds the parts that wait to be announced. Further ones are dropped and announced at their next use.
	maxUnsent = 400
)

func newPrefixIndex() *prefixIndex {
	return &prefixIndex{parts: make(map[uint64]*partUse), announced: make(map[CachedPart]time.Time)}
}

// cachedTokens returns the number of tokens in the leading parts that the server is expected to have cached.
func (p *prefixIndex) cachedTokens(now time.Time, parts []relay.PromptPart, server string) int {
	tokens := 0
	for _, part := range parts {
		use := p.parts[part.ID]
		if use == nil {
			break
		}
		at, ok := use.engines[server]
		if !ok || now.Sub(at) > cacheLifetime {
			break
		}
		tokens += part.Tokens
	}
	return tokens
}

// recordAndAnnounce records that a server caches the parts and queues them for announcement to the other routers.
func (p *prefixIndex) recordAndAnnounce(now time.Time, parts []relay.PromptPart, server string) {
	for _, part := range parts {
		cached := CachedPart{Server: server, Part: part.ID}
		p.record(now, cached)
		if now.Sub(p.announced[cached]) >= reannounceInterval && len(p.unsent) < maxUnsent {
			p.announced[cached] = now
			p.unsent = append(p.unsent, cached)
		}
	}
	if len(p.parts) > maxParts || len(p.announced) > maxParts {
		p.evict(now)
	}
}

// record records that a server has cached a part.
func (p *prefixIndex) record(now time.Time, part CachedPart) {
	use := p.parts[part.Part]
	if use == nil {
		use = &partUse{engines: make(map[string]time.Time, 2)}
		p.parts[part.Part] = use
	}
	use.engines[part.Server] = now
	use.lastUsed = now
}

// takeUnsent removes and returns up to n cached parts to announce to the other routers.
func (p *prefixIndex) takeUnsent(n int) []CachedPart {
	n = min(n, len(p.unsent))
	taken := p.unsent[:n:n]
	p.unsent = p.unsent[n:]
	return taken
}

// cachedAnywhere reports whether any server is expected to have cached all of the parts.
func (p *prefixIndex) cachedAnywhere(now time.Time, parts []relay.PromptPart) bool {
	if len(parts) == 0 {
		return false
	}
	use := p.parts[parts[len(parts)-1].ID]
	return use != nil && now.Sub(use.lastUsed) <= cacheLifetime
}

// evict drops the parts that were not used for half of their lifetime and, while there are still more than maxParts,
// arbitrary ones. It also drops announcements that are due again.
func (p *prefixIndex) evict(now time.Time) {
	for id, use := range p.parts {
		if now.Sub(use.lastUsed) > cacheLifetime/2 || len(p.parts) > maxParts {
			delete(p.parts, id)
		}
	}
	for part, at := range p.announced {
		if now.Sub(at) >= reannounceInterval {
			delete(p.announced, part)
		}
	}
}

// removeServer drops a server whose cache is lost.
func (p *prefixIndex) removeServer(server string) {
	for id, use := range p.parts {
		delete(use.engines, server)
		if len(use.engines) == 0 {
			delete(p.parts, id)
		}
	}
}

// preferredEngines are the two engines that rank first for a prompt in rendezvous hashing. They are the same on all
// routers.
type preferredEngines struct {
	first, second *backends.Server
	// cachedAnywhere is set if some engine has cached the prompt's shared parts.
	cachedAnywhere bool
	// sharedTokens is the number of tokens in the shared parts.
	sharedTokens int
}

// weight returns the weight of the time to prefill shared parts at a server.
func (p *preferredEngines) weight(server *backends.Server) float64 {
	switch {
	case server == p.first && !p.cachedAnywhere:
		return newPrefixWeight
	case server == p.first:
		return firstChoiceWeight
	case server == p.second:
		return secondChoiceWeight
	default:
		return uncachedWeight
	}
}

func preferredEnginesFor(parts []relay.PromptPart, servers []*backends.Server) preferredEngines {
	var preferred preferredEngines
	if len(parts) == 0 {
		return preferred
	}
	key := parts[len(parts)-1].ID
	var firstRank, secondRank uint64
	for _, server := range servers {
		switch rank := rendezvousRank(key, server.ID); {
		case preferred.first == nil || rank > firstRank:
			preferred.second, secondRank = preferred.first, firstRank
			preferred.first, firstRank = server, rank
		case preferred.second == nil || rank > secondRank:
			preferred.second, secondRank = server, rank
		}
	}
	return preferred
}

func rendezvousRank(key uint64, server string) uint64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], key)
	d := xxhash.New()
	_, _ = d.Write(b[:])
	_, _ = d.WriteString(server)
	return d.Sum64()
}
