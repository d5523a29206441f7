package kv

import (
	"context"
	"errors"
	"time"
)

// readError turns an error of begin into one that the interface allows for reads.
func readError(fault Fault, err error) error {
	if errors.Is(err, ErrThrottled) {
		return ErrThrottled
	}
	lost := fault.Kind == FaultLostApplied || fault.Kind == FaultLostLate || fault.Kind == FaultLostDropped
	if err != nil || lost {
		return ErrUnavailable
	}
	return nil
}

// Get implements Store.
func (f *Fake) Get(ctx context.Context, key string) (Entry, error) {
	fault, err := f.begin(ctx, OpGet, key)
	if err := readError(fault, err); err != nil {
		return Entry{}, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	entry, ok := f.at(key, fault.Stale)
	if !ok {
		return Entry{}, ErrNotFound
	}
	return entry, nil
}

// List implements Store.
func (f *Fake) List(ctx context.Context, prefix, after string, limit int) ([]Entry, error) {
	fault, err := f.begin(ctx, OpList, prefix)
	if err := readError(fault, err); err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.matching(prefix, after, limit, fault.Stale), nil
}

// CompareAndSwap implements Store.
func (f *Fake) CompareAndSwap(ctx context.Context, key string, expect Revision, value []byte) (Revision, error) {
	if len(value) > MaxValueBytes {
		return 0, ErrTooLarge
	}
	value = append([]byte{}, value...)
	return f.change(ctx, OpCompareAndSwap, key, expect, value)
}

// Delete implements Store.
func (f *Fake) Delete(ctx context.Context, key string, expect Revision) error {
	_, err := f.change(ctx, OpDelete, key, expect, nil)
	return err
}

func (f *Fake) change(ctx context.Context, op Op, key string, expect Revision, value []byte) (Revision, error) {
	start := time.Now()
	fault, err := f.begin(ctx, op, key)
	if errors.Is(err, ErrUnavailable) || errors.Is(err, ErrThrottled) {
		return 0, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	apply := func() (Revision, error) { return f.apply(key, expect, value) }
	if err != nil {
		// The caller gave up during the delay; the call is already on its way.
		f.later(max(fault.Delay-time.Since(start), 1), apply)
		return 0, ErrUncertain
	}
	switch fault.Kind {
	case FaultLostApplied:
		_, _ = apply()
		return 0, ErrUncertain
	case FaultLostLate:
		f.later(fault.Late, apply)
		return 0, ErrUncertain
	case FaultLostDropped:
		return 0, ErrUncertain
	}
	return apply()
}

// later applies a write after a time, or on ApplyLate when the time is not positive. The caller holds the lock.
func (f *Fake) later(after time.Duration, apply func() (Revision, error)) {
	if after <= 0 {
		f.pending = append(f.pending, func() { _, _ = apply() })
		return
	}
	time.AfterFunc(after, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		_, _ = apply()
	})
}

// apply makes a write if the key has the expected revision. The caller holds the lock.
func (f *Fake) apply(key string, expect Revision, value []byte) (Revision, error) {
	entry, exists := f.at(key, 0)
	if exists && entry.Revision != expect || !exists && expect != 0 {
		return 0, ErrConflict
	}
	f.revision++
	f.versions[key] = append(f.versions[key], Entry{Key: key, Value: value, Revision: f.revision})
	f.wake()
	return f.revision, nil
}

// Watch implements Store.
func (f *Fake) Watch(ctx context.Context, key string, after Revision) (Entry, error) {
	fault, err := f.begin(ctx, OpWatch, key)
	if ctx.Err() != nil {
		return Entry{}, ctx.Err()
	}
	if err := readError(fault, err); err != nil {
		return Entry{}, err
	}
	for {
		entry, changed, err := f.poll(key, after)
		if err != nil || changed == nil {
			return entry, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return Entry{}, ctx.Err()
		}
	}
}

// poll returns the entry if it is newer, or a channel that closes at the next change.
func (f *Fake) poll(key string, after Revision) (Entry, <-chan struct{}, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.outage {
		return Entry{}, nil, ErrUnavailable
	}
	if entry, ok := f.at(key, 0); ok && entry.Revision > after {
		return entry, nil, nil
	}
	return Entry{}, f.changed, nil
}
