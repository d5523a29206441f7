package kv

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

// FakeFeed is an in-memory Feed that can simulate outages, discarded history and a restore from an older copy.
type FakeFeed struct {
	mu       sync.Mutex
	era      Era
	revision Revision
	entries  map[string]Entry
	changes  []Change
	// compacted is the revision up to which changes have been discarded.
	compacted Revision
	changed   chan struct{}
	down      bool
	callCount int
	// stale is the state that ListStale returns, or nil for the current one.
	stale *FakeCopy
}

var _ Feed = (*FakeFeed)(nil)

// NewFakeFeed returns a feed without keys.
func NewFakeFeed() *FakeFeed {
	return &FakeFeed{revision: 1, entries: make(map[string]Entry), changed: make(chan struct{})}
}

// Put writes a key.
func (f *FakeFeed) Put(key string, value []byte) { f.write(key, value, false) }

// Remove deletes a key.
func (f *FakeFeed) Remove(key string) { f.write(key, nil, true) }

func (f *FakeFeed) write(key string, value []byte, deleted bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision++
	entry := Entry{Key: key, Value: value, Revision: f.revision}
	f.entries[key] = entry
	if deleted {
		delete(f.entries, key)
	}
	f.changes = append(f.changes, Change{Entry: entry, Deleted: deleted})
	f.notifyWaiters()
}

// Compact discards the history of changes.
func (f *FakeFeed) Compact() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.changes = nil
	f.compacted = f.revision
	f.notifyWaiters()
}

// Copy returns the current state, for Restore.
func (f *FakeFeed) Copy() FakeCopy {
	f.mu.Lock()
	defer f.mu.Unlock()
	return FakeCopy{revision: f.revision, entries: maps.Clone(f.entries)}
}

// FakeCopy is a state of a FakeFeed.
type FakeCopy struct {
	revision Revision
	entries  map[string]Entry
}

// Restore replaces the state by an older copy, and begins a new era.
func (f *FakeFeed) Restore(c FakeCopy) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.era++
	f.revision, f.compacted = c.revision, c.revision
	f.entries, f.changes = maps.Clone(c.entries), nil
	f.notifyWaiters()
}

func (f *FakeFeed) position() Position { return Position{Era: f.era, Revision: f.revision} }

// SetDown starts or ends an outage. Calls that are waiting when an outage starts fail.
func (f *FakeFeed) SetDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
	f.notifyWaiters()
}

// Calls returns the number of calls since the start.
func (f *FakeFeed) Calls() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.callCount
}

// notifyWaiters wakes the waiting calls. The caller holds the lock.
func (f *FakeFeed) notifyWaiters() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// SetStale sets the state that ListStale returns.
func (f *FakeFeed) SetStale(c FakeCopy) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stale = &c
}

// List implements Feed.
func (f *FakeFeed) List(_ context.Context, prefix string) ([]Entry, Position, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.list(prefix, FakeCopy{revision: f.revision, entries: f.entries})
}

// ListStale implements Feed.
func (f *FakeFeed) ListStale(_ context.Context, prefix string) ([]Entry, Position, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stale != nil {
		return f.list(prefix, *f.stale)
	}
	return f.list(prefix, FakeCopy{revision: f.revision, entries: f.entries})
}

// list returns the entries of a state. The caller holds the lock.
func (f *FakeFeed) list(prefix string, state FakeCopy) ([]Entry, Position, error) {
	f.callCount++
	if f.down {
		return nil, Position{}, ErrUnavailable
	}
	var list []Entry
	for key, entry := range state.entries {
		if strings.HasPrefix(key, prefix) {
			list = append(list, copyEntry(entry))
		}
	}
	slices.SortFunc(list, func(a, b Entry) int { return strings.Compare(a.Key, b.Key) })
	return list, Position{Era: f.era, Revision: state.revision}, nil
}

// Changes implements Feed.
func (f *FakeFeed) Changes(
	ctx context.Context, prefix string, after Position, wait time.Duration,
) ([]Change, Position, error) {
	timeout := time.After(wait)
	f.mu.Lock()
	f.callCount++
	f.mu.Unlock()
	for {
		list, position, changed, err := f.changesAfter(prefix, after)
		if err != nil || len(list) > 0 {
			return list, position, err
		}
		select {
		case <-changed:
		case <-timeout:
			return nil, position, nil
		case <-ctx.Done():
			return nil, Position{}, ctx.Err()
		}
	}
}

// changesAfter returns the changes after a position and a channel that is closed at the next change.
func (f *FakeFeed) changesAfter(prefix string, after Position) ([]Change, Position, <-chan struct{}, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.down:
		return nil, Position{}, nil, ErrUnavailable
	case after.Era != f.era:
		return nil, Position{}, nil, ErrRestored
	case after.Revision < f.compacted:
		return nil, Position{}, nil, ErrCompacted
	}
	var list []Change
	for _, c := range f.changes {
		if c.Revision > after.Revision && strings.HasPrefix(c.Key, prefix) {
			list = append(list, c)
		}
	}
	return list, f.position(), f.changed, nil
}
