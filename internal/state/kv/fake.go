package kv

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"
)

// Op names a call of a store.
type Op string

// The calls of a store.
const (
	OpGet            Op = "get"
	OpList           Op = "list"
	OpCompareAndSwap Op = "compare-and-swap"
	OpDelete         Op = "delete"
	OpWatch          Op = "watch"
)

// FaultKind says what goes wrong with a call.
type FaultKind int

const (
	// FaultNone lets the call succeed.
	FaultNone FaultKind = iota
	// FaultOutage refuses the call with ErrUnavailable.
	FaultOutage
	// FaultThrottled refuses the call with ErrThrottled.
	FaultThrottled
	// FaultLostApplied applies a write at once and loses its answer.
	FaultLostApplied
	// FaultLostLate loses the answer and applies the write later: after Fault.Late, or on ApplyLate when that is 0.
	// The write's comparison is made when it is applied.
	FaultLostLate
	// FaultLostDropped loses the answer and never applies the write.
	FaultLostDropped
)

// Fault is what happens to one call. The faults of lost answers turn reads into ErrUnavailable.
type Fault struct {
	Kind FaultKind
	// Delay passes before the call takes effect.
	Delay time.Duration
	// Late is the time until a late write is applied; 0 means on ApplyLate.
	Late time.Duration
	// Stale makes a read return the keys' states this many changes ago.
	Stale int
}

// Counts are the numbers of calls since the start, refused ones included.
type Counts map[Op]int

// Fake is an in-memory store that injects faults.
type Fake struct {
	mu       sync.Mutex
	revision Revision
	// versions hold each key's entries, oldest first. An entry with a nil Value is a deletion.
	versions map[string][]Entry
	changed  chan struct{}
	outage   bool
	inject   func(Op, string) Fault
	pending  []func()
	counts   Counts
}

var _ Store = (*Fake)(nil)

// NewFake returns an empty store without faults.
func NewFake() *Fake {
	return &Fake{
		versions: make(map[string][]Entry),
		changed:  make(chan struct{}),
		counts:   make(Counts),
	}
}

// Inject sets a function that chooses the fault of each call; nil removes it. The function runs without locks held
// and must be safe for concurrent use.
func (f *Fake) Inject(choose func(op Op, key string) Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.inject = choose
}

// SetOutage starts or ends an outage. Watches that wait when an outage starts fail.
func (f *Fake) SetOutage(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.outage = down
	f.wake()
}

// ApplyLate applies the writes that wait for it, in the order of their calls.
func (f *Fake) ApplyLate() {
	f.mu.Lock()
	defer f.mu.Unlock()
	pending := f.pending
	f.pending = nil
	for _, apply := range pending {
		apply()
	}
}

// Counts returns the numbers of calls.
func (f *Fake) Counts() Counts {
	f.mu.Lock()
	defer f.mu.Unlock()
	copied := make(Counts, len(f.counts))
	for op, n := range f.counts {
		copied[op] = n
	}
	return copied
}

// Keys returns the keys that exist, in order. It is not counted as a call and has no faults.
func (f *Fake) Keys() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var keys []string
	for key := range f.versions {
		if _, ok := f.at(key, 0); ok {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	return keys
}

// Peek returns a key's entry. It is not counted as a call and has no faults.
func (f *Fake) Peek(key string) (Entry, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.at(key, 0)
}

// Versions returns all entries that a key had, oldest first; a deletion has a nil Value. It is not counted as a call
// and has no faults.
func (f *Fake) Versions(key string) []Entry {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]Entry(nil), f.versions[key]...)
}

// begin counts a call, waits for its delay, and returns its fault. The error is set when the call is refused.
func (f *Fake) begin(ctx context.Context, op Op, key string) (Fault, error) {
	f.mu.Lock()
	f.counts[op]++
	outage := f.outage
	choose := f.inject
	f.mu.Unlock()
	var fault Fault
	if ctx.Err() != nil {
		return fault, ErrUnavailable
	}
	if choose != nil {
		fault = choose(op, key)
	}
	switch {
	case outage || fault.Kind == FaultOutage:
		return fault, ErrUnavailable
	case fault.Kind == FaultThrottled:
		return fault, ErrThrottled
	}
	return fault, wait(ctx, fault.Delay)
}

func wait(ctx context.Context, delay time.Duration) error {
	if delay <= 0 {
		return nil
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// wake wakes the watches. The caller holds the lock.
func (f *Fake) wake() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// at returns a key's entry as it was some changes ago. The caller holds the lock.
func (f *Fake) at(key string, ago int) (Entry, bool) {
	list := f.versions[key]
	index := len(list) - 1 - ago
	if index < 0 || list[index].Value == nil {
		return Entry{}, false
	}
	return copyEntry(list[index]), true
}

func copyEntry(e Entry) Entry {
	e.Value = append([]byte{}, e.Value...)
	return e
}

func (f *Fake) matching(prefix, after string, limit, ago int) []Entry {
	var keys []string
	for key := range f.versions {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	var list []Entry
	for _, key := range keys {
		entry, ok := f.at(key, ago)
		if ok && len(list) < limit {
			list = append(list, entry)
		}
	}
	return list
}
