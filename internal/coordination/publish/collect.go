package publish

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"strings"

	"github.com/pkg/errors"

	"gooseberrytide.example/gooseberrytide/internal/state/kv"
)

// listPageSize is the maximum number of chunks per list call, which bounds its response to 8 MB.
const listPageSize = 8

// CollectGarbage deletes the chunks that neither the head's version nor its past versions reference, and returns their
// number. It is safe at any time and on several routers at once. Once an hour is enough, because each publish leaves
// about one unreferenced chunk. Errors: kv errors, ErrCorrupt, ErrStoreRestored; chunks deleted before the error stay
// deleted.
func (p *Publisher) CollectGarbage(ctx context.Context) (int, error) {
	cluster := p.cluster()
	listed, err := p.listChunks(ctx)
	if err != nil {
		return 0, err
	}
	h, revision, err := p.reader.readHead(ctx)
	if err != nil {
		return 0, err
	}
	garbage := unreferenced(listed, h)
	if revision == 0 || len(garbage) == 0 {
		return 0, nil
	}
	if err := p.fencePublishers(ctx, h, revision); err != nil {
		return 0, err
	}
	return p.deleteChunks(ctx, garbage, cluster)
}

// listedChunk is a chunk's key with its revision at the time of listing.
type listedChunk struct {
	key      string
	revision kv.Revision
}

// listChunks returns all chunks in the store.
func (p *Publisher) listChunks(ctx context.Context) ([]listedChunk, error) {
	var all []listedChunk
	after := ""
	for {
		page, err := p.reader.store.List(ctx, ChunkPrefix, after, listPageSize)
		if err != nil {
			return nil, err
		}
		for _, entry := range page {
			all = append(all, listedChunk{entry.Key, entry.Revision})
			after = entry.Key
		}
		if len(page) < listPageSize {
			return all, nil
		}
	}
}

// unreferenced returns the chunks that no version of the head references.
func unreferenced(all []listedChunk, h head) []listedChunk {
	referenced := h.referencedChunks()
	var garbage []listedChunk
	for _, c := range all {
		if !referenced[strings.TrimPrefix(c.key, ChunkPrefix)] {
			garbage = append(garbage, c)
		}
	}
	return garbage
}

// fencePublishers rewrites the head with a new Collected value, so that publishers that read it before fail their
// compare-and-swap.
func (p *Publisher) fencePublishers(ctx context.Context, h head, revision kv.Revision) error {
	h.Collected = rand.Text()
	value, err := json.Marshal(h)
	if err != nil {
		return errors.Wrap(err, "publish: encode head")
	}
	_, err = p.reader.swapHead(ctx, h, revision, value)
	return err
}

// deleteChunks deletes the chunks that still have their listed revision and returns their number. It stops when the
// store no longer is the cluster that they were listed in: a chunk that was written again may have the listed revision
// there.
func (p *Publisher) deleteChunks(ctx context.Context, garbage []listedChunk, cluster string) (int, error) {
	deleted := 0
	for _, c := range garbage {
		if p.cluster() != cluster {
			return deleted, ErrStoreRestored
		}
		err := p.reader.store.Delete(ctx, c.key, c.revision)
		if errors.Is(err, kv.ErrConflict) {
			// A publisher wrote the chunk again.
			continue
		}
		if err != nil {
			return deleted, err
		}
		deleted++
	}
	return deleted, nil
}
