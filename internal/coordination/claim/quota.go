package claim

import (
	"context"
	"errors"
	"sync"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/state/kv"
)

const (
	// quotaGrowth is the factor by which a router's quota grows per second without a throttled write.
	quotaGrowth = 1.05
	// maxQuotaFraction is the largest fraction of the fleet's budget that one router uses.
	maxQuotaFraction = 0.5
	// quotaReduction is the factor by which a throttled write reduces the quota.
	quotaReduction = 0.5
	// minReductionInterval is the minimum time between two reductions: concurrent writes are throttled together and
	// count once.
	minReductionInterval = time.Second
)

// WriteQuota is a router's part of the fleet's write budget. Callers of one service meet at one router, so an equal
// split would refuse work while most of the budget is unused. A router starts with the maximum, halves its quota when
// the store throttles a write, which then did not take effect, and increases it slowly afterwards. The quota never
// falls below an equal share.
type WriteQuota struct {
	fleetBudget float64
	members     func() int
	clock       func() time.Time

	mu            sync.Mutex
	current       float64
	lastGrowth    time.Time
	lastReduction time.Time
}

// NewWriteQuota returns a router's quota of a fleet-wide budget of total writes per second. members returns the number
// of routers that use the budget.
func NewWriteQuota(total int, members func() int, clock func() time.Time) *WriteQuota {
	return &WriteQuota{
		fleetBudget: float64(total),
		members:     members,
		clock:       clock,
		current:     float64(total) * maxQuotaFraction,
		lastGrowth:  clock(),
	}
}

// WritesPerSecond returns the router's current quota, at least 2.
func (q *WriteQuota) WritesPerSecond() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.grow()
	return max(int(q.current), 2)
}

// grow applies the growth since the last call. The caller holds mu.
func (q *WriteQuota) grow() {
	now := q.clock()
	for ; now.Sub(q.lastGrowth) >= time.Second; q.lastGrowth = q.lastGrowth.Add(time.Second) {
		q.current *= quotaGrowth
		if q.current >= q.fleetBudget*maxQuotaFraction {
			q.lastGrowth = now
			break
		}
	}
	q.current = min(max(q.current, q.equalShare()), max(q.fleetBudget*maxQuotaFraction, q.equalShare()))
}

// equalShare returns the quota that each router would get of an equal split, in writes per second.
func (q *WriteQuota) equalShare() float64 { return q.fleetBudget / float64(max(q.members(), 1)) }

// reduce halves the quota after a throttled write, at most once per minReductionInterval.
func (q *WriteQuota) reduce() {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock()
	if now.Sub(q.lastReduction) < minReductionInterval {
		return
	}
	q.lastReduction = now
	q.grow()
	q.current = max(q.current*quotaReduction, q.equalShare())
}

// WrapStore returns a store that reduces the quota when a write is throttled.
func (q *WriteQuota) WrapStore(store kv.Store) kv.Store { return &quotaStore{Store: store, quota: q} }

// quotaStore forwards calls to a store and reports throttled writes to the quota.
type quotaStore struct {
	kv.Store
	quota *WriteQuota
}

// CompareAndSwap implements kv.Store.
func (s *quotaStore) CompareAndSwap(
	ctx context.Context, key string, expect kv.Revision, value []byte,
) (kv.Revision, error) {
	revision, err := s.Store.CompareAndSwap(ctx, key, expect, value)
	if errors.Is(err, kv.ErrThrottled) {
		s.quota.reduce()
	}
	return revision, err
}
