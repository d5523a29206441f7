package admission

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"gooseberrytide.example/gooseberrytide/internal/state/backends"
	"gooseberrytide.example/gooseberrytide/internal/state/relay"
)

const (
	// keptFor is how long a part is expected in an engine's cache after its last use.
	keptFor = 20 * time.Second
	// maxParts bounds the parts that are remembered; the oldest half goes when there are more.
	maxParts = 20_000
)

// partUse is where a part of prompts was read lately.
type partUse struct {
	engines map[string]time.Time
	last    time.Time
}

// prefixIndex remembers which engines have read which parts of prompts.
type prefixIndex struct {
	parts map[uint64]*partUse
	// announced is when the other routers were last told of a part on a server; unsent is what the next report tells.
	announced map[PartNote]time.Time
	unsent    []PartNote
}

// PartNote says that a server reads a part of a prompt, and keeps it.
type PartNote struct {
	Server string
	Part   uint64
}

const (
	// announceAgain is how often other routers are told of a part that is used all the time.
	announceAgain = keptFor / 4
	// maxUnsent bounds the notes that wait for a report. Later ones are dropped; their parts are told at the next use.
	maxUnsent = 400
)

func newPrefixIndex() *prefixIndex {
	return &prefixIndex{parts: make(map[uint64]*partUse), announced: make(map[PartNote]time.Time)}
}

// shared returns the parts that other requests may share: all but the last.
func shared(parts []relay.PromptPart) []relay.PromptPart {
	if len(parts) == 0 {
		return nil
	}
	return parts[:len(parts)-1]
}

// cached returns the tokens of the leading parts that the server is expected to keep.
func (p *prefixIndex) cached(now time.Time, parts []relay.PromptPart, server string) int {
	tokens := 0
	for _, part := range parts {
		use := p.parts[part.ID]
		if use == nil {
			break
		}
		at, ok := use.engines[server]
		if !ok || now.Sub(at) > keptFor {
			break
		}
		tokens += part.Tokens
	}
	return tokens
}

// note records that a server reads the parts, and keeps the news for the other routers.
func (p *prefixIndex) note(now time.Time, parts []relay.PromptPart, server string) {
	for _, part := range parts {
		n := PartNote{Server: server, Part: part.ID}
		p.learn(now, n)
		if now.Sub(p.announced[n]) >= announceAgain && len(p.unsent) < maxUnsent {
			p.announced[n] = now
			p.unsent = append(p.unsent, n)
		}
	}
	if len(p.parts) > maxParts || len(p.announced) > maxParts {
		p.shrink(now)
	}
}

// learn records that a server keeps a part.
func (p *prefixIndex) learn(now time.Time, n PartNote) {
	use := p.parts[n.Part]
	if use == nil {
		use = &partUse{engines: make(map[string]time.Time, 2)}
		p.parts[n.Part] = use
	}
	use.engines[n.Server] = now
	use.last = now
}

// takeUnsent returns up to n notes for the other routers.
func (p *prefixIndex) takeUnsent(n int) []PartNote {
	n = min(n, len(p.unsent))
	taken := p.unsent[:n:n]
	p.unsent = p.unsent[n:]
	return taken
}

// known reports whether any server is expected to keep all of the parts.
func (p *prefixIndex) known(now time.Time, parts []relay.PromptPart) bool {
	if len(parts) == 0 {
		return false
	}
	use := p.parts[parts[len(parts)-1].ID]
	return use != nil && now.Sub(use.last) <= keptFor
}

// shrink drops what has not been used for a while, and any part when that is not enough.
func (p *prefixIndex) shrink(now time.Time) {
	for id, use := range p.parts {
		if now.Sub(use.last) > keptFor/2 || len(p.parts) > maxParts {
			delete(p.parts, id)
		}
	}
	for n, at := range p.announced {
		if now.Sub(at) >= announceAgain {
			delete(p.announced, n)
		}
	}
}

// forget drops a server, whose cache is lost.
func (p *prefixIndex) forget(server string) {
	for id, use := range p.parts {
		delete(use.engines, server)
		if len(use.engines) == 0 {
			delete(p.parts, id)
		}
	}
}

// homes are the engines that rendezvous hashing names for a prompt: the same on all routers.
type homes struct {
	first, second *backends.Server
	// known says that some engine keeps the prompt's shared parts.
	known bool
	// sharedTokens is the size of the shared parts.
	sharedTokens int
}

// weight returns the weight of reading shared parts at a server.
func (h *homes) weight(server *backends.Server) float64 {
	switch {
	case server == h.first && !h.known:
		return newPartWeight
	case server == h.first:
		return firstHomeWeight
	case server == h.second:
		return secondHomeWeight
	default:
		return rereadWeight
	}
}

func homesOf(parts []relay.PromptPart, servers []*backends.Server) homes {
	var h homes
	if len(parts) == 0 {
		return h
	}
	key := parts[len(parts)-1].ID
	var high, next uint64
	for _, server := range servers {
		switch rank := rendezvous(key, server.ID); {
		case h.first == nil || rank > high:
			h.second, next = h.first, high
			h.first, high = server, rank
		case h.second == nil || rank > next:
			h.second, next = server, rank
		}
	}
	return h
}

func rendezvous(key uint64, server string) uint64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], key)
	d := xxhash.New()
	_, _ = d.Write(b[:])
	_, _ = d.WriteString(server)
	return d.Sum64()
}
