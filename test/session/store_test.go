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

// storeTime is the time of a call to the store. It is longer by storeSpread for each further router, so that no two see a
// change at the same instant.
const (
	storeTime   = 2 * time.Millisecond
	storeSpread = 130 * time.Microsecond
)

// recordingStore records the calls of one router to the store.
type recordingStore struct {
	n *node
	kv.Store
}

// travel takes the time of a call.
func (s recordingStore) travel(ctx context.Context) {
	pause(ctx, storeTime+time.Duration(slices.Index(routerIDs, s.n.id))*storeSpread)
}

// log records a call unless it ended with the session.
func (s recordingStore) log(ctx context.Context, key, format string, args ...any) {
	if ctx.Err() == nil {
		s.n.log(key, "%s => store  "+format, append([]any{s.n.id}, args...)...)
	}
}

// Get implements kv.Store.
func (s recordingStore) Get(ctx context.Context, key string) (kv.Entry, error) {
	s.travel(ctx)
	e, err := s.Store.Get(ctx, key)
	s.log(ctx, key, "get %s: revision=%d%s%s", short(key), e.Revision, value(e.Value), failure(err))
	return e, err
}

// CompareAndSwap implements kv.Store.
func (s recordingStore) CompareAndSwap(ctx context.Context, key string, expect kv.Revision, v []byte) (kv.Revision, error) {
	s.travel(ctx)
	revision, err := s.Store.CompareAndSwap(ctx, key, expect, v)
	s.log(ctx, key, "cas %s expect=%d%s: revision=%d%s", short(key), expect, value(v), revision, failure(err))
	return revision, err
}

// Watch implements kv.Store.
func (s recordingStore) Watch(ctx context.Context, key string, after kv.Revision) (kv.Entry, error) {
	e, err := s.Store.Watch(ctx, key, after)
	s.travel(ctx)
	s.log(ctx, key, "watch %s after=%d: revision=%d%s%s", short(key), after, e.Revision, value(e.Value), failure(err))
	return e, err
}

// short cuts the digest at the end of a key.
func short(key string) string {
	at := strings.LastIndex(key, "/") + 1
	return key[:at] + key[at:min(len(key), at+8)]
}

// value names the fields of a record that are the same in each run.
func value(data []byte) string {
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

func failure(err error) string {
	if err == nil {
		return ""
	}
	return fmt.Sprintf(" error=%q", err)
}
