package retry

import (
	"math"
	"sync"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/state/ident"
)

// Parameters of the retry budgets.
const (
	// RetryRatio is the number of retries that each request adds to the budget.
	RetryRatio = 0.1
	// Reserve is the number of retries allowed in addition to RetryRatio, so that teams with few requests can retry.
	Reserve = 3.0
	// HalfLife is the time after which the counts of requests and retries have decayed to one half.
	HalfLife = 15 * time.Second
	// DefaultMaxEntries is the default maximum number of budgets in memory; they take about 2 MB.
	DefaultMaxEntries = 16_384
	// idleTimeout is the time after its last use at which a budget is evicted. By then its counts have decayed to less
	// than 2 % of their values.
	idleTimeout = 6 * HalfLife
)

// Options configures a Budget. A zero field selects the default.
type Options struct {
	// Now returns the current time. The default is time.Now.
	Now func() time.Time
	// MaxEntries is the maximum number of budgets in memory. The default is DefaultMaxEntries. When it is reached, all
	// further pairs of a team and a pool share one budget.
	MaxEntries int
}

// Budget holds one retry budget for each pair of a team and a pool. It is safe for concurrent use.
type Budget struct {
	now        func() time.Time
	maxEntries int

	mu      sync.Mutex
	entries map[budgetKey]*budgetEntry
	// newest and oldest are the ends of a linked list of the entries, ordered by last use.
	newest, oldest *budgetEntry
	// overflow is the budget shared by all teams and pools that have no entry because maxEntries is reached.
	overflow budgetEntry
}

type budgetKey struct {
	team ident.TeamID
	pool ident.PoolID
}

// budgetEntry is the budget of a team in a pool. The counts of requests and retries are as of lastUsed; they decay
// exponentially with HalfLife.
type budgetEntry struct {
	key          budgetKey
	requests     float64
	retries      float64
	lastUsed     time.Time
	newer, older *budgetEntry
}

// NewBudget returns a Budget without entries. Every team starts with Reserve retries in each pool.
func NewBudget(opts Options) *Budget {
	b := &Budget{now: opts.Now, maxEntries: opts.MaxEntries, entries: map[budgetKey]*budgetEntry{}}
	if b.now == nil {
		b.now = time.Now
	}
	if b.maxEntries <= 0 {
		b.maxEntries = DefaultMaxEntries
	}
	return b
}

// Deposit records the first attempt of a request, which adds RetryRatio retries to the budget.
func (b *Budget) Deposit(team ident.TeamID, pool ident.PoolID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.touch(budgetKey{team, pool}).requests++
}

// Allow takes one retry out of the budget. It returns false when the budget is used up.
func (b *Budget) Allow(team ident.TeamID, pool ident.PoolID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.touch(budgetKey{team, pool})
	if e.retries+1 > RetryRatio*e.requests+Reserve {
		return false
	}
	e.retries++
	return true
}

// Entries returns the number of budgets in memory.
func (b *Budget) Entries() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.entries)
}

// touch returns the budget for a key, decayed to the current time, and marks it as the most recently used. It creates
// the budget if it does not exist, and returns the overflow budget if there is no space for another one.
func (b *Budget) touch(key budgetKey) *budgetEntry {
	now := b.now()
	b.evictIdle(now)
	e := b.entries[key]
	switch {
	case e != nil:
		b.unlink(e)
	case len(b.entries) < b.maxEntries:
		e = &budgetEntry{key: key, lastUsed: now}
		b.entries[key] = e
	default:
		b.overflow.decay(now)
		return &b.overflow
	}
	e.decay(now)
	b.pushNewest(e)
	return e
}

// decay scales the counts down by the time since the last use.
func (e *budgetEntry) decay(now time.Time) {
	age := max(now.Sub(e.lastUsed), 0)
	factor := math.Exp2(-age.Seconds() / HalfLife.Seconds())
	e.requests *= factor
	e.retries *= factor
	e.lastUsed = now
}

// evictIdle removes the budgets that have not been used for idleTimeout.
func (b *Budget) evictIdle(now time.Time) {
	for e := b.oldest; e != nil && now.Sub(e.lastUsed) >= idleTimeout; e = b.oldest {
		b.unlink(e)
		delete(b.entries, e.key)
	}
}

// pushNewest adds an entry at the newest end of the list.
func (b *Budget) pushNewest(e *budgetEntry) {
	e.newer, e.older = nil, b.newest
	if b.newest != nil {
		b.newest.newer = e
	} else {
		b.oldest = e
	}
	b.newest = e
}

func (b *Budget) unlink(e *budgetEntry) {
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
