package kv

import (
	"context"
	"errors"
	"time"
)

// ErrCompacted reports that the store has discarded the changes that were asked for. The keys must be listed again.
var ErrCompacted = errors.New("kv: history discarded")

// Change is a write or a deletion of a key.
type Change struct {
	Entry
	Deleted bool
}

// Feed reads all keys with a prefix and follows their changes. Answers are linearizable: they hold every change that
// the store had acknowledged when the call was made.
type Feed interface {
	// List returns the entries and a revision from which Changes misses nothing.
	List(ctx context.Context, prefix string) ([]Entry, Revision, error)
	// Changes waits up to wait for changes above a revision, and returns them with the revision to go on from.
	// Errors: ErrCompacted, ErrUnavailable, ErrThrottled.
	Changes(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Change, Revision, error)
}

// LeaseID names a lease.
type LeaseID int64

// Leases keeps keys in the store as long as their writer renews them.
type Leases interface {
	// Grant begins a lease and returns the lifetime that applies.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, time.Duration, error)
	// Renew extends a lease. ErrNotFound reports that it has ended.
	Renew(ctx context.Context, id LeaseID) error
	// Revoke ends a lease and removes its keys.
	Revoke(ctx context.Context, id LeaseID) error
	// PutLeased writes a key that is removed when the lease ends. ErrNotFound reports that the lease has ended.
	PutLeased(ctx context.Context, key string, value []byte, id LeaseID) error
}
