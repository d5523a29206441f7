package claim

import (
	"math"
	"sync"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/state/ident"
)

const (
	// decayInterval and decayFactor decay a team's recent writes with a time constant of about one second, so that a
	// steady rate of n writes a second counts as about n.
	decayInterval = 100 * time.Millisecond
	decayFactor   = 0.9
	// minRecentWrites is the number of recent writes below which a team no longer counts as active.
	minRecentWrites = 0.1
)

// tokenBucket is a token bucket for writes to the store. It calls rate at each use and holds at most one second's worth
// of writes. The lower half of its tokens is shared fairly between the teams, so that one team's flood leaves writes
// for the calls of others.
type tokenBucket struct {
	rate func() int
	now  func() time.Time

	mu         sync.Mutex
	tokens     float64
	lastRefill time.Time
	// recentWrites is each active team's recent use, in writes a second.
	recentWrites map[ident.TeamID]float64
	lastDecay    time.Time
}

func newTokenBucket(rate func() int, now func() time.Time) *tokenBucket {
	b := &tokenBucket{rate: rate, now: now, lastRefill: now(), lastDecay: now(), recentWrites: map[ident.TeamID]float64{}}
	b.tokens = b.burst()
	return b
}

// take removes n tokens for a team if they are available and within the team's fair share. It reports whether it did.
func (b *tokenBucket) take(team ident.TeamID, n float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill()
	if b.tokens < n || b.exceedsShare(team, n) {
		return false
	}
	b.tokens -= n
	b.recentWrites[team] += n
	return true
}

// exceedsShare reports whether n more writes would draw on the lower half of the tokens and bring the team above its
// fair share of the rate. The share is never more than half, so that a second team can start. The first call of an
// inactive team never exceeds the share, however low the rate.
func (b *tokenBucket) exceedsShare(team ident.TeamID, n float64) bool {
	used, active := b.recentWrites[team]
	if b.tokens-n >= b.burst()/2 || !active {
		return false
	}
	teams := max(len(b.recentWrites), 2)
	return used+n > b.burst()/float64(teams)
}

// takeBackground removes one token for background work if one is available, with spareOnly only if the bucket stays at
// least half full. It reports whether it did.
func (b *tokenBucket) takeBackground(spareOnly bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill()
	reserve := 0.0
	if spareOnly {
		reserve = b.burst() / 2
	}
	if b.tokens-1 < reserve {
		return false
	}
	b.tokens--
	return true
}

// debit removes n tokens, for writes that finish an operation in progress. The balance may become negative.
func (b *tokenBucket) debit(n float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill()
	b.tokens -= n
}

// refund returns n tokens that were not used.
func (b *tokenBucket) refund(n float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens += n
	b.refill()
}

// refill adds the tokens for the time since the last refill and decays the teams' recent writes. The caller holds mu.
func (b *tokenBucket) refill() {
	now := b.now()
	b.tokens += now.Sub(b.lastRefill).Seconds() * float64(b.rate())
	b.tokens = min(b.tokens, b.burst())
	b.lastRefill = now
	b.decay(now)
}

// decay reduces the teams' recent writes and removes inactive teams. The caller holds mu.
func (b *tokenBucket) decay(now time.Time) {
	steps := now.Sub(b.lastDecay) / decayInterval
	if steps <= 0 {
		return
	}
	b.lastDecay = b.lastDecay.Add(steps * decayInterval)
	factor := math.Pow(decayFactor, float64(steps))
	for team, used := range b.recentWrites {
		b.recentWrites[team] = used * factor
		if b.recentWrites[team] < minRecentWrites {
			delete(b.recentWrites, team)
		}
	}
}

// burst returns the capacity of the bucket, in tokens. It suffices for one call even when the rate is below the writes
// that a call needs.
func (b *tokenBucket) burst() float64 {
	rate := b.rate()
	if rate <= 0 {
		return 0
	}
	return max(float64(rate), writesPerCall)
}
