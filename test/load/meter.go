package load

import (
	"math"
	"sync"
	"time"
)

// backlogAge is how long a request must have waited before its team counts as backlogged. It is longer than a prefill,
// during which a granted request has no token yet.
const backlogAge = 300 * time.Millisecond

// account is the service that a team received in a pool, and its waiting requests.
type account struct {
	weight  float64
	service float64
	// waiting holds the times at which the waiting requests were sent, by request number.
	waiting map[uint64]time.Time
}

// backlogged reports whether a request has waited long enough.
func (a *account) backlogged(now time.Time) bool {
	for _, sent := range a.waiting {
		if now.Sub(sent) >= backlogAge {
			return true
		}
	}
	return false
}

// accountKey names a team in a pool.
type accountKey struct {
	pool, team string
}

// pairKey names two teams in a pool.
type pairKey struct {
	pool, a, b string
}

// spread is the range of the difference of weighted service of two teams since both became backlogged.
type spread struct {
	low, high float64
}

// Meter measures the fairness gap as callers see it: the largest change of the difference of weighted service of two
// teams over any interval in which both are backlogged in a pool.
type Meter struct {
	mu       sync.Mutex
	next     uint64
	accounts map[accountKey]*account
	pairs    map[pairKey]*spread
	gap      map[string]float64
}

// NewMeter returns an empty meter.
func NewMeter() *Meter {
	return &Meter{
		accounts: make(map[accountKey]*account),
		pairs:    make(map[pairKey]*spread),
		gap:      make(map[string]float64),
	}
}

// account returns the account of a team in a pool. The lock is held.
func (m *Meter) account(pool, team string, weight float64) *account {
	key := accountKey{pool, team}
	a, ok := m.accounts[key]
	if !ok {
		a = &account{weight: weight, waiting: make(map[uint64]time.Time)}
		m.accounts[key] = a
	}
	return a
}

// Wait records that a request was sent. The returned function records that it waits no longer; it may be called more
// than once.
func (m *Meter) Wait(pool, team string, weight float64) func() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.next++
	number := m.next
	a := m.account(pool, team, weight)
	a.waiting[number] = time.Now()
	return func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(a.waiting, number)
	}
}

// Serve records received service in cost units.
func (m *Meter) Serve(pool, team string, weight, cost float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.account(pool, team, weight).service += cost / weight
}

// Sample updates the gaps. Call it several times a second.
func (m *Meter) Sample() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	var busy []accountKey
	for key, a := range m.accounts {
		if a.backlogged(now) {
			busy = append(busy, key)
		}
	}
	current := make(map[pairKey]bool)
	for _, x := range busy {
		for _, y := range busy {
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

// observe widens the spread of a pair and the gap of its pool.
func (m *Meter) observe(key pairKey, difference float64) {
	s, ok := m.pairs[key]
	if !ok {
		m.pairs[key] = &spread{low: difference, high: difference}
		return
	}
	s.low = math.Min(s.low, difference)
	s.high = math.Max(s.high, difference)
	m.gap[key.pool] = math.Max(m.gap[key.pool], s.high-s.low)
}

// Gap returns the largest gap of all pools, in weighted cost units.
func (m *Meter) Gap() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	largest := 0.0
	for _, gap := range m.gap {
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
