package callerhttp

import (
	"sync"

	"gooseberrytide.example/gooseberrytide/internal/state/ident"
)

const (
	// defaultBufferBytes bounds the bodies of all requests that are being answered.
	defaultBufferBytes = 256 << 20
	// teamFraction is the part of it that one team may use, so that a flood of large bodies leaves room for others.
	teamFraction = 4
)

// buffers bounds the memory of requests' bodies.
type buffers struct {
	mu    sync.Mutex
	limit int64
	total int64
	teams map[ident.TeamID]int64
}

func newBuffers(limit int64) *buffers {
	if limit <= 0 {
		limit = defaultBufferBytes
	}
	return &buffers{limit: limit, teams: map[ident.TeamID]int64{}}
}

// reserve takes n bytes for a team. release must be called once when ok.
func (b *buffers) reserve(team ident.TeamID, n int64) (release func(), ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.total+n > b.limit || b.teams[team]+n > b.limit/teamFraction {
		return nil, false
	}
	b.add(team, n)
	return func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.add(team, -n)
	}, true
}

func (b *buffers) add(team ident.TeamID, n int64) {
	b.total += n
	b.teams[team] += n
	if b.teams[team] == 0 {
		delete(b.teams, team)
	}
}
