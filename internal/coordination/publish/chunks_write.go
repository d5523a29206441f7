package publish

import (
	"context"

	"github.com/pkg/errors"

	"gooseberrytide.example/gooseberrytide/internal/state/kv"
)

// writeChunks makes sure that every chunk exists and that no collector can delete it before the head is swapped:
// the head names it already, or its revision is above the head's.
func (j *publishJob) writeChunks(ctx context.Context, h head, revision kv.Revision) error {
	named := h.named()
	for _, c := range j.chunks {
		if named[c.hash] {
			continue
		}
		if err := j.writeChunk(ctx, c, revision); err != nil {
			return errors.WithMessagef(err, "chunk %s", c.hash)
		}
	}
	return nil
}

func (j *publishJob) writeChunk(ctx context.Context, c chunk, above kv.Revision) error {
	key := ChunkPrefix + c.hash
	expect := kv.Revision(0)
	pauses := newPauses()
	last := error(ErrContended)
	for range maxTries {
		written, err := j.reader.store.CompareAndSwap(ctx, key, expect, c.data)
		if err == nil && written > above {
			return nil
		}
		if err != nil && !errors.Is(err, kv.ErrConflict) && !errors.Is(err, kv.ErrUncertain) {
			return err
		}
		// The chunk is garbage of an earlier publish, or the answer was lost. A chunk is not the head, so a write
		// with unknown outcome publishes nothing.
		entry, err := j.reader.store.Get(ctx, key)
		switch {
		case err == nil && entry.Revision > above:
			return nil
		case err == nil:
			expect = entry.Revision
		case errors.Is(err, kv.ErrNotFound):
			expect = 0
		default:
			last = err
		}
		if !pause(ctx, pauses) {
			break
		}
	}
	return last
}
