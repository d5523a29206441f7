package kv

import (
	"context"
	"errors"
	"time"
)

// ErrCompacted reports that the store has discarded the requested changes. The caller must list the keys again.
var ErrCompacted = errors.New("kv: history discarded")

// ErrTooManyChanges reports that the requested changes exceed what one response may hold. The caller must list the keys
// again: the same request would fail for as long as the store keeps the changes.
var ErrTooManyChanges = errors.New("kv: changes exceed a response")

// ErrRestored reports that the store came back from an older copy: the era of the position that was asked for has ended.
// The caller must list the keys again.
var ErrRestored = errors.New("kv: store restored from an older copy")

// Change is a write or a deletion of a key.
type Change struct {
	Entry
	Deleted bool
}

// Feed lists all keys with a prefix and follows their changes. Its results are linearizable: they include every change
// that the store had acknowledged when the call was made.
type Feed interface {
	// List returns the entries and a position. Changes after that position include every change that the entries lack.
	List(ctx context.Context, prefix string) ([]Entry, Position, error)
	// ListStale is like List, but the state may be some seconds old. It costs the store less.
	ListStale(ctx context.Context, prefix string) ([]Entry, Position, error)
	// Changes waits up to wait for changes after a position and returns them with the position for the next call.
	// Errors: ErrCompacted, ErrTooManyChanges, ErrRestored, ErrUnavailable, ErrThrottled.
	Changes(ctx context.Context, prefix string, after Position, wait time.Duration) ([]Change, Position, error)
}

// LeaseID identifies a lease.
type LeaseID int64

// Leases manages leases on keys: a key stays in the store as long as its writer renews the lease.
type Leases interface {
	// Grant creates a lease with a requested lifetime and returns its ID and the lifetime that the store granted.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, time.Duration, error)
	// Renew extends a lease. ErrNotFound reports that the lease has ended.
	Renew(ctx context.Context, id LeaseID) error
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, id LeaseID) error
	// PutLeased writes a key that is deleted when the lease ends. ErrNotFound reports that the lease has ended.
	PutLeased(ctx context.Context, key string, value []byte, id LeaseID) error
}
