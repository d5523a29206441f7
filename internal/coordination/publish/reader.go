package publish

import (
	"context"

	"github.com/pkg/errors"

	"gooseberrytide.example/gooseberrytide/internal/state/kv"
	"gooseberrytide.example/gooseberrytide/internal/state/object"
	"gooseberrytide.example/gooseberrytide/internal/state/snapshot"
)

// storeReader reads configurations from the store. Chunks that the snapshot in force already has are not read.
type storeReader struct {
	store kv.Store
	local *snapshot.Holder
}

// head returns the head and its revision; both are zero when there is none.
func (r storeReader) head(ctx context.Context) (head, kv.Revision, error) {
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

// set reads and joins chunks.
func (r storeReader) set(ctx context.Context, names []string) (*object.Set, error) {
	known := r.known()
	set := object.NewSet()
	for _, hash := range names {
		data, ok := known[hash]
		if !ok {
			entry, err := r.store.Get(ctx, ChunkPrefix+hash)
			if err != nil {
				return nil, errors.WithMessagef(err, "chunk %s", hash)
			}
			data = entry.Value
		}
		if hashOf(data) != hash {
			return nil, errors.Wrapf(ErrCorrupt, "chunk %s: content does not match", hash)
		}
		if findings := object.Decode("", data, set); len(findings) > 0 {
			return nil, errors.Wrapf(ErrCorrupt, "chunk %s: %v", hash, findings)
		}
	}
	return set, nil
}

// known returns the chunks of the snapshot in force by hash.
func (r storeReader) known() map[string][]byte {
	if r.local == nil || r.local.Load() == nil {
		return nil
	}
	chunks, err := split(r.local.Load().Set())
	if err != nil {
		return nil
	}
	known := make(map[string][]byte, len(chunks))
	for _, c := range chunks {
		known[c.hash] = c.data
	}
	return known
}
