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
	// promised is the latest time at which a router was told to ask again.
	promised time.Time
	usage    usage
}

// NewAllocator returns an allocator that may grant the whole rate.
func NewAllocator() *Allocator { return &Allocator{share: 1, buckets: make(map[string]*bucket)} }

// SetShare sets the fraction of the rate, above 0 up to 1, that this router may grant.
func (a *Allocator) SetShare(fraction float64) { a.share = fraction }

// Take grants a permit for a server that takes rate requests a second. If it denies one, it returns the time after which
// the router may ask again.
func (a *Allocator) Take(now time.Time, server string, rate float64) (granted bool, retryIn time.Duration) {
	interval := a.interval(rate)
	b := a.buckets[server]
	if b == nil {
		b = &bucket{next: now.Add(Tolerance + interval)}
		a.buckets[server] = b
	}
	// Under a constant rate the next permit is never later. After a rise it would follow one interval of the old rate.
	b.next = earlier(b.next, now.Add(Tolerance+interval))
	if free := b.next.Add(-Tolerance); free.After(now) {
		return false, b.promise(now, free, interval)
	}
	b.next = later(b.next, now).Add(interval)
	b.usage.add(now, 1)
	return true, 0
}

// promise returns the time after which another router may ask again. free is the time of the next permit.
func (b *bucket) promise(now, free time.Time, interval time.Duration) time.Duration {
	at := later(free, b.promised.Add(interval))
	if latest := now.Add(MaxRetry); at.After(latest) {
		return later(free, latest).Sub(now)
	}
	b.promised = at
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
