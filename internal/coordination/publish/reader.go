package publish

import (
	"context"

	"github.com/pkg/errors"

	"gooseberrytide.example/gooseberrytide/internal/state/kv"
	"gooseberrytide.example/gooseberrytide/internal/state/object"
	"gooseberrytide.example/gooseberrytide/internal/state/snapshot"
)

// storeReader reads configurations from the store. It takes chunks that the snapshot in force has from there.
type storeReader struct {
	store kv.Store
	local *snapshot.Holder
}

// readHead returns the head and its revision; both are zero when there is none.
func (r storeReader) readHead(ctx context.Context) (head, kv.Revision, error) {
	entry, err := r.store.Get(ctx, HeadKey)
	if errors.Is(err, kv.ErrNotFound) {
		return head{}, 0, nil
	}
	if err != nil {
		return head{}, 0, err
	}
	h, err := decodeHead(entry.Value)
	return h, entry.Revision, err
}

// swapHead replaces the head that was read at the revision. It also compares the value, because another head may have
// the same revision after a restore of the store.
func (r storeReader) swapHead(ctx context.Context, old head, revision kv.Revision, value []byte) (kv.Revision, error) {
	return kv.SwapExact(ctx, r.store, kv.Entry{Key: HeadKey, Value: old.raw, Revision: revision}, value)
}

// readSet reads the chunks with the hashes and returns the set of their objects. Errors: kv errors, ErrCorrupt.
func (r storeReader) readSet(ctx context.Context, hashes []string) (*object.Set, error) {
	local := r.localChunks()
	set := object.NewSet()
	for _, hash := range hashes {
		data, ok := local[hash]
		if !ok {
			entry, err := r.store.Get(ctx, ChunkPrefix+hash)
			if err != nil {
				return nil, errors.WithMessagef(err, "chunk %s", hash)
			}
			data = entry.Value
		}
		if contentHash(data) != hash {
			return nil, errors.Wrapf(ErrCorrupt, "chunk %s: content does not match", hash)
		}
		if findings := object.Decode("", data, set); len(findings) > 0 {
			return nil, errors.Wrapf(ErrCorrupt, "chunk %s: %v", hash, findings)
		}
	}
	return set, nil
}

// localChunks returns the chunks of the snapshot in force by hash.
func (r storeReader) localChunks() map[string][]byte {
	if r.local == nil || r.local.Load() == nil {
		return nil
	}
	chunks, err := splitChunks(r.local.Load().Set())
	if err != nil {
		return nil
	}
	byHash := make(map[string][]byte, len(chunks))
	for _, c := range chunks {
		byHash[c.hash] = c.data
	}
	return byHash
}
