package claim

import (
	"context"
	"time"

	"go.uber.org/zap"

	"gooseberrytide.example/gooseberrytide/internal/state/kv"
)

const (
	// sweepBatch is the number of records that one read returns. With bodies of 512 KB it is about 11 MB.
	sweepBatch = 16
	// sweepPause is the pause between reads that found nothing to delete, and after an error.
	sweepPause = time.Second
	// sweepRest is the pause after a pass over all partitions.
	sweepRest = time.Minute
	// sweepSlack is added to a record's expiry, because the clocks of VMs differ.
	sweepSlack = 5 * time.Minute
	// partitions are the first digits of the hashes that end the keys.
	partitions = "0123456789abcdef"
)

// SweepOptions say which records a router deletes.
type SweepOptions struct {
	// Services returns the names of the services.
	Services func() []string
	// Owns reports whether this router sweeps the keys that begin with the prefix. Several owners do no harm.
	// Default: it sweeps all.
	Owns func(prefix string) bool
}

// Sweep deletes records that have expired, until the context ends. Open records are never deleted. It uses only
// writes that calls leave over.
func (m *Manager) Sweep(ctx context.Context, opts SweepOptions) {
	for {
		for _, service := range opts.Services() {
			for _, digit := range partitions {
				prefix := keyPrefix + service + "/" + string(digit)
				if opts.Owns == nil || opts.Owns(prefix) {
					m.sweepPartition(ctx, prefix)
				}
			}
		}
		if !pause(ctx, sweepRest) {
			return
		}
	}
}

// sweepPartition makes one pass over the keys with a prefix.
func (m *Manager) sweepPartition(ctx context.Context, prefix string) {
	after := ""
	for ctx.Err() == nil {
		batch, err := m.list(ctx, prefix, after)
		if err != nil {
			m.log.Debug("claim: records not listed", zap.String("prefix", prefix), zap.Error(err))
			pause(ctx, sweepPause)
			return
		}
		deleted, err := m.sweepBatch(ctx, batch)
		if err != nil {
			m.log.Debug("claim: record not deleted", zap.String("prefix", prefix), zap.Error(err))
			pause(ctx, sweepPause)
			return
		}
		if len(batch) < sweepBatch {
			return
		}
		after = batch[len(batch)-1].Key
		if deleted == 0 {
			pause(ctx, sweepPause)
		}
	}
}

func (m *Manager) list(ctx context.Context, prefix, after string) ([]kv.Entry, error) {
	bounded, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return m.store.List(bounded, prefix, after, sweepBatch)
}

// sweepBatch deletes the expired records of a batch. Each is deleted only at the revision that was read.
func (m *Manager) sweepBatch(ctx context.Context, batch []kv.Entry) (deleted int, err error) {
	for _, e := range batch {
		if !m.expired(e) {
			continue
		}
		for !m.writes.takeOne(true) {
			if !pause(ctx, sweepPause) {
				return deleted, ctx.Err()
			}
		}
		if err := m.remove(ctx, e); err != nil {
			return deleted, err
		}
		deleted++
	}
	return deleted, nil
}

func (m *Manager) remove(ctx context.Context, e kv.Entry) error {
	bounded, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return m.store.Delete(bounded, e.Key, e.Revision)
}

func (m *Manager) expired(e kv.Entry) bool {
	r, err := decodeRecord(e.Value)
	if err != nil || r.State == stateOpen || r.ExpiresMS <= 0 {
		return false
	}
	return m.clock().After(time.UnixMilli(r.ExpiresMS).Add(sweepSlack))
}
