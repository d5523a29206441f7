package retry

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/state/ident"
)

const pool = ident.PoolID("model/m")

// taken returns how many of n retries the budget allows.
func taken(b *Budget, team ident.TeamID, n int) int {
	ok := 0
	for range n {
		if b.Retry(team, pool) {
			ok++
		}
	}
	return ok
}

// Guards against retries that multiply the load of a failing pool, and against teams without any retry.
func TestBudgetIsAShareOfRequestsPlusReserve(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := NewBudget(Options{})
		for range 100 {
			b.Request("busy", pool)
		}
		if got := taken(b, "busy", 100); got != 13 {
			t.Errorf("%d retries for 100 requests, want 13", got)
		}
		if got := taken(b, "quiet", 100); got != 3 {
			t.Errorf("%d retries without requests, want 3", got)
		}
		time.Sleep(HalfLife)
		if got := taken(b, "quiet", 100); got != 1 {
			t.Errorf("%d retries after a half-life, want 1", got)
		}
	})
}

// Guards against memory that grows with team names, and against a fresh reserve for each name beyond the limit.
func TestBudgetMemoryIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := NewBudget(Options{MaxEntries: 10})
		total := 0
		for i := range 1000 {
			total += taken(b, ident.TeamID(fmt.Sprint("team-", i)), 10)
		}
		if b.Entries() != 10 {
			t.Errorf("%d entries, want 10", b.Entries())
		}
		if total != 33 {
			t.Errorf("%d retries, want 3 for each of 10 teams and 3 for the rest", total)
		}
		time.Sleep(idleAfter)
		b.Request("new", pool)
		if b.Entries() != 1 {
			t.Errorf("%d entries after idling, want 1", b.Entries())
		}
	})
}

// Guards against retries in step, and against waits without bound.
func TestBackoffGrowsWithJitterUpToItsBound(t *testing.T) {
	b := NewBackoff()
	mean := InitialDelay
	for i := range 20 {
		low, high := mean/2, mean*3/2+1
		if d := b.Next(0); d < low || d > high {
			t.Fatalf("wait %d is %v, want %v to %v", i, d, low, high)
		}
		mean = min(2*mean, MaxDelay)
	}
	if d := b.Next(10 * time.Second); d < 10*time.Second {
		t.Fatalf("wait %v is shorter than Retry-After", d)
	}
}
