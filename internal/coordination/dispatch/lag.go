package dispatch

import (
	"sync"

	"gooseberrytide.example/gooseberrytide/internal/state/ident"
)

// maxLags bounds the remembered lags of a router. A forgotten lag counts as 0, which is a team without a debt.
const maxLags = 4096

// lagKey names a team's account in a shard.
type lagKey struct {
	team  ident.TeamID
	shard ident.ShardID
}

// lagTable remembers the lag of each team from the latest grant, so that a new dispatcher can restore it.
type lagTable struct {
	mu     sync.Mutex
	byTeam map[lagKey]int64
}

func (t *lagTable) get(team ident.TeamID, shard ident.ShardID) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.byTeam[lagKey{team, shard}]
}

func (t *lagTable) set(team ident.TeamID, shard ident.ShardID, lag int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.byTeam) >= maxLags {
		clear(t.byTeam)
	}
	t.byTeam[lagKey{team, shard}] = lag
}
