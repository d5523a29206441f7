package kv

import (
	"context"
	"errors"
)

// Revision is the store's revision of a key's last change. Revisions of one store only grow. 0 means absent.
type Revision int64

// MaxValueBytes is the largest value that the store holds.
const MaxValueBytes = 1 << 20

// Entry is a key with its value.
type Entry struct {
	Key      string
	Value    []byte
	Revision Revision
}

var (
	// ErrNotFound reports that the key is absent.
	ErrNotFound = errors.New("kv: key not found")
	// ErrConflict reports that the key's revision was not the expected one. The write did not take effect.
	ErrConflict = errors.New("kv: revision conflict")
	// ErrUnavailable reports that the store refused the call. A write did not take effect.
	ErrUnavailable = errors.New("kv: store unavailable")
	// ErrThrottled reports that the store's rate was exceeded. A write did not take effect.
	ErrThrottled = errors.New("kv: rate exceeded")
	// ErrTooLarge reports a value above MaxValueBytes. The write did not take effect.
	ErrTooLarge = errors.New("kv: value too large")
	// ErrUncertain reports that the answer to a write was lost. The write may take effect now, later, or never.
	ErrUncertain = errors.New("kv: outcome of write unknown")
)

// Store is a key-value service with compare-and-swap. Implementations are safe for concurrent use.
type Store interface {
	// Get returns a key's entry. Errors: ErrNotFound, ErrUnavailable, ErrThrottled.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns up to limit entries whose keys begin with prefix, in key order after the key "after".
	List(ctx context.Context, prefix, after string, limit int) ([]Entry, error)
	// CompareAndSwap writes value if the key's revision is expect (0: the key is absent) and returns the new
	// revision. Errors: ErrConflict, ErrUnavailable, ErrThrottled, ErrTooLarge, ErrUncertain.
	CompareAndSwap(ctx context.Context, key string, expect Revision, value []byte) (Revision, error)
	// Delete removes the key if its revision is expect. Errors as CompareAndSwap.
	Delete(ctx context.Context, key string, expect Revision) error
	// Watch waits until the key has a revision above after and returns its entry. It returns the context's
	// error when the context ends first. A waiting watch counts as one call.
	Watch(ctx context.Context, key string, after Revision) (Entry, error)
}
