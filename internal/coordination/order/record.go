package order

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"gooseberrytide.example/gooseberrytide/internal/coordination/fencing"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/state/kv"
)

// keyPrefix is the prefix of the order keys; the engine's name follows.
const keyPrefix = "orders/"

// errNewerConfiguration reports that an order of a newer configuration was already recorded.
var errNewerConfiguration = errors.New("order: a newer configuration was ordered")

// record is the value of an order key: the last order to the engine.
type record struct {
	// ID identifies the write, so that an uncertain outcome can be resolved by reading the record back.
	ID string `json:"id"`
	// Generation is the generation of the configuration that the target comes from.
	Generation ident.Generation `json:"generation"`
	Target
}

// readRecord returns the engine's order record and its revision; both are zero when there is none.
func readRecord(ctx context.Context, store kv.Store, key string) (record, kv.Revision, error) {
	entry, err := store.Get(ctx, key)
	if errors.Is(err, kv.ErrNotFound) {
		return record{}, 0, nil
	}
	if err != nil {
		return record{}, 0, err
	}
	var r record
	if err := json.Unmarshal(entry.Value, &r); err != nil {
		return record{}, 0, fmt.Errorf("order: record %s: %w", key, err)
	}
	return r, entry.Revision, nil
}

// writeFenced replaces the order record and returns the fencing number of its revision. It returns fencing.ErrRestored
// if the store was restored during the write. Its other errors are those of writeRecord.
func writeFenced(
	ctx context.Context, store kv.Store, epoch fencing.Epoch, key string, expect kv.Revision, r record,
) (int64, error) {
	revision, err := writeRecord(ctx, store, key, expect, r)
	if err != nil {
		return 0, err
	}
	return epoch.Number(revision)
}

// writeRecord replaces the order record and returns its revision. If the outcome of the write is
// uncertain, the record is read back. If that shows another record, writeRecord returns kv.ErrUncertain: the write may
// still take effect, but the caller must not send its order, and the next compare-and-swap decides between the two
// records.
func writeRecord(ctx context.Context, store kv.Store, key string, expect kv.Revision, r record) (kv.Revision, error) {
	value, err := json.Marshal(r)
	if err != nil {
		return 0, err
	}
	revision, err := store.CompareAndSwap(ctx, key, expect, value)
	if !errors.Is(err, kv.ErrUncertain) {
		return revision, err
	}
	found, revision, readErr := readRecord(ctx, store, key)
	if readErr != nil {
		return 0, readErr
	}
	if found.ID != r.ID {
		return 0, err
	}
	return revision, nil
}
