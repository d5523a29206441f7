package kv

import (
	"bytes"
	"context"
	"errors"
	"time"
)

// readError maps the result of startCall to an error that Store allows for reads.
func readError(fault Fault, err error) error {
	if errors.Is(err, ErrThrottled) {
		return ErrThrottled
	}
	responseLost := fault.Kind == FaultLostApplied || fault.Kind == FaultLostLate || fault.Kind == FaultLostDropped
	if err != nil || responseLost {
		return ErrUnavailable
	}
	return nil
}

// Get implements Store.
func (f *Fake) Get(ctx context.Context, key string) (Entry, error) {
	fault, err := f.startCall(ctx, OpGet, key)
	if err := readError(fault, err); err != nil {
		return Entry{}, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	entry, ok := f.entryAt(key, fault.Stale)
	if !ok {
		return Entry{}, ErrNotFound
	}
	return entry, nil
}

// List implements Store.
func (f *Fake) List(ctx context.Context, prefix, after string, limit int) ([]Entry, error) {
	fault, err := f.startCall(ctx, OpList, prefix)
	if err := readError(fault, err); err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.entriesWithPrefix(prefix, after, limit, fault.Stale), nil
}

// CompareAndSwap implements Store.
func (f *Fake) CompareAndSwap(ctx context.Context, key string, expect Revision, value []byte) (Revision, error) {
	if len(value) > MaxValueBytes {
		return 0, ErrTooLarge
	}
	value = append([]byte{}, value...)
	return f.write(ctx, OpCompareAndSwap, Entry{Key: key, Revision: expect}, value)
}

// SwapExact implements ExactSwapper.
func (f *Fake) SwapExact(ctx context.Context, old Entry, value []byte) (Revision, error) {
	if len(value) > MaxValueBytes {
		return 0, ErrTooLarge
	}
	return f.write(ctx, OpCompareAndSwap, copyEntry(old), append([]byte{}, value...))
}

// Delete implements Store.
func (f *Fake) Delete(ctx context.Context, key string, expect Revision) error {
	_, err := f.write(ctx, OpDelete, Entry{Key: key, Revision: expect}, nil)
	return err
}

// write performs a write, or a deletion if value is nil, with the fault that is injected into the call. If the value of
// old is nil, only the revision is compared.
func (f *Fake) write(ctx context.Context, op Op, old Entry, value []byte) (Revision, error) {
	start := time.Now()
	fault, err := f.startCall(ctx, op, old.Key)
	if errors.Is(err, ErrUnavailable) || errors.Is(err, ErrThrottled) {
		return 0, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	apply := func() (Revision, error) { return f.apply(old, value) }
	if err != nil {
		// The context ended during the delay, but the write is already in flight and takes effect later.
		f.applyLater(max(fault.Delay-time.Since(start), 1), apply)
		return 0, ErrUncertain
	}
	switch fault.Kind {
	case FaultLostApplied:
		_, _ = apply()
		return 0, ErrUncertain
	case FaultLostLate:
		f.applyLater(fault.Late, apply)
		return 0, ErrUncertain
	case FaultLostDropped:
		return 0, ErrUncertain
	}
	return apply()
}

// applyLater applies a write after a delay, or on ApplyLateWrites if the delay is not positive. The caller holds the
// lock.
func (f *Fake) applyLater(delay time.Duration, apply func() (Revision, error)) {
	if delay <= 0 {
		f.lateWrites = append(f.lateWrites, func() { _, _ = apply() })
		return
	}
	time.AfterFunc(delay, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		_, _ = apply()
	})
}

// apply performs a write if the key has the expected revision and value. The caller holds the lock.
func (f *Fake) apply(old Entry, value []byte) (Revision, error) {
	key := old.Key
	entry, exists := f.entryAt(key, 0)
	if exists && entry.Revision != old.Revision || !exists && old.Revision != 0 {
		return 0, ErrConflict
	}
	if old.Value != nil && !bytes.Equal(entry.Value, old.Value) {
		return 0, ErrConflict
	}
	f.revision++
	f.versions[key] = append(f.versions[key], Entry{Key: key, Value: value, Revision: f.revision})
	f.notifyWatches()
	return f.revision, nil
}

// Watch implements Store.
func (f *Fake) Watch(ctx context.Context, key string, after Revision) (Entry, error) {
	fault, err := f.startCall(ctx, OpWatch, key)
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

// poll returns the key's entry if its revision is above after, or else a channel that is closed at the next change.
func (f *Fake) poll(key string, after Revision) (Entry, <-chan struct{}, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.outage {
		return Entry{}, nil, ErrUnavailable
	}
	if entry, ok := f.entryAt(key, 0); ok && entry.Revision > after {
		return entry, nil, nil
	}
	return Entry{}, f.changed, nil
}
