package kv

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"
)

// Op identifies a method of Store.
type Op string

// The methods of Store.
const (
	OpGet            Op = "get"
	OpList           Op = "list"
	OpCompareAndSwap Op = "compare-and-swap"
	OpDelete         Op = "delete"
	OpWatch          Op = "watch"
)

// FaultKind is the kind of fault that is injected into a call.
type FaultKind int

const (
	// FaultNone injects no fault.
	FaultNone FaultKind = iota
	// FaultOutage fails the call with ErrUnavailable.
	FaultOutage
	// FaultThrottled fails the call with ErrThrottled.
	FaultThrottled
	// FaultLostApplied applies a write immediately and loses its response.
	FaultLostApplied
	// FaultLostLate loses the response and applies the write later: after Fault.Late, or on ApplyLateWrites if that is
	// 0. The revision is compared when the write is applied.
	FaultLostLate
	// FaultLostDropped loses the response and never applies the write.
	FaultLostDropped
)

// Fault is the fault injected into one call. Reads whose response is lost fail with ErrUnavailable.
type Fault struct {
	Kind FaultKind
	// Delay is the time before the call takes effect.
	Delay time.Duration
	// Late is the time until a late write is applied; 0 means on ApplyLateWrites.
	Late time.Duration
	// Stale makes a read return each key's entry as it was this many changes of the key ago.
	Stale int
}

// Counts holds the number of calls of each method since the start, including calls that failed.
type Counts map[Op]int

// Fake is an in-memory Store that injects faults.
type Fake struct {
	mu       sync.Mutex
	revision Revision
	// versions holds the entries of each key, oldest first. An entry with a nil Value is a deletion.
	versions    map[string][]Entry
	changed     chan struct{}
	outage      bool
	chooseFault func(Op, string) Fault
	lateWrites  []func()
	counts      Counts
	// restores counts the calls of Restore.
	restores int
}

var (
	_ Store        = (*Fake)(nil)
	_ ExactSwapper = (*Fake)(nil)
)

// NewFake returns an empty store without faults.
func NewFake() *Fake {
	return &Fake{
		versions: make(map[string][]Entry),
		changed:  make(chan struct{}),
		counts:   make(Counts),
	}
}

// Inject sets the function that chooses the fault of each call; nil removes it. The function is called without locks
// held and must be safe for concurrent use.
func (f *Fake) Inject(choose func(op Op, key string) Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.chooseFault = choose
}

// SetOutage starts or ends an outage. Watches that are waiting when an outage starts fail.
func (f *Fake) SetOutage(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.outage = down
	f.notifyWatches()
}

// ApplyLateWrites applies the late writes without a delay of their own, in the order of their calls.
func (f *Fake) ApplyLateWrites() {
	f.mu.Lock()
	defer f.mu.Unlock()
	writes := f.lateWrites
	f.lateWrites = nil
	for _, apply := range writes {
		apply()
	}
}

// Counts returns a copy of the call counts.
func (f *Fake) Counts() Counts {
	f.mu.Lock()
	defer f.mu.Unlock()
	copied := make(Counts, len(f.counts))
	for op, n := range f.counts {
		copied[op] = n
	}
	return copied
}

// Keys returns the existing keys in sorted order. It is not counted as a call, and no faults are injected into it.
func (f *Fake) Keys() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var keys []string
	for key := range f.versions {
		if _, ok := f.entryAt(key, 0); ok {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	return keys
}

// Peek returns a key's entry. It is not counted as a call, and no faults are injected into it.
func (f *Fake) Peek(key string) (Entry, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.entryAt(key, 0)
}

// Versions returns the history of a key's entries, oldest first; a deletion has a nil Value. It is not counted as a
// call, and no faults are injected into it.
func (f *Fake) Versions(key string) []Entry {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]Entry(nil), f.versions[key]...)
}

// startCall counts a call, waits for its injected delay and returns its fault. It returns an error if the store refuses
// the call or the context ends.
func (f *Fake) startCall(ctx context.Context, op Op, key string) (Fault, error) {
	f.mu.Lock()
	f.counts[op]++
	outage := f.outage
	choose := f.chooseFault
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

// notifyWatches wakes the waiting watches. The caller holds the lock.
func (f *Fake) notifyWatches() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// entryAt returns a key's entry as it was the given number of changes ago. The caller holds the lock.
func (f *Fake) entryAt(key string, changesAgo int) (Entry, bool) {
	list := f.versions[key]
	index := len(list) - 1 - changesAgo
	if index < 0 || list[index].Value == nil {
		return Entry{}, false
	}
	return copyEntry(list[index]), true
}

func copyEntry(e Entry) Entry {
	e.Value = append([]byte{}, e.Value...)
	return e
}

// entriesWithPrefix returns up to limit entries whose keys begin with prefix and sort after the key "after", as they
// were the given number of changes ago. The caller holds the lock.
func (f *Fake) entriesWithPrefix(prefix, after string, limit, changesAgo int) []Entry {
	var keys []string
	for key := range f.versions {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	var list []Entry
	for _, key := range keys {
		entry, ok := f.entryAt(key, changesAgo)
		if ok && len(list) < limit {
			list = append(list, entry)
		}
	}
	return list
}
