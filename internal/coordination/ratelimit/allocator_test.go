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
			yields := rapid.Bool().Draw(t, "yields")
			granted, retryIn := a.Take(now, server, rate, yields)
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

// asker is a router that asks for a permit whenever it was told to, with the delay of a message.
type asker struct {
	yields bool
	// pause is the time after a permit until the router has its next request.
	pause   time.Duration
	askAt   time.Time
	granted int
}

// messageDelay is the delay of a message between two routers.
const messageDelay = 15 * time.Millisecond

// ask makes routers ask for the permits of a server for d. It returns the number of requests.
func ask(a *Allocator, rate float64, d time.Duration, askers []*asker) int {
	asked := 0
	for i, r := range askers {
		r.askAt = start.Add(time.Duration(i) * time.Millisecond)
	}
	for now := start; now.Sub(start) < d; now = now.Add(time.Millisecond) {
		for _, r := range askers {
			if now.Before(r.askAt) {
				continue
			}
			asked++
			ok, retryIn := a.Take(now, server, rate, r.yields)
			if ok {
				r.granted++
				retryIn = r.pause
			}
			r.askAt = now.Add(retryIn + messageDelay)
		}
	}
	return asked
}

// newAskers returns routers, the first of which yield: they are before the others whenever both ask at the same time.
func newAskers(count, yielding int) []*asker {
	askers := make([]*asker, count)
	for i := range askers {
		askers[i] = &asker{yields: i < yielding}
	}
	return askers
}

func granted(askers []*asker) int {
	sum := 0
	for _, r := range askers {
		sum += r.granted
	}
	return sum
}

// Guards against a rate that is not used in full because routers ask too late, whatever their number and however many of
// them yield: each asks when it was told to, with the delay of a message.
func TestRateIsUsedInFullByAnyNumberOfRouters(t *testing.T) {
	const duration = 20 * time.Second
	for _, routers := range []int{1, 8, 65, 295} {
		for _, yielding := range []int{0, 1, routers / 2, routers - 1, routers} {
			for _, rate := range []float64{2, 5, 10} {
				g := NewWithT(t)
				askers := newAskers(routers, yielding)
				asked := ask(NewAllocator(), rate, duration, askers)
				permitted := rate * duration.Seconds()
				granted := granted(askers)
				g.Expect(float64(granted)).To(BeNumerically(">=", 0.93*permitted), "%d routers, %d yield, %v a second", routers, yielding, rate)
				g.Expect(granted).To(BeNumerically("<=", maxPermits(rate, duration)))
				g.Expect(asked).To(BeNumerically("<=", int(1.2*duration.Seconds())*routers+3*granted+routers),
					"requests of %d routers for %d permits, %d yield, %v a second", routers, granted, yielding, rate)
			}
		}
	}
}

// Guards against permits that go to the routers in the order in which they ask: many routers with requests of a team that is
// above its fair share then take most permits from the few with those of a starved team.
func TestRoutersThatDoNotYieldGetThePermits(t *testing.T) {
	const duration = 20 * time.Second
	for _, rate := range []float64{0.5, 2, 5, 10, 50} {
		g := NewWithT(t)
		askers := newAskers(8, 6)
		ask(NewAllocator(), rate, duration, askers)
		all := float64(granted(askers))
		g.Expect(granted(askers[6:])).To(BeNumerically(">=", int(0.8*all)), "%v a second", rate)
	}
}

// Guards against permits that are kept for a router which does not yield and has few requests: the others use all that it
// leaves.
func TestYieldingRoutersGetThePermitsThatAreLeft(t *testing.T) {
	const duration = 20 * time.Second
	for _, rate := range []float64{2, 5, 10, 50} {
		g := NewWithT(t)
		askers := newAskers(8, 7)
		askers[7].pause = time.Second
		ask(NewAllocator(), rate, duration, askers)
		g.Expect(float64(granted(askers))).To(BeNumerically(">=", 0.93*rate*duration.Seconds()), "%v a second", rate)
		g.Expect(askers[7].granted).To(BeNumerically(">=", 10), "%v a second", rate)
		g.Expect(granted(askers[:7])).To(BeNumerically(">=", granted(askers)-20), "%v a second", rate)
	}
}

// Guards against a new owner that grants at once what the earlier owner has just granted.
func TestNewOwnerStartsWithAnEmptyAllowance(t *testing.T) {
	g := NewWithT(t)
	a := NewAllocator()
	granted, retryIn := a.Take(start, server, 5, false)
	g.Expect(granted).To(BeFalse())
	g.Expect(retryIn).To(Equal(200 * time.Millisecond))
	granted, _ = a.Take(start.Add(200*time.Millisecond), server, 5, false)
	g.Expect(granted).To(BeTrue())
	a.Reset(server)
	granted, _ = a.Take(start.Add(10*time.Second), server, 5, false)
	g.Expect(granted).To(BeFalse())
}

// Guards against permits that are lost although nothing was sent with them, and against a return that permits more than a
// full allowance.
func TestReturnedPermitsAreGrantedAgain(t *testing.T) {
	g := NewWithT(t)
	a := NewAllocator()
	_, _ = a.Take(start, server, 2, false)
	now := start.Add(time.Second)
	granted, _ := a.Take(now, server, 2, false)
	g.Expect(granted).To(BeTrue())
	granted, _ = a.Take(now, server, 2, false)
	g.Expect(granted).To(BeFalse())
	a.Return(now, server, 2)
	granted, _ = a.Take(now, server, 2, false)
	g.Expect(granted).To(BeTrue())
	for range 20 {
		a.Return(now, server, 2)
	}
	n := 0
	for range 20 {
		if granted, _ := a.Take(now, server, 2, false); granted {
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
	_, _ = a.Take(start, server, 0.5, false)
	now := start.Add(2 * time.Second)
	granted, _ := a.Take(now, server, 0.5, false)
	g.Expect(granted).To(BeTrue())
	granted, retryIn := a.Take(now, server, 10, false)
	g.Expect(granted).To(BeFalse())
	g.Expect(retryIn).To(BeNumerically("<=", 100*time.Millisecond))
}

// Guards against many routers that ask at the same moment for one permit.
func TestDeniedRoutersAskAtDifferentTimes(t *testing.T) {
	g := NewWithT(t)
	a := NewAllocator()
	var times []time.Duration
	for range 8 {
		_, retryIn := a.Take(start, server, 5, false)
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
		_, retryIn := a.Take(start, server, rate, false)
		g.Expect(retryIn).To(BeNumerically(">=", 0), "%v", rate)
		granted, _ := a.Take(start.Add(10*time.Second), server, rate, false)
		g.Expect(granted).To(Equal(rate > 1), "%v", rate)
	}
}
