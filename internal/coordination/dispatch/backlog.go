package dispatch

import (
	"sync"

	"gooseberrytide.example/gooseberrytide/internal/state/ident"
)

// backlogKey identifies a team in a pool.
type backlogKey struct {
	team ident.TeamID
	pool ident.PoolID
}

// backlogTable counts the waiting requests of each team in each pool. Its size is bounded by the number of waiting
// requests.
type backlogTable struct {
	mu      sync.Mutex
	waiting map[backlogKey]int
}

// add counts a waiting request and reports whether its team already had one waiting in the pool.
func (t *backlogTable) add(key backlogKey) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.waiting[key]++
	return t.waiting[key] > 1
}

// remove stops counting a request that is no longer waiting.
func (t *backlogTable) remove(key backlogKey) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.waiting[key]--
	if t.waiting[key] <= 0 {
		delete(t.waiting, key)
	}
}

// backlogKey returns the key of the work's team and pool.
func (w *Work) backlogKey() backlogKey { return backlogKey{w.Team, w.Pool} }
