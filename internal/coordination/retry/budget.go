package retry

import (
	"math"
	"sync"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/state/ident"
)

// Size of a budget.
const (
	// Share is the number of retries per request.
	Share = 0.1
	// Reserve is the number of retries beyond the share, so that teams with few requests may retry.
	Reserve = 3.0
	// HalfLife is the time in which the counts of requests and retries fall by half.
	HalfLife = 15 * time.Second
	// DefaultMaxEntries bounds the budgets kept: about 2 MB.
	DefaultMaxEntries = 16_384
	// idleAfter is the age from which an unused budget is forgotten. Its counts are below 2 % of what they were.
	idleAfter = 6 * HalfLife
)

// Options configure a Budget. Zero fields mean their defaults.
type Options struct {
	// Now returns the current time. Default time.Now.
	Now func() time.Time
	// MaxEntries bounds the budgets kept. Teams beyond it share one budget.
	MaxEntries int
}

// Budget holds the retry budgets of all teams and pools. It is safe for concurrent use.
type Budget struct {
	now        func() time.Time
	maxEntries int

	mu      sync.Mutex
	entries map[key]*entry
	// newest and oldest end the list of entries by last use.
	newest, oldest *entry
	// shared is the budget of those for whom there is no room.
	shared entry
}

type key struct {
	team ident.TeamID
	pool ident.PoolID
}

// entry counts requests and retries, both decayed to the time of last use.
type entry struct {
	key          key
	requests     float64
	retries      float64
	used         time.Time
	newer, older *entry
}

// NewBudget returns full budgets.
func NewBudget(opts Options) *Budget {
	b := &Budget{now: opts.Now, maxEntries: opts.MaxEntries, entries: map[key]*entry{}}
	if b.now == nil {
		b.now = time.Now
	}
	if b.maxEntries <= 0 {
		b.maxEntries = DefaultMaxEntries
	}
	return b
}

// Request counts a first attempt.
func (b *Budget) Request(team ident.TeamID, pool ident.PoolID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.use(key{team, pool}).requests++
}

// Retry takes a retry from the budget. It returns false when the budget is empty.
func (b *Budget) Retry(team ident.TeamID, pool ident.PoolID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.use(key{team, pool})
	if e.retries+1 > Share*e.requests+Reserve {
		return false
	}
	e.retries++
	return true
}

// Entries returns the number of budgets kept.
func (b *Budget) Entries() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.entries)
}

// use returns the budget of a team and pool, decayed to now.
func (b *Budget) use(k key) *entry {
	now := b.now()
	b.forgetIdle(now)
	e := b.entries[k]
	switch {
	case e != nil:
		b.unlink(e)
	case len(b.entries) < b.maxEntries:
		e = &entry{key: k, used: now}
		b.entries[k] = e
	default:
		b.shared.decay(now)
		return &b.shared
	}
	e.decay(now)
	b.link(e)
	return e
}

func (e *entry) decay(now time.Time) {
	age := max(now.Sub(e.used), 0)
	f := math.Exp2(-age.Seconds() / HalfLife.Seconds())
	e.requests *= f
	e.retries *= f
	e.used = now
}

func (b *Budget) forgetIdle(now time.Time) {
	for e := b.oldest; e != nil && now.Sub(e.used) >= idleAfter; e = b.oldest {
		b.unlink(e)
		delete(b.entries, e.key)
	}
}

func (b *Budget) link(e *entry) {
	e.newer, e.older = nil, b.newest
	if b.newest != nil {
		b.newest.newer = e
	} else {
		b.oldest = e
	}
	b.newest = e
}

func (b *Budget) unlink(e *entry) {
	if e.newer != nil {
		e.newer.older = e.older
	} else {
		b.newest = e.older
	}
	if e.older != nil {
		e.older.newer = e.newer
	} else {
		b.oldest = e.newer
	}
}
