package kv

import (
	"context"
	"errors"
	"time"
)

// ErrCompacted reports that the store has discarded the requested changes. The caller must list the keys again.
var ErrCompacted = errors.New("kv: history discarded")

// Change is a write or a deletion of a key.
type Change struct {
	Entry
	Deleted bool
}

// Feed lists all keys with a prefix and follows their changes. Its results are linearizable: they include every change
// that the store had acknowledged when the call was made.
type Feed interface {
	// List returns the entries and a revision. Changes after that revision include every change that the entries lack.
	List(ctx context.Context, prefix string) ([]Entry, Revision, error)
	// Changes waits up to wait for changes above a revision and returns them with the revision for the next call.
	// Errors: ErrCompacted, ErrUnavailable, ErrThrottled.
	Changes(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Change, Revision, error)
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
