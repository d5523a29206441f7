package kv

import "context"

// ExactSwapper is a Store whose writes can also require the value of a key. After a restore of the store from an older
// copy another value may have the same revision.
type ExactSwapper interface {
	// SwapExact writes value if the key has the revision and the value of old, whose revision is not 0. Its results are
	// those of Store.CompareAndSwap.
	SwapExact(ctx context.Context, old Entry, value []byte) (Revision, error)
}

// SwapExact replaces an entry that was read. The write fails with ErrConflict if the key has another value at the same
// revision, unless the store is not an ExactSwapper. Errors: those of Store.CompareAndSwap.
func SwapExact(ctx context.Context, store Store, old Entry, value []byte) (Revision, error) {
	if exact, ok := store.(ExactSwapper); ok && old.Revision != 0 {
		return exact.SwapExact(ctx, old, value)
	}
	return store.CompareAndSwap(ctx, old.Key, old.Revision, value)
}
