package retry

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/state/ident"
)

const pool = ident.PoolID("model/m")

// countAllowed asks the budget for n retries and returns how many it allows.
func countAllowed(b *Budget, team ident.TeamID, n int) int {
	allowed := 0
	for range n {
		if b.Allow(team, pool) {
			allowed++
		}
	}
	return allowed
}

// Guards against retries that multiply the load on a failing pool, and against teams that get no retries because they
// send few requests.
func TestBudgetIsRatioOfRequestsPlusReserve(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := NewBudget(Options{})
		for range 100 {
			b.Deposit("busy", pool)
		}
		if got := countAllowed(b, "busy", 100); got != 13 {
			t.Errorf("%d retries for 100 requests, want 13", got)
		}
		if got := countAllowed(b, "quiet", 100); got != 3 {
			t.Errorf("%d retries without requests, want 3", got)
		}
		time.Sleep(HalfLife)
		if got := countAllowed(b, "quiet", 100); got != 1 {
			t.Errorf("%d retries after a half-life, want 1", got)
		}
	})
}

// Guards against memory use that grows with the number of team names, and against granting the reserve again to every
// team name beyond MaxEntries.
func TestBudgetMemoryIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := NewBudget(Options{MaxEntries: 10})
		total := 0
		for i := range 1000 {
			total += countAllowed(b, ident.TeamID(fmt.Sprint("team-", i)), 10)
		}
		if b.Entries() != 10 {
			t.Errorf("%d entries, want 10", b.Entries())
		}
		if total != 33 {
			t.Errorf("%d retries, want 3 for each of 10 teams and 3 for the rest", total)
		}
		time.Sleep(idleTimeout)
		b.Deposit("new", pool)
		if b.Entries() != 1 {
			t.Errorf("%d entries after idling, want 1", b.Entries())
		}
	})
}

// Guards against synchronized retries and against unbounded delays.
func TestBackoffGrowsWithJitterUpToItsBound(t *testing.T) {
	b := NewBackoff()
	mean := InitialDelay
	for i := range 20 {
		low, high := mean/2, mean*3/2+1
		if d := b.Next(0); d < low || d > high {
			t.Fatalf("delay %d is %v, want %v to %v", i, d, low, high)
		}
		mean = min(2*mean, MaxDelay)
	}
	if d := b.Next(10 * time.Second); d < 10*time.Second {
		t.Fatalf("delay %v is shorter than Retry-After", d)
	}
}
