package ratelimit

import (
	"math"
	"time"
)

const (
	// Tolerance is the time by which permits may be granted ahead of the rate.
	Tolerance = 200 * time.Millisecond
	// Lifetime is the time after which an unused permit lapses. It covers opening a connection in most cases.
	Lifetime = 500 * time.Millisecond
	// MaxRetry bounds the time after which a router that was denied a permit may ask again. A permit may be unused for as
	// long if the routers that were told an earlier time have no more requests.
	MaxRetry = time.Second
	// minRetry is the lower bound of that time. Messages between routers take as long.
	minRetry = 5 * time.Millisecond
	// yieldTime is how long a free permit is kept for the routers that do not yield. Later within Tolerance the permit is
	// still there for one that yields, so that none is lost.
	yieldTime = Tolerance / 2
	// turnGrace is how long after its turn a router still counts as waiting for it. It covers the time of a message.
	turnGrace = 50 * time.Millisecond
	// usageWindow is the time constant of the observed rate of permits.
	usageWindow = 5 * time.Second
	// maxInterval is the longest time between two permits.
	maxInterval = time.Hour
)

// Allocator grants the permits for the servers that a router owns. It is not safe for concurrent use.
type Allocator struct {
	share   float64
	buckets map[string]*bucket
}

// bucket is the state of one server.
type bucket struct {
	// next is the theoretical time of the next permit.
	next time.Time
	// turns are the times at which routers that do not yield were told to ask again, yieldingTurns those of routers that
	// yield.
	turns, yieldingTurns turns
	// waitUntil is until when a router that does not yield counts as waiting for its turn.
	waitUntil time.Time
	usage     usage
}

// NewAllocator returns an allocator that may grant the whole rate.
func NewAllocator() *Allocator { return &Allocator{share: 1, buckets: make(map[string]*bucket)} }

// SetShare sets the fraction of the rate, above 0 up to 1, that this router may grant.
func (a *Allocator) SetShare(fraction float64) { a.share = fraction }

// Take grants a permit for a server that takes rate requests a second. If it denies one, it returns the time after which
// the router may ask again. A request that yields gets a permit only after the routers that do not yield have had their
// turn.
func (a *Allocator) Take(now time.Time, server string, rate float64, yields bool) (granted bool, retryIn time.Duration) {
	interval := a.interval(rate)
	b := a.buckets[server]
	if b == nil {
		b = &bucket{next: now.Add(Tolerance + interval)}
		a.buckets[server] = b
	}
	// Under a constant rate the next permit is never later. After a rise it would follow one interval of the old rate.
	b.next = earlier(b.next, now.Add(Tolerance+interval))
	free := b.next.Add(-Tolerance)
	if yields {
		free = b.freeForYielding(now, free)
	}
	if free.After(now) {
		return false, b.assignTurn(now, free, interval, yields)
	}
	b.next = later(b.next, now).Add(interval)
	b.usage.add(now, 1)
	return true, 0
}

// freeForYielding returns the time of the next permit for a request that yields: later than that for the others, free, while
// one of them waits.
func (b *bucket) freeForYielding(now, free time.Time) time.Time {
	if now.After(b.waitUntil) {
		return free
	}
	return free.Add(yieldTime)
}

// assignTurn returns the time after which a denied router may ask again. free is the time of the next permit for it.
func (b *bucket) assignTurn(now, free time.Time, interval time.Duration, yields bool) time.Duration {
	if yields {
		return b.yieldingTurns.next(now, free, interval)
	}
	retryIn := b.turns.next(now, free, interval)
	b.waitUntil = later(b.waitUntil, now.Add(retryIn+turnGrace))
	return retryIn
}

// turns assigns the times at which denied routers ask again.
type turns struct {
	// latest is the latest time that was assigned.
	latest time.Time
}

// next returns the time after which another router may ask again. free is the time of the next permit.
func (t *turns) next(now, free time.Time, interval time.Duration) time.Duration {
	at := later(free, t.latest.Add(interval))
	if latest := now.Add(MaxRetry); at.After(latest) {
		return later(free, latest).Sub(now)
	}
	t.latest = at
	return max(at.Sub(now), minRetry)
}

// Return takes back a permit that was not used.
func (a *Allocator) Return(now time.Time, server string, rate float64) {
	if b := a.buckets[server]; b != nil {
		b.next = b.next.Add(-a.interval(rate))
		b.usage.add(now, -1)
	}
}

// Reset makes the allowance of a server empty.
func (a *Allocator) Reset(server string) { delete(a.buckets, server) }

// Used returns the recent rate of permits for a server that were granted and not returned, in requests per second.
func (a *Allocator) Used(now time.Time, server string) float64 {
	if b := a.buckets[server]; b != nil {
		return b.usage.current(now)
	}
	return 0
}

// interval returns the time between two permits.
func (a *Allocator) interval(rate float64) time.Duration {
	seconds := 1 / (rate * a.share)
	if !(seconds < maxInterval.Seconds()) {
		return maxInterval
	}
	return time.Duration(seconds * float64(time.Second))
}

// usage is a rate that decays with usageWindow.
type usage struct {
	rate float64
	at   time.Time
}

func (u *usage) add(now time.Time, permits float64) {
	u.rate = max(u.current(now)+permits/usageWindow.Seconds(), 0)
	u.at = now
}

func (u *usage) current(now time.Time) float64 {
	return u.rate * math.Exp(-max(now.Sub(u.at), 0).Seconds()/usageWindow.Seconds())
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
