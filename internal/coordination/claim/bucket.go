package claim

import (
	"sync"
	"time"
)

// bucket is a token bucket for writes to the store. Its rate is asked for at each use, and it holds at most the
// writes of one second.
type bucket struct {
	rate func() int
	now  func() time.Time

	mu     sync.Mutex
	tokens float64
	last   time.Time
}

func newBucket(rate func() int, now func() time.Time) *bucket {
	return &bucket{rate: rate, now: now, tokens: float64(rate()), last: now()}
}

// take removes n tokens if that many are present.
func (b *bucket) take(n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill()
	if b.tokens < float64(n) {
		return false
	}
	b.tokens -= float64(n)
	return true
}

// debit removes n tokens and may leave a debt, for writes that finish what was begun.
func (b *bucket) debit(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill()
	b.tokens -= float64(n)
}

// refund returns n tokens that were not used.
func (b *bucket) refund(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens += float64(n)
	b.refill()
}

func (b *bucket) refill() {
	now := b.now()
	rate := float64(b.rate())
	b.tokens += now.Sub(b.last).Seconds() * rate
	b.last = now
	// The burst must allow one call even when the rate is below the writes of a call.
	burst := rate
	if rate > 0 && burst < writesPerCall {
		burst = writesPerCall
	}
	b.tokens = min(b.tokens, burst)
}
