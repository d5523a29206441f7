package claim

import (
	"context"
	"testing"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/state/kv"
)

// Guards against an equal split of the budget, with which one busy router refuses calls while the others use nothing.
func TestQuotaStartsAboveEqualShare(t *testing.T) {
	quota := NewWriteQuota(300, func() int { return 8 }, time.Now)
	if got := quota.WritesPerSecond(); got != 150 {
		t.Fatalf("quota %d", got)
	}
}

// Guards against routers that together stay above the store's write rate.
func TestQuotaIsReducedWhenStoreThrottles(t *testing.T) {
	now := time.Unix(0, 0)
	quota := NewWriteQuota(300, func() int { return 8 }, func() time.Time { return now })
	now = now.Add(2 * time.Second)
	store := quota.WrapStore(throttlingStore{})
	for range 5 {
		if _, err := store.CompareAndSwap(context.Background(), "k", 0, nil); err == nil {
			t.Fatal("write not throttled")
		}
	}
	if got := quota.WritesPerSecond(); got != 75 {
		t.Fatalf("quota after a burst of throttled writes: %d, want one reduction to 75", got)
	}
	for range 10 {
		now = now.Add(minReductionInterval)
		quota.reduce()
	}
	if got := quota.WritesPerSecond(); got != 37 {
		t.Fatalf("quota %d, want the equal share 37", got)
	}
	now = now.Add(time.Minute)
	if got := quota.WritesPerSecond(); got != 150 {
		t.Fatalf("quota %d a minute later", got)
	}
}

// Guards against a single router being limited to half of the budget by the maximum fraction.
func TestQuotaOfSingleRouterIsWholeBudget(t *testing.T) {
	quota := NewWriteQuota(300, func() int { return 1 }, time.Now)
	if got := quota.WritesPerSecond(); got != 300 {
		t.Fatalf("quota %d", got)
	}
}

// throttlingStore throttles every write.
type throttlingStore struct{ kv.Store }

func (throttlingStore) CompareAndSwap(context.Context, string, kv.Revision, []byte) (kv.Revision, error) {
	return 0, kv.ErrThrottled
}
