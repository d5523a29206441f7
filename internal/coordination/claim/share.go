package claim

import (
	"context"
	"errors"
	"sync"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/state/kv"
)

const (
	// shareGrowth is the growth of a router's share per second without a throttled write.
	shareGrowth = 1.05
	// shareCap is the largest share of the fleet's budget that one router takes.
	shareCap = 0.5
	// shareCut is the factor of a cut after a throttled write.
	shareCut = 0.5
	// cutPause is the shortest time between two cuts: writes that were under way together are throttled together.
	cutPause = time.Second
)

// Share is a router's part of the fleet's write budget. Callers of one service meet at one router, so equal parts
// would refuse work while most of the budget is unused. A router starts with the cap, halves its part when the store
// throttles a write, which then did not take effect, and grows slowly again. It never falls below an equal part.
type Share struct {
	total   float64
	members func() int
	clock   func() time.Time

	mu      sync.Mutex
	current float64
	updated time.Time
	cut     time.Time
}

// NewShare returns the share of a fleet-wide budget in writes per second among a number of routers.
func NewShare(total int, members func() int, clock func() time.Time) *Share {
	return &Share{
		total:   float64(total),
		members: members,
		clock:   clock,
		current: float64(total) * shareCap,
		updated: clock(),
	}
}

// Writes returns the router's part now, in writes per second.
func (s *Share) Writes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.grow()
	return max(int(s.current), 2)
}

// grow applies the growth since the last call. The lock is held.
func (s *Share) grow() {
	now := s.clock()
	for ; now.Sub(s.updated) >= time.Second; s.updated = s.updated.Add(time.Second) {
		s.current *= shareGrowth
		if s.current >= s.total*shareCap {
			s.updated = now
			break
		}
	}
	s.current = min(max(s.current, s.equal()), max(s.total*shareCap, s.equal()))
}

// equal is the part that each router would get of an even split.
func (s *Share) equal() float64 { return s.total / float64(max(s.members(), 1)) }

// throttled cuts the part after a throttled write.
func (s *Share) throttled() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	if now.Sub(s.cut) < cutPause {
		return
	}
	s.cut = now
	s.grow()
	s.current = max(s.current*shareCut, s.equal())
}

// Watch returns a store that reports throttled writes to the share.
func (s *Share) Watch(store kv.Store) kv.Store { return &watchedStore{Store: store, share: s} }

// watchedStore passes calls on and notes throttled writes.
type watchedStore struct {
	kv.Store
	share *Share
}

// CompareAndSwap implements kv.Store.
func (w *watchedStore) CompareAndSwap(ctx context.Context, key string, expect kv.Revision, value []byte) (kv.Revision, error) {
	revision, err := w.Store.CompareAndSwap(ctx, key, expect, value)
	if errors.Is(err, kv.ErrThrottled) {
		w.share.throttled()
	}
	return revision, err
}
