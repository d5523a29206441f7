package dispatch

import (
	"sync"

	"gooseberrytide.example/gooseberrytide/internal/state/ident"
)

// maxLags is the maximum number of lags that a router keeps. A discarded lag counts as 0, as for a team with the lowest
// counter.
const maxLags = 4096

// lagKey identifies a team in a shard.
type lagKey struct {
	team  ident.TeamID
	shard ident.ShardID
}

// lagTable holds the lag of each team in each shard from the latest grant, so that a new dispatcher can restore it. The
// lag is the amount by which the team's counter exceeded the lowest one in the shard, in weighted cost units.
type lagTable struct {
	mu     sync.Mutex
	byTeam map[lagKey]int64
}

// get returns the lag of a team in a shard, or 0 if none is kept.
func (t *lagTable) get(team ident.TeamID, shard ident.ShardID) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.byTeam[lagKey{team, shard}]
}

// set stores the lag of a team in a shard. It discards all lags first when the table is full.
func (t *lagTable) set(team ident.TeamID, shard ident.ShardID, lag int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.byTeam) >= maxLags {
		clear(t.byTeam)
	}
	t.byTeam[lagKey{team, shard}] = lag
}
