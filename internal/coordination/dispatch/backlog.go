package dispatch

import (
	"sync"

	"gooseberrytide.example/gooseberrytide/internal/state/ident"
)

// backlogKey names a team in a pool.
type backlogKey struct {
	team ident.TeamID
	pool ident.PoolID
}

// backlogTable counts the waiting requests of each team in each pool. Its size is bounded by the waiting requests.
type backlogTable struct {
	mu      sync.Mutex
	waiting map[backlogKey]int
}

// enter counts a request and reports whether others of its team wait already.
func (t *backlogTable) enter(key backlogKey) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.waiting[key]++
	return t.waiting[key] > 1
}

// leave counts a request that waits no longer.
func (t *backlogTable) leave(key backlogKey) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.waiting[key]--
	if t.waiting[key] <= 0 {
		delete(t.waiting, key)
	}
}

// backlogKey returns the key of the work's team and pool.
func (w *Work) backlogKey() backlogKey { return backlogKey{w.Team, w.Pool} }
