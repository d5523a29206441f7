package publish

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"gooseberrytide.example/gooseberrytide/internal/state/kv"
	"gooseberrytide.example/gooseberrytide/internal/state/periodic"
	"gooseberrytide.example/gooseberrytide/internal/state/snapshot"
)

// storeLoop watches the head, or reads it from time to time.
func (s *Syncer) storeLoop(ctx context.Context) {
	next := s.nextPoll()
	for periodic.Sleep(ctx, storeTick) {
		if s.opts.Watch() {
			s.watch(ctx)
			next = s.nextPoll()
			continue
		}
		now := s.opts.Clock()
		due := now.After(next) || !s.hearsMajority() && now.Sub(s.lastConfirmed()) >= confirmInterval
		if due {
			_ = s.confirm(ctx)
			next = s.nextPoll()
		}
	}
}

// nextPoll spreads the reads of routers that started together.
func (s *Syncer) nextPoll() time.Time {
	return s.opts.Clock().Add(pollInterval/2 + rand.N(pollInterval))
}

func (s *Syncer) lastConfirmed() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.confirmed
}

// watch waits for a new head for a while, and reads the head when none comes.
func (s *Syncer) watch(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, watchLimit)
	defer cancel()
	s.mu.Lock()
	after := s.revision
	s.mu.Unlock()
	// The event may have been under way for some time, so it confirms the head as of the watch's begin.
	began := s.opts.Clock()
	entry, err := s.opts.Store.Watch(limited, HeadKey, after)
	if err != nil {
		_ = s.confirm(ctx)
		return
	}
	h, err := decodeHead(entry.Value)
	if err != nil {
		s.opts.Logger.Error("sync: head is corrupt", zap.Error(err))
		return
	}
	s.noteHead(h, entry.Revision, began)
}

// confirm reads the head and records what it says.
func (s *Syncer) confirm(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, confirmLimit)
	defer cancel()
	began := s.opts.Clock()
	h, revision, err := s.reader.head(ctx)
	if err != nil {
		return err
	}
	s.noteHead(h, revision, began)
	return nil
}

// noteHead records a head that a call returned which began at a time. A head below the generation in force is an
// old read and confirms nothing.
func (s *Syncer) noteHead(h head, revision kv.Revision, began time.Time) {
	hears := s.hearsMajority()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision = max(s.revision, revision)
	if h.Generation < s.generation() {
		s.counts.OldReads++
		return
	}
	// Learning comes first: a head above the generation in force does not make the router fresh.
	if h.Generation > s.generation() {
		s.learn(h.Generation, hears)
	}
	if began.After(s.confirmed) {
		s.confirmed = began
	}
}

// pullStore brings the store's configuration into force if it is higher.
func (s *Syncer) pullStore(ctx context.Context) error {
	began := s.opts.Clock()
	h, revision, err := s.reader.head(ctx)
	if err != nil {
		return err
	}
	s.noteHead(h, revision, began)
	if h.Generation <= s.generation() {
		return errors.Errorf("sync: store has generation %d", h.Generation)
	}
	set, err := s.reader.set(ctx, h.Chunks)
	if err != nil {
		return err
	}
	next, err := snapshot.Build(h.Generation, set)
	if err != nil {
		return err
	}
	s.count(func(c *SyncCounts) { c.StorePulls++ })
	s.advance(next)
	return nil
}
