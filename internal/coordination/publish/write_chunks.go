package publish

import (
	"context"

	"github.com/pkg/errors"

	"gooseberrytide.example/gooseberrytide/internal/state/kv"
)

// writeChunks makes sure that every chunk exists and that no garbage collector can delete it before the head is
// replaced: the head references it already, or its revision is above the head's.
func (j *publishJob) writeChunks(ctx context.Context, h head, revision kv.Revision) error {
	referenced := h.referencedChunks()
	if j.rewrite {
		referenced = nil // the head may have been written without them
	}
	for _, c := range j.chunks {
		if referenced[c.hash] {
			continue
		}
		if err := j.writeChunk(ctx, c, revision); err != nil {
			return errors.WithMessagef(err, "chunk %s", c.hash)
		}
	}
	return nil
}

// writeChunk writes a chunk, unless it already exists with a revision above headRevision.
func (j *publishJob) writeChunk(ctx context.Context, c chunk, headRevision kv.Revision) error {
	key := ChunkPrefix + c.hash
	expect := kv.Revision(0)
	delays := newDelays()
	lastErr := error(ErrContended)
	for range maxAttempts {
		written, err := j.reader.store.CompareAndSwap(ctx, key, expect, c.data)
		if err == nil && written > headRevision {
			return nil
		}
		if err != nil && !errors.Is(err, kv.ErrConflict) && !errors.Is(err, kv.ErrUncertain) {
			return err
		}
		// The chunk is left over from an earlier publish, or the response was lost. Writing a chunk again is safe,
		// because only a write of the head publishes anything.
		entry, err := j.reader.store.Get(ctx, key)
		switch {
		case err == nil && entry.Revision > headRevision:
			return nil
		case err == nil:
			expect = entry.Revision
		case errors.Is(err, kv.ErrNotFound):
			expect = 0
		default:
			lastErr = err
		}
		if !waitRetry(ctx, delays) {
			break
		}
	}
	return lastErr
}
