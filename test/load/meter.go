package load

import (
	"math"
	"sync"
	"time"
)

// minBacklogWait is how long a request must have waited before its team counts as backlogged. It is longer than a
// prefill, during which a granted request has no token yet.
const minBacklogWait = 300 * time.Millisecond

// account holds the weighted service that a team received in a pool, and its waiting requests.
type account struct {
	weight  float64
	service float64
	// waiting holds the times at which the waiting requests were sent, by request number.
	waiting map[uint64]time.Time
}

// backlogged reports whether a request has waited for minBacklogWait.
func (a *account) backlogged(now time.Time) bool {
	for _, sent := range a.waiting {
		if now.Sub(sent) >= minBacklogWait {
			return true
		}
	}
	return false
}

// accountKey identifies a team in a pool.
type accountKey struct {
	pool, team string
}

// pairKey identifies two teams in a pool.
type pairKey struct {
	pool, a, b string
}

// spread is the range of the difference in weighted service between two teams since both became backlogged.
type spread struct {
	low, high float64
}

// Meter measures the fairness gap as callers see it: the largest change of the difference in weighted service between
// two teams over any interval in which both are backlogged in a pool. It is safe for concurrent use.
type Meter struct {
	mu         sync.Mutex
	lastNumber uint64
	accounts   map[accountKey]*account
	pairs      map[pairKey]*spread
	gaps       map[string]float64
}

// NewMeter returns a meter without any recorded service.
func NewMeter() *Meter {
	return &Meter{
		accounts: make(map[accountKey]*account),
		pairs:    make(map[pairKey]*spread),
		gaps:     make(map[string]float64),
	}
}

// account returns the account of a team in a pool, and creates it if needed. The caller holds m.mu.
func (m *Meter) account(pool, team string, weight float64) *account {
	key := accountKey{pool, team}
	a, ok := m.accounts[key]
	if !ok {
		a = &account{weight: weight, waiting: make(map[uint64]time.Time)}
		m.accounts[key] = a
	}
	return a
}

// StartWaiting records that a request was sent. The returned function records that it no longer waits, and may be
// called more than once.
func (m *Meter) StartWaiting(pool, team string, weight float64) func() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastNumber++
	number := m.lastNumber
	a := m.account(pool, team, weight)
	a.waiting[number] = time.Now()
	return func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(a.waiting, number)
	}
}

// AddService records service that a team received, in cost units.
func (m *Meter) AddService(pool, team string, weight, cost float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.account(pool, team, weight).service += cost / weight
}

// Sample updates the gaps from the present service and backlog. It must be called several times a second.
func (m *Meter) Sample() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	var backlogged []accountKey
	for key, a := range m.accounts {
		if a.backlogged(now) {
			backlogged = append(backlogged, key)
		}
	}
	current := make(map[pairKey]bool)
	for _, x := range backlogged {
		for _, y := range backlogged {
			if x.pool == y.pool && x.team < y.team {
				key := pairKey{x.pool, x.team, y.team}
				current[key] = true
				m.observe(key, m.accounts[x].service-m.accounts[y].service)
			}
		}
	}
	for key := range m.pairs {
		if !current[key] {
			delete(m.pairs, key)
		}
	}
}

// observe extends the spread of a pair by a difference, and the gap of its pool accordingly. The caller holds m.mu.
func (m *Meter) observe(key pairKey, difference float64) {
	s, ok := m.pairs[key]
	if !ok {
		m.pairs[key] = &spread{low: difference, high: difference}
		return
	}
	s.low = math.Min(s.low, difference)
	s.high = math.Max(s.high, difference)
	m.gaps[key.pool] = math.Max(m.gaps[key.pool], s.high-s.low)
}

// Gap returns the largest gap of all pools, in weighted cost units.
func (m *Meter) Gap() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	largest := 0.0
	for _, gap := range m.gaps {
		largest = math.Max(largest, gap)
	}
	return largest
}

// Service returns the weighted service by team, summed over pools.
func (m *Meter) Service() map[string]float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[string]float64)
	for key, a := range m.accounts {
		out[key.team] += a.service
	}
	return out
}
