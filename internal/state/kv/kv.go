package kv

import (
	"context"
	"errors"
)

// Revision is the store's revision at a key's last change. The revisions of a store only increase. 0 means that the key
// is absent.
type Revision int64

// MaxValueBytes is the maximum size of a value.
const MaxValueBytes = 1 << 20

// Entry is a key with its value and the revision of its last change.
type Entry struct {
	Key      string
	Value    []byte
	Revision Revision
}

var (
	// ErrNotFound reports that the key is absent.
	ErrNotFound = errors.New("kv: key not found")
	// ErrConflict reports that the key did not have the expected revision. The write did not take effect.
	ErrConflict = errors.New("kv: revision conflict")
	// ErrUnavailable reports that the store refused the call. A write did not take effect.
	ErrUnavailable = errors.New("kv: store unavailable")
	// ErrThrottled reports that the store's rate limit was exceeded. A write did not take effect.
	ErrThrottled = errors.New("kv: rate limit exceeded")
	// ErrTooLarge reports a value of more than MaxValueBytes. The write did not take effect.
	ErrTooLarge = errors.New("kv: value too large")
	// ErrUncertain reports that the response to a write was lost. The write may take effect now, later, or never.
	ErrUncertain = errors.New("kv: outcome of write unknown")
)

// Store is a key-value store with compare-and-swap. Implementations are safe for concurrent use.
type Store interface {
	// Get returns a key's entry. Errors: ErrNotFound, ErrUnavailable, ErrThrottled.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns up to limit entries whose keys begin with prefix and sort after the key "after", in key order.
	List(ctx context.Context, prefix, after string, limit int) ([]Entry, error)
	// CompareAndSwap writes value if the key's revision is expect, where 0 means that the key is absent, and returns
	// the new revision. Errors: ErrConflict, ErrUnavailable, ErrThrottled, ErrTooLarge, ErrUncertain.
	CompareAndSwap(ctx context.Context, key string, expect Revision, value []byte) (Revision, error)
	// Delete removes the key if its revision is expect. Its errors are those of CompareAndSwap.
	Delete(ctx context.Context, key string, expect Revision) error
	// Watch waits until the key has a revision above after and returns its entry. It returns the context's error if
	// the context ends first. A waiting watch counts as one call.
	Watch(ctx context.Context, key string, after Revision) (Entry, error)
}
