package session

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/state/kv"
)

// storeLatency is the time that a call to the store takes for the first router. It is longer by storeLatencyStep for
// each further router, so that no two routers see a change at the same instant.
const (
	storeLatency     = 2 * time.Millisecond
	storeLatencyStep = 130 * time.Microsecond
)

// recordingStore records the calls of one router to the store.
type recordingStore struct {
	node *node
	kv.Store
}

// delayCall waits for the time that a call to the store takes.
func (s recordingStore) delayCall(ctx context.Context) {
	sleep(ctx, storeLatency+time.Duration(slices.Index(routerIDs, s.node.id))*storeLatencyStep)
}

// log records a call to the store, unless the call ended because its context did.
func (s recordingStore) log(ctx context.Context, key, format string, args ...any) {
	if ctx.Err() == nil {
		s.node.log(key, "%s => store  "+format, append([]any{s.node.id}, args...)...)
	}
}

// Get implements kv.Store.
func (s recordingStore) Get(ctx context.Context, key string) (kv.Entry, error) {
	s.delayCall(ctx)
	e, err := s.Store.Get(ctx, key)
	s.log(ctx, key, "get %s: revision=%d%s%s", shortKey(key), e.Revision, recordText(e.Value), errorText(err))
	return e, err
}

// CompareAndSwap implements kv.Store.
func (s recordingStore) CompareAndSwap(
	ctx context.Context, key string, expect kv.Revision, v []byte,
) (kv.Revision, error) {
	s.delayCall(ctx)
	revision, err := s.Store.CompareAndSwap(ctx, key, expect, v)
	s.log(ctx, key, "cas %s expect=%d%s: revision=%d%s", shortKey(key), expect, recordText(v), revision, errorText(err))
	return revision, err
}

// Watch implements kv.Store.
func (s recordingStore) Watch(ctx context.Context, key string, after kv.Revision) (kv.Entry, error) {
	e, err := s.Store.Watch(ctx, key, after)
	s.delayCall(ctx)
	s.log(ctx, key, "watch %s after=%d: revision=%d%s%s",
		shortKey(key), after, e.Revision, recordText(e.Value), errorText(err))
	return e, err
}

// shortKey shortens the last part of a key, a digest, to 8 characters.
func shortKey(key string) string {
	at := strings.LastIndex(key, "/") + 1
	return key[:at] + key[at:min(len(key), at+8)]
}

// recordText formats those fields of a record that are the same in each run.
func recordText(data []byte) string {
	var fields struct {
		State      string           `json:"state"`
		RequestID  string           `json:"request_id"`
		Generation ident.Generation `json:"generation"`
	}
	if json.Unmarshal(data, &fields) != nil {
		return ""
	}
	switch {
	case fields.State != "":
		return fmt.Sprintf(" state=%s request=%s", fields.State, fields.RequestID)
	case fields.Generation != 0:
		return fmt.Sprintf(" generation=%d", fields.Generation)
	}
	return ""
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return fmt.Sprintf(" error=%q", err)
}
