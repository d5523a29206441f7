package ratelimit

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const server = "i-0"

// maxPermits is the largest number of permits within a time.
func maxPermits(rate float64, within time.Duration) int {
	return int(rate*(within+Tolerance).Seconds()+1e-6) + 1
}

// Guards against more permits than the rate within any time, whatever the times of the requests, and against returned
// permits that raise the rate.
func TestPermitsNeverExceedTheRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.SampledFrom([]float64{0.3, 0.5, 2, 4.8, 10, 300}).Draw(t, "rate")
		share := rapid.SampledFrom([]float64{1, 0.5, 0.125}).Draw(t, "share")
		a := NewAllocator()
		a.SetShare(share)
		now := start
		var used []time.Time
		for range rapid.IntRange(1, 200).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 800).Draw(t, "pause")) * time.Millisecond)
			granted, retryIn := a.Take(now, server, rate)
			switch {
			case !granted && (retryIn <= 0 || retryIn > max(MaxRetry, Tolerance+time.Duration(2*float64(time.Second)/(rate*share)))):
				t.Fatalf("denied for %v", retryIn)
			case granted && rapid.IntRange(0, 9).Draw(t, "unused") == 0:
				a.Return(now, server, rate)
			case granted:
				used = append(used, now)
			}
		}
		for i := range used {
			for j := i; j < len(used); j++ {
				if n := j - i + 1; n > maxPermits(rate*share, used[j].Sub(used[i])) {
					t.Fatalf("%d permits in %v at %v a second", n, used[j].Sub(used[i]), rate*share)
				}
			}
		}
	})
}

// Guards against a rate that is not used in full because routers ask too late, whatever their number: each asks when it
// was told to, with the delay of a message.
func TestRateIsUsedInFullByAnyNumberOfRouters(t *testing.T) {
	for _, routers := range []int{1, 8, 65, 295} {
		for _, rate := range []float64{2, 5, 10} {
			g := NewWithT(t)
			a := NewAllocator()
			const delay, duration = 15 * time.Millisecond, 20 * time.Second
			askAt := make([]time.Time, routers)
			for i := range askAt {
				askAt[i] = start.Add(time.Duration(i) * time.Millisecond)
			}
			granted, asked := 0, 0
			for now := start; now.Sub(start) < duration; now = now.Add(time.Millisecond) {
				for i, at := range askAt {
					if now.Before(at) {
						continue
					}
					asked++
					ok, retryIn := a.Take(now, server, rate)
					if ok {
						granted++
					}
					askAt[i] = now.Add(retryIn + delay)
				}
			}
			permitted := rate * duration.Seconds()
			g.Expect(float64(granted)).To(BeNumerically(">=", 0.93*permitted), "%d routers, %v a second", routers, rate)
			g.Expect(granted).To(BeNumerically("<=", maxPermits(rate, duration)))
			g.Expect(asked).To(BeNumerically("<=", int(1.2*duration.Seconds())*routers+3*granted+routers),
				"requests of %d routers for %d permits", routers, granted)
		}
	}
}

// Guards against a new owner that grants at once what the earlier owner has just granted.
func TestNewOwnerStartsWithAnEmptyAllowance(t *testing.T) {
	g := NewWithT(t)
	a := NewAllocator()
	granted, retryIn := a.Take(start, server, 5)
	g.Expect(granted).To(BeFalse())
	g.Expect(retryIn).To(Equal(200 * time.Millisecond))
	granted, _ = a.Take(start.Add(200*time.Millisecond), server, 5)
	g.Expect(granted).To(BeTrue())
	a.Reset(server)
	granted, _ = a.Take(start.Add(10*time.Second), server, 5)
	g.Expect(granted).To(BeFalse())
}

// Guards against permits that are lost although nothing was sent with them, and against a return that permits more than a
// full allowance.
func TestReturnedPermitsAreGrantedAgain(t *testing.T) {
	g := NewWithT(t)
	a := NewAllocator()
	_, _ = a.Take(start, server, 2)
	now := start.Add(time.Second)
	granted, _ := a.Take(now, server, 2)
	g.Expect(granted).To(BeTrue())
	granted, _ = a.Take(now, server, 2)
	g.Expect(granted).To(BeFalse())
	a.Return(now, server, 2)
	granted, _ = a.Take(now, server, 2)
	g.Expect(granted).To(BeTrue())
	for range 20 {
		a.Return(now, server, 2)
	}
	n := 0
	for range 20 {
		if granted, _ := a.Take(now, server, 2); granted {
			n++
		}
	}
	g.Expect(n).To(BeNumerically("<=", maxPermits(2, 0)))
	a.Return(now, "unknown", 2)
	g.Expect(a.Used(now, "unknown")).To(BeZero())
}

// Guards against a raised limit that is used only after an interval of the lower one.
func TestRaisedRateIsUsedAtOnce(t *testing.T) {
	g := NewWithT(t)
	a := NewAllocator()
	_, _ = a.Take(start, server, 0.5)
	now := start.Add(2 * time.Second)
	granted, _ := a.Take(now, server, 0.5)
	g.Expect(granted).To(BeTrue())
	granted, retryIn := a.Take(now, server, 10)
	g.Expect(granted).To(BeFalse())
	g.Expect(retryIn).To(BeNumerically("<=", 100*time.Millisecond))
}

// Guards against many routers that ask at the same moment for one permit.
func TestDeniedRoutersAskAtDifferentTimes(t *testing.T) {
	g := NewWithT(t)
	a := NewAllocator()
	var times []time.Duration
	for range 8 {
		_, retryIn := a.Take(start, server, 5)
		times = append(times, retryIn)
	}
	g.Expect(times[:5]).To(Equal([]time.Duration{200e6, 400e6, 600e6, 800e6, 1000e6}))
	g.Expect(times[5:]).To(HaveEach(MaxRetry))
}

// Guards against rates from responses that lead to a division by zero or an overflow.
func TestExtremeRates(t *testing.T) {
	for _, rate := range []float64{0, 5e-324, 1e-9, 1e9, 1e300, math.MaxFloat64} {
		g := NewWithT(t)
		a := NewAllocator()
		_, retryIn := a.Take(start, server, rate)
		g.Expect(retryIn).To(BeNumerically(">=", 0), "%v", rate)
		granted, _ := a.Take(start.Add(10*time.Second), server, rate)
		g.Expect(granted).To(Equal(rate > 1), "%v", rate)
	}
}
