package etcdkv

import (
	"context"
	"encoding/json"
	"io"

	"github.com/pkg/errors"

	"gooseberrytide.example/gooseberrytide/internal/state/kv"
)

const (
	pathRange = "/v3/kv/range"
	pathTxn   = "/v3/kv/txn"
	pathWatch = "/v3/watch"
)

// readError converts the error of a read. Reads have no effect, so a lost response is reported as kv.ErrUnavailable.
func readError(callErr *callError) error {
	if callErr.code == codeResourceExhausted {
		return kv.ErrThrottled
	}
	return errors.WithMessage(kv.ErrUnavailable, callErr.Error())
}

// writeError converts the error of a write. The result is kv.ErrUncertain unless the store refused the write or never
// received it.
func (c *Client) writeError(callErr *callError) error {
	switch {
	case callErr.code == codeResourceExhausted:
		return kv.ErrThrottled
	case callErr.maybeSent:
		c.counts.uncertain.Add(1)
		return errors.WithMessage(kv.ErrUncertain, callErr.Error())
	}
	return errors.WithMessage(kv.ErrUnavailable, callErr.Error())
}

func (pair keyValue) toEntry() kv.Entry {
	return kv.Entry{Key: string(pair.Key), Value: pair.Value, Revision: kv.Revision(pair.ModRevision)}
}

// Get implements kv.Store.
func (c *Client) Get(ctx context.Context, key string) (kv.Entry, error) {
	c.counts.gets.Add(1)
	var response rangeResponse
	if callErr := c.call(ctx, pathRange, rangeRequest{Key: []byte(key)}, &response); callErr != nil {
		return kv.Entry{}, readError(callErr)
	}
	if len(response.Kvs) == 0 {
		return kv.Entry{}, kv.ErrNotFound
	}
	return response.Kvs[0].toEntry(), nil
}

// List implements kv.Store.
func (c *Client) List(ctx context.Context, prefix, after string, limit int) ([]kv.Entry, error) {
	if limit <= 0 {
		return nil, nil
	}
	c.counts.lists.Add(1)
	start := prefix
	if after >= prefix {
		// The first key that sorts after the key "after" in byte order.
		start = after + "\x00"
	}
	request := rangeRequest{Key: []byte(start), RangeEnd: prefixEnd(prefix), Limit: int64(limit)}
	var response rangeResponse
	if callErr := c.call(ctx, pathRange, request, &response); callErr != nil {
		return nil, readError(callErr)
	}
	entries := make([]kv.Entry, len(response.Kvs))
	for i, found := range response.Kvs {
		entries[i] = found.toEntry()
	}
	return entries, nil
}

// prefixEnd returns the first key after all keys with the prefix. The key "\x00" means that there is no upper bound.
func prefixEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}

// CompareAndSwap implements kv.Store.
func (c *Client) CompareAndSwap(
	ctx context.Context, key string, expect kv.Revision, value []byte,
) (kv.Revision, error) {
	if len(value) > kv.MaxValueBytes {
		return 0, kv.ErrTooLarge
	}
	c.counts.writes.Add(1)
	condition := revisionIs(key, expect)
	return c.txn(ctx, requestOp{Put: &putRequest{Key: []byte(key), Value: value}}, condition)
}

// SwapExact implements kv.ExactSwapper.
func (c *Client) SwapExact(ctx context.Context, old kv.Entry, value []byte) (kv.Revision, error) {
	if len(value) > kv.MaxValueBytes {
		return 0, kv.ErrTooLarge
	}
	c.counts.writes.Add(1)
	sameValue := compare{Key: []byte(old.Key), Target: targetValue, Result: resultEqual, Value: old.Value}
	return c.txn(ctx, requestOp{Put: &putRequest{Key: []byte(old.Key), Value: value}},
		revisionIs(old.Key, old.Revision), sameValue)
}

