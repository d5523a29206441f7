package callerhttp

import (
	"sync"

	"gooseberrytide.example/gooseberrytide/internal/state/ident"
)

const (
	// defaultMaxBufferedBytes is the default limit for the bodies of all requests in flight.
	defaultMaxBufferedBytes = 256 << 20
	// teamLimitDivisor divides the total limit to give the limit of one team, so that a team that sends many large
	// bodies leaves memory for other teams.
	teamLimitDivisor = 4
)

// bodyQuota limits the memory of request bodies, in bytes, in total and per team.
type bodyQuota struct {
	mu         sync.Mutex
	maxBytes   int64
	used       int64
	usedByTeam map[ident.TeamID]int64
}

func newBodyQuota(maxBytes int64) *bodyQuota {
	if maxBytes <= 0 {
		maxBytes = defaultMaxBufferedBytes
	}
	return &bodyQuota{maxBytes: maxBytes, usedByTeam: map[ident.TeamID]int64{}}
}

// reserve reserves n bytes for a team. It returns false if a limit would be exceeded. Otherwise release must be called
// once.
func (q *bodyQuota) reserve(team ident.TeamID, n int64) (release func(), ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.used+n > q.maxBytes || q.usedByTeam[team]+n > q.maxBytes/teamLimitDivisor {
		return nil, false
	}
	q.add(team, n)
	return func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		q.add(team, -n)
	}, true
}

func (q *bodyQuota) add(team ident.TeamID, n int64) {
	q.used += n
	q.usedByTeam[team] += n
	if q.usedByTeam[team] == 0 {
		delete(q.usedByTeam, team)
	}
}
