package discovery

import (
	"context"
	"sync"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/state/kv"
)

const (
	// maxHistory bounds the number of changes that are kept for other routers; maxHistoryBytes bounds the total size of
	// their values.
	maxHistory      = 4096
	maxHistoryBytes = 4 << 20
)

// Relayed holds the store's changes that a router passes on to another one. It is encoded under its field names.
type Relayed struct {
	Changes  []kv.Change
	Revision kv.Revision
	Era      kv.Era
	// Age is the age of the answering router's proof of freshness at the time of the answer.
	Age time.Duration
}

// History keeps the newest changes for routers that read the store through this one. It is safe for concurrent use.
type History struct {
	mu      sync.Mutex
	changes []kv.Change
	bytes   int
	// base is the position after which the history is complete, position the newest one. Both are of the same era.
	base, position kv.Position
	// changed is closed and replaced when position changes.
	changed chan struct{}
}

// NewHistory returns an empty history.
func NewHistory() *History { return &History{changed: make(chan struct{})} }

// reset empties the history and sets its position.
func (h *History) reset(position kv.Position) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.changes, h.bytes = nil, 0
	h.base, h.position = position, position
	h.notify()
}

// add appends the changes that lead to a position, and discards the oldest changes above the limits.
func (h *History) add(changes []kv.Change, position kv.Position) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, c := range changes {
		h.changes = append(h.changes, c)
		h.bytes += len(c.Value)
	}
	for len(h.changes) > maxHistory || h.bytes > maxHistoryBytes {
		h.base = h.position.At(h.changes[0].Revision)
		h.bytes -= len(h.changes[0].Value)
		h.changes = h.changes[1:]
	}
	if !h.position.Includes(position) {
		h.position = position
		h.notify()
	}
}

func (h *History) notify() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// Since waits up to wait for changes after a position, and returns them with the newest position. It returns
// kv.ErrCompacted if some of them are no longer kept.
func (h *History) Since(ctx context.Context, after kv.Position, wait time.Duration) ([]kv.Change, kv.Position, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for timedOut := false; ; {
		h.mu.Lock()
		changes, position, err := h.since(after)
		changed := h.changed
		h.mu.Unlock()
		if err != nil || len(changes) > 0 || timedOut {
			return changes, position, err
		}
		select {
		case <-changed:
		case <-timer.C:
			timedOut = true
		case <-ctx.Done():
			return nil, kv.Position{}, ctx.Err()
		}
	}
}

func (h *History) since(after kv.Position) ([]kv.Change, kv.Position, error) {
	if h.base.IsZero() || !after.Includes(h.base) || !h.position.Includes(after) {
		return nil, kv.Position{}, kv.ErrCompacted
	}
	for i, c := range h.changes {
		if !after.Includes(after.At(c.Revision)) {
			return h.changes[i:len(h.changes):len(h.changes)], h.position, nil
		}
	}
	return nil, h.position, nil
}
