package claim

import (
	"math"
	"sync"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/state/ident"
)

const (
	// decayStep and decayFactor forget a team's writes with a time constant of about one second, so that a steady use
	// of n writes a second counts as about n.
	decayStep   = 100 * time.Millisecond
	decayFactor = 0.9
	// forgetBelow is the use below which a team is no longer counted as active, in writes.
	forgetBelow = 0.1
)

// bucket is a token bucket for writes to the store. Its rate is asked for at each use, and it holds at most the
// writes of one second. Its lower half is shared between the teams, so that one team's flood leaves writes for the
// calls of others.
type bucket struct {
	rate func() int
	now  func() time.Time

	mu     sync.Mutex
	tokens float64
	last   time.Time
	// used is each active team's recent use, in writes a second.
	used    map[ident.TeamID]float64
	decayed time.Time
}

func newBucket(rate func() int, now func() time.Time) *bucket {
	b := &bucket{rate: rate, now: now, last: now(), decayed: now(), used: map[ident.TeamID]float64{}}
	b.tokens = b.burst()
	return b
}

// take removes n tokens for a team if they are present and within its share.
func (b *bucket) take(team ident.TeamID, n float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill()
	if b.tokens < n || b.overShare(team, n) {
		return false
	}
	b.tokens -= n
	b.used[team] += n
	return true
}

// overShare reports whether n more writes would take the lower half for a team beyond its share of the rate. Some is
// always kept for a second team. A first call is never over the share, however low the rate.
func (b *bucket) overShare(team ident.TeamID, n float64) bool {
	used, active := b.used[team]
	if b.tokens-n >= b.burst()/2 || !active {
		return false
	}
	teams := max(len(b.used), 2)
	return used+n > b.burst()/float64(teams)
}

// takeOne removes a token that is present, for background work. spare takes it only from the upper half.
func (b *bucket) takeOne(spare bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill()
	keep := 0.0
	if spare {
		keep = b.burst() / 2
	}
	if b.tokens-1 < keep {
		return false
	}
	b.tokens--
	return true
}

// debit removes n tokens and may leave a debt, for writes that finish what was begun.
func (b *bucket) debit(n float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill()
	b.tokens -= n
}

// refund returns n tokens that were not used.
func (b *bucket) refund(n float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens += n
	b.refill()
}

func (b *bucket) refill() {
	now := b.now()
	b.tokens += now.Sub(b.last).Seconds() * float64(b.rate())
	b.tokens = min(b.tokens, b.burst())
	b.last = now
	b.decay(now)
}

// decay forgets old use.
func (b *bucket) decay(now time.Time) {
	steps := now.Sub(b.decayed) / decayStep
	if steps <= 0 {
		return
	}
	b.decayed = b.decayed.Add(steps * decayStep)
	factor := math.Pow(decayFactor, float64(steps))
	for team, used := range b.used {
		b.used[team] = used * factor
		if b.used[team] < forgetBelow {
			delete(b.used, team)
		}
	}
}

// burst returns the most tokens that the bucket holds. It allows one call even when the rate is below its writes.
func (b *bucket) burst() float64 {
	rate := b.rate()
	if rate <= 0 {
		return 0
	}
	return max(float64(rate), writesPerCall)
}
