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
}

func newPrefixIndex() *prefixIndex { return &prefixIndex{parts: make(map[uint64]*partUse)} }

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

// note records that a server reads the parts.
func (p *prefixIndex) note(now time.Time, parts []relay.PromptPart, server string) {
	for _, part := range parts {
		use := p.parts[part.ID]
		if use == nil {
			use = &partUse{engines: make(map[string]time.Time, 2)}
			p.parts[part.ID] = use
		}
		use.engines[server] = now
		use.last = now
	}
	if len(p.parts) > maxParts {
		p.shrink(now)
	}
}

// shrink drops what has not been used for a while, and any part when that is not enough.
func (p *prefixIndex) shrink(now time.Time) {
	for id, use := range p.parts {
		if now.Sub(use.last) > keptFor/2 || len(p.parts) > maxParts {
			delete(p.parts, id)
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