// Delete implements kv.Store.
func (c *Client) Delete(ctx context.Context, key string, expect kv.Revision) error {
	c.counts.deletes.Add(1)
	_, err := c.txn(ctx, requestOp{Delete: &deleteRequest{Key: []byte(key)}}, revisionIs(key, expect))
	return err
}

// revisionIs returns the condition that a key has a revision.
func revisionIs(key string, expect kv.Revision) compare {
	revision := int64(expect)
	return compare{Key: []byte(key), Target: targetMod, Result: resultEqual, ModRevision: &revision}
}

// txn performs a write if all conditions hold, and returns its revision.
func (c *Client) txn(ctx context.Context, op requestOp, conditions ...compare) (kv.Revision, error) {
	request := txnRequest{Compare: conditions, Success: []requestOp{op}}
	var response txnResponse
	if callErr := c.call(ctx, pathTxn, request, &response); callErr != nil {
		return 0, c.writeError(callErr)
	}
	if !response.Succeeded {
		return 0, kv.ErrConflict
	}
	return kv.Revision(response.Header.Revision), nil
}

// Watch implements kv.Store. If the store has compacted the events after the revision, it reads the key instead.
func (c *Client) Watch(ctx context.Context, key string, after kv.Revision) (kv.Entry, error) {
	c.counts.watches.Add(1)
	entry, err := c.watchOrRead(ctx, key, after)
	if ctx.Err() != nil {
		return kv.Entry{}, ctx.Err()
	}
	return entry, err
}

func (c *Client) watchOrRead(ctx context.Context, key string, after kv.Revision) (kv.Entry, error) {
	startRevision := int64(after) + 1
	for {
		found, compacted, err := c.watchOnce(ctx, key, startRevision)
		if err != nil || found != nil {
			return entryOrZero(found), err
		}
		entry, err := c.Get(ctx, key)
		if err == nil && entry.Revision > after {
			return entry, nil
		}
		if err != nil && !errors.Is(err, kv.ErrNotFound) {
			return kv.Entry{}, err
		}
		startRevision = compacted
	}
}

func entryOrZero(found *kv.Entry) kv.Entry {
	if found == nil {
		return kv.Entry{}
	}
	return *found
}

// watchOnce waits for a put event of the key. If the store has compacted the start revision, it returns no entry and
// the first revision that the store still has.
func (c *Client) watchOnce(ctx context.Context, key string, start int64) (*kv.Entry, int64, error) {
	request := watchRequest{Create: watchCreateRequest{Key: []byte(key), StartRevision: start}}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	body, callErr := c.open(ctx, pathWatch, request)
	if callErr != nil {
		c.counts.failed.Add(1)
		return nil, 0, readError(callErr)
	}
	defer body.Close()
	limited := &io.LimitedReader{R: body}
	decoder := json.NewDecoder(limited)
	for {
		limited.N = maxResponseBytes
		var message watchResponse
		if err := decoder.Decode(&message); err != nil {
			c.counts.failed.Add(1)
			return nil, 0, errors.WithMessage(kv.ErrUnavailable, "watch stream failed: "+err.Error())
		}
		if message.Error != nil {
			return nil, 0, errors.WithMessage(kv.ErrUnavailable, message.Error.Message)
		}
		if message.Result.CompactRevision > 0 {
			return nil, message.Result.CompactRevision, nil
		}
		if message.Result.Canceled {
			return nil, 0, errors.WithMessage(kv.ErrUnavailable, "watch canceled by the store")
		}
		if found := lastPut(message.Result.Events); found != nil {
			return found, 0, nil
		}
	}
}

// lastPut returns the entry of the latest put among the events, or nil if there is no put.
func lastPut(events []event) *kv.Entry {
	for i := len(events) - 1; i >= 0; i-- {
		if events[i].Type != eventDelete {
			entry := events[i].Kv.toEntry()
			return &entry
		}
	}
	return nil
}
