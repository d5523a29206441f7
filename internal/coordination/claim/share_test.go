package claim

import (
	"context"
	"testing"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/state/kv"
)

// Guards against a budget split so evenly that one busy router refuses calls while the others use nothing.
func TestShareStartsAboveAnEqualPart(t *testing.T) {
	s := NewShare(300, func() int { return 8 }, time.Now)
	if got := s.Writes(); got != 150 {
		t.Fatalf("share %d", got)
	}
}

// Guards against routers that together keep exceeding the store's rate.
func TestShareIsCutWhenTheStoreThrottles(t *testing.T) {
	now := time.Unix(0, 0)
	s := NewShare(300, func() int { return 8 }, func() time.Time { return now })
	now = now.Add(2 * time.Second)
	store := s.Watch(throttlingStore{})
	for range 5 {
		if _, err := store.CompareAndSwap(context.Background(), "k", 0, nil); err == nil {
			t.Fatal("write not throttled")
		}
	}
	if got := s.Writes(); got != 75 {
		t.Fatalf("share after a burst of throttled writes: %d, want one cut to 75", got)
	}
	for range 10 {
		now = now.Add(cutPause)
		s.throttled()
	}
	if got := s.Writes(); got != 37 {
		t.Fatalf("share %d, want the equal part 37", got)
	}
	now = now.Add(time.Minute)
	if got := s.Writes(); got != 150 {
		t.Fatalf("share %d a minute later", got)
	}
}

// Guards against a lone router limited to half of the budget by the cap.
func TestShareOfALoneRouterIsTheWholeBudget(t *testing.T) {
	s := NewShare(300, func() int { return 1 }, time.Now)
	if got := s.Writes(); got != 300 {
		t.Fatalf("share %d", got)
	}
}

// throttlingStore throttles every write.
type throttlingStore struct{ kv.Store }

func (throttlingStore) CompareAndSwap(context.Context, string, kv.Revision, []byte) (kv.Revision, error) {
	return 0, kv.ErrThrottled
}
