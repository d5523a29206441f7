package order

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/state/kv"
)

// keyPrefix begins the order keys; the engine's name follows.
const keyPrefix = "orders/"

// errOldConfiguration reports that an order of a newer configuration was given already.
var errOldConfiguration = errors.New("order: a newer configuration was ordered")

// record is the value of an order key: the last order to the engine.
type record struct {
	// ID names the write, so that a lost answer can be settled by reading back.
	ID string `json:"id"`
	// Generation is the configuration that the target comes from.
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

// writeRecord replaces the order record and returns its revision, the fencing number. A lost answer is settled by
// reading back. When that shows another record, the write may still take effect; it is not the caller's order then,
// and the next compare-and-swap decides between the two.
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
