package publish

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"strings"

	"github.com/pkg/errors"

	"gooseberrytide.example/gooseberrytide/internal/state/kv"
)

// collectPage bounds the chunks of one list call, and so its answer to 8 MB.
const collectPage = 8

// Collect deletes chunks that neither the head nor its past versions name, and returns their number. It is safe at
// any time and on several routers at once; once an hour is enough, because each publish leaves about one chunk.
// Errors: kv errors, ErrCorrupt; what was deleted before stays deleted.
func (p *Publisher) Collect(ctx context.Context) (int, error) {
	listed, err := p.listChunks(ctx)
	if err != nil {
		return 0, err
	}
	h, revision, err := p.reader.head(ctx)
	if err != nil {
		return 0, err
	}
	garbage := unnamed(listed, h)
	if revision == 0 || len(garbage) == 0 {
		return 0, nil
	}
	if err := p.fence(ctx, h, revision); err != nil {
		return 0, err
	}
	return p.deleteChunks(ctx, garbage)
}

// listed is a chunk with the revision that it had when it was listed.
type listed struct {
	key      string
	revision kv.Revision
}

func (p *Publisher) listChunks(ctx context.Context) ([]listed, error) {
	var all []listed
	after := ""
	for {
		page, err := p.reader.store.List(ctx, ChunkPrefix, after, collectPage)
		if err != nil {
			return nil, err
		}
		for _, entry := range page {
			all = append(all, listed{entry.Key, entry.Revision})
			after = entry.Key
		}
		if len(page) < collectPage {
			return all, nil
		}
	}
}

func unnamed(all []listed, h head) []listed {
	named := h.named()
	var garbage []listed
	for _, c := range all {
		if !named[strings.TrimPrefix(c.key, ChunkPrefix)] {
			garbage = append(garbage, c)
		}
	}
	return garbage
}

// fence rewrites the head, so that publishers that read it before fail their swap.
func (p *Publisher) fence(ctx context.Context, h head, revision kv.Revision) error {
	h.Collected = rand.Text()
	value, err := json.Marshal(h)
	if err != nil {
		return errors.Wrap(err, "publish: encode head")
	}
	_, err = p.reader.store.CompareAndSwap(ctx, HeadKey, revision, value)
	return err
}

func (p *Publisher) deleteChunks(ctx context.Context, garbage []listed) (int, error) {
	deleted := 0
	for _, c := range garbage {
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
