package kv

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"
)

// FakeFeed is an in-memory Feed that can simulate outages and discarded history.
type FakeFeed struct {
	mu       sync.Mutex
	revision Revision
	entries  map[string]Entry
	changes  []Change
	// compacted is the revision up to which changes have been discarded.
	compacted Revision
	changed   chan struct{}
	down      bool
	callCount int
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

// List implements Feed.
func (f *FakeFeed) List(_ context.Context, prefix string) ([]Entry, Revision, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.callCount++
	if f.down {
		return nil, 0, ErrUnavailable
	}
	var list []Entry
	for key, entry := range f.entries {
		if strings.HasPrefix(key, prefix) {
			list = append(list, copyEntry(entry))
		}
	}
	slices.SortFunc(list, func(a, b Entry) int { return strings.Compare(a.Key, b.Key) })
	return list, f.revision, nil
}

// Changes implements Feed.
func (f *FakeFeed) Changes(
	ctx context.Context, prefix string, after Revision, wait time.Duration,
) ([]Change, Revision, error) {
	timeout := time.After(wait)
	f.mu.Lock()
	f.callCount++
	f.mu.Unlock()
	for {
		list, revision, changed, err := f.changesAfter(prefix, after)
		if err != nil || len(list) > 0 {
			return list, revision, err
		}
		select {
		case <-changed:
		case <-timeout:
			return nil, revision, nil
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
}

// changesAfter returns the changes above a revision and a channel that is closed at the next change.
func (f *FakeFeed) changesAfter(prefix string, after Revision) ([]Change, Revision, <-chan struct{}, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.down:
		return nil, 0, nil, ErrUnavailable
	case after < f.compacted:
		return nil, 0, nil, ErrCompacted
	}
	var list []Change
	for _, c := range f.changes {
		if c.Revision > after && strings.HasPrefix(c.Key, prefix) {
			list = append(list, c)
		}
	}
	return list, f.revision, f.changed, nil
}
