package claim

import (
	"context"
	"time"

	"go.uber.org/zap"

	"gooseberrytide.example/gooseberrytide/internal/state/kv"
)

const (
	// sweepBatchSize is the maximum number of records per read. With bodies of 512 KB that is about 11 MB.
	sweepBatchSize = 16
	// sweepDelay is the delay after a read that found nothing to delete, after an error, and between checks for a
	// spare write.
	sweepDelay = time.Second
	// sweepInterval is the delay after a pass over all partitions.
	sweepInterval = time.Minute
	// clockSkewAllowance is added to a record's expiry, because the clocks of VMs differ.
	clockSkewAllowance = 5 * time.Minute
	// partitionDigits are the possible first digits of the hash in a key. Each is one partition of a service's keys.
	partitionDigits = "0123456789abcdef"
)

// SweepOptions selects the records that a router deletes.
type SweepOptions struct {
	// Services returns the names of the services.
	Services func() []string
	// Owns reports whether this router sweeps the keys with the prefix. It is safe for several routers to sweep the same
	// keys. By default the router sweeps all keys.
	Owns func(prefix string) bool
}

// Sweep deletes expired records until the context ends. Open records are never deleted. It uses only the part of the
// write budget that calls leave unused.
func (m *Manager) Sweep(ctx context.Context, opts SweepOptions) {
	for {
		for _, service := range opts.Services() {
			for _, digit := range partitionDigits {
				prefix := keyPrefix + service + "/" + string(digit)
				if opts.Owns == nil || opts.Owns(prefix) {
					m.sweepPartition(ctx, prefix)
				}
			}
		}
		if !sleep(ctx, sweepInterval) {
			return
		}
	}
}

// sweepPartition makes one pass over the keys with a prefix. It stops at the first error.
func (m *Manager) sweepPartition(ctx context.Context, prefix string) {
	after := ""
	for ctx.Err() == nil {
		batch, err := m.listRecords(ctx, prefix, after)
		if err != nil {
			m.log.Debug("claim: records not listed", zap.String("prefix", prefix), zap.Error(err))
			sleep(ctx, sweepDelay)
			return
		}
		deleted, err := m.sweepBatch(ctx, batch)
		if err != nil {
			m.log.Debug("claim: record not deleted", zap.String("prefix", prefix), zap.Error(err))
			sleep(ctx, sweepDelay)
			return
		}
		if len(batch) < sweepBatchSize {
			return
		}
		after = batch[len(batch)-1].Key
		if deleted == 0 {
			sleep(ctx, sweepDelay)
		}
	}
}

// listRecords reads the next batch of records after a key.
func (m *Manager) listRecords(ctx context.Context, prefix, after string) ([]kv.Entry, error) {
	bounded, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return m.store.List(bounded, prefix, after, sweepBatchSize)
}

// sweepBatch deletes the expired records of a batch, each only if it still has the revision that was read. It returns
// the number of deleted records.
func (m *Manager) sweepBatch(ctx context.Context, batch []kv.Entry) (deleted int, err error) {
	for _, e := range batch {
		if !m.expired(e) {
			continue
		}
		for !m.writeTokens.takeBackground(true) {
			if !sleep(ctx, sweepDelay) {
				return deleted, ctx.Err()
			}
		}
		if err := m.deleteRecord(ctx, e); err != nil {
			return deleted, err
		}
		deleted++
	}
	return deleted, nil
}

// deleteRecord deletes a record if it still has the revision that was read.
func (m *Manager) deleteRecord(ctx context.Context, e kv.Entry) error {
	bounded, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return m.store.Delete(bounded, e.Key, e.Revision)
}

// expired reports whether the record may be deleted. Open records and records that cannot be decoded never expire.
func (m *Manager) expired(e kv.Entry) bool {
	r, err := decodeRecord(e.Value)
	if err != nil || r.State == stateOpen || r.ExpiresMS <= 0 {
		return false
	}
	return m.clock().After(time.UnixMilli(r.ExpiresMS).Add(clockSkewAllowance))
}
