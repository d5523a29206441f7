package retry

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// The operators' bound on the retries of all routers together in each window, and the fraction of it that a router uses.
const (
	fleetRatio    = 0.2
	fleetSlack    = 184.0
	fleetWindow   = 10 * time.Second
	fleetFraction = 0.6
)

// budgetFleet is a fleet of routers, and the times of its requests and retries.
type budgetFleet struct {
	budgets           []*WindowBudget
	requests, retries []time.Time
}

func newBudgetFleet(routers int) *budgetFleet {
	f := &budgetFleet{}
	for range routers {
		b := NewWindowBudget(fleetWindow)
		b.SetBounds(fleetFraction*fleetRatio, fleetFraction*fleetSlack)
		b.SetRouters(routers)
		f.budgets = append(f.budgets, b)
	}
	return f
}

// request sends a request through a router. While the service fails, the router retries it up to twice.
func (f *budgetFleet) request(now time.Time, router int, fails bool) {
	b := f.budgets[router]
	b.Deposit(now, "app")
	f.requests = append(f.requests, now)
	for range 2 {
		if !fails || !b.Allow(now, "app") {
			return
		}
		f.retries = append(f.retries, now)
	}
}

// worst returns the window with the most retries above the bound, as the number of its retries and the number allowed.
func (f *budgetFleet) worst() (retries int, allowed float64) {
	for i, last := range f.retries {
		n := i + 1 - countUntil(f.retries, last.Add(-fleetWindow))
		a := fleetRatio*float64(countUntil(f.requests, last)-countUntil(f.requests, last.Add(-fleetWindow))) + fleetSlack
		if retries == 0 || float64(n)-a > float64(retries)-allowed {
			retries, allowed = n, a
		}
	}
	return retries, allowed
}

// countUntil returns the number of ordered times up to a given one.
func countUntil(times []time.Time, last time.Time) int {
	n, _ := slices.BinarySearchFunc(times, last, func(t, last time.Time) int {
		if t.After(last) {
			return 1
		}
		return -1
	})
	return n
}

// Guards against routers that each use the whole slack: in a fleet of many, a service that turns requests away was sent
// up to twice the retries that all routers together are allowed.
func TestRoutersTogetherKeepTheRetryBound(t *testing.T) {
	for _, routers := range []int{1, 3, 8, 33, 72} {
		for _, rate := range []int{5, 100, 1000} {
			t.Run(fmt.Sprintf("%d routers, %d requests a second", routers, rate), func(t *testing.T) {
				f := newBudgetFleet(routers)
				random := rand.New(rand.NewPCG(1, uint64(routers*rate)))
				start := time.Unix(1_700_000_000, 0)
				for i := range 60 * rate {
					now := start.Add(time.Duration(i) * time.Second / time.Duration(rate))
					second := int(now.Sub(start) / time.Second)
					f.request(now, random.IntN(routers), second >= 12 && second < 19 || second >= 30)
				}
				retries, allowed := f.worst()
				if float64(retries) > allowed {
					t.Errorf("%d retries in %v, allowed %.0f", retries, fleetWindow, allowed)
				}
				if rate >= 100 && len(f.retries) < 100 {
					t.Errorf("only %d retries: the bound is hardly used", len(f.retries))
				}
			})
		}
	}
}

// Guards against a fleet in which most requests reach one router, and against a divided fleet: the other routers are counted
// as long as they have entries.
func TestRetryBoundWithUnevenRouters(t *testing.T) {
	f := newBudgetFleet(20)
	random := rand.New(rand.NewPCG(1, 2))
	start := time.Unix(1_700_000_000, 0)
	for i := range 40 * 200 {
		router := 0
		if random.IntN(4) == 0 {
			router = random.IntN(20)
		}
		f.request(start.Add(time.Duration(i)*5*time.Millisecond), router, i > 2000)
	}
	if retries, allowed := f.worst(); float64(retries) > allowed {
		t.Errorf("%d retries in %v, allowed %.0f", retries, fleetWindow, allowed)
	}
}
