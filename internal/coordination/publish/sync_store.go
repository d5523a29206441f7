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

// storeLoop watches the head if this router watches the store, and otherwise reads it periodically, until the context
// ends.
func (s *Syncer) storeLoop(ctx context.Context) {
	next := s.nextPoll()
	for periodic.Sleep(ctx, storeCheckInterval) {
		if s.opts.Watch() {
			s.watch(ctx)
			next = s.nextPoll()
			continue
		}
		now := s.opts.Clock()
		due := now.After(next) || !s.hasMajorityContact() && now.Sub(s.confirmationTime()) >= confirmInterval
		if due {
			_ = s.confirmHead(ctx)
			next = s.nextPoll()
		}
	}
}

// nextPoll returns a randomized time for the next read of the head, so that routers that started together do not read
// at the same time.
func (s *Syncer) nextPoll() time.Time {
	return s.opts.Clock().Add(pollInterval/2 + rand.N(pollInterval))
}

func (s *Syncer) confirmationTime() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.confirmed
}

// watch waits up to watchTimeout for a new head, and reads the head when none arrives.
func (s *Syncer) watch(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	s.mu.Lock()
	after := s.revision
	s.mu.Unlock()
	// The event may have been delayed, so it only confirms the head as of the start of the watch.
	startTime := s.opts.Clock()
	entry, err := s.opts.Store.Watch(limited, HeadKey, after)
	if err != nil {
		_ = s.confirmHead(ctx)
		return
	}
	h, err := decodeHead(entry.Value)
	if err != nil {
		s.opts.Logger.Error("sync: head is corrupt", zap.Error(err))
		return
	}
	s.recordHead(h, entry.Revision, startTime)
}

// confirmHead reads and records the head.
func (s *Syncer) confirmHead(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, headReadTimeout)
	defer cancel()
	startTime := s.opts.Clock()
	h, revision, err := s.reader.readHead(ctx)
	if err != nil {
		return err
	}
	s.recordHead(h, revision, startTime)
	return nil
}

// recordHead records a head that was returned by a call started at startTime. A head below the generation in force is a
// stale read and confirms nothing.
func (s *Syncer) recordHead(h head, revision kv.Revision, startTime time.Time) {
	majorityContact := s.hasMajorityContact()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision = max(s.revision, revision)
	if h.Generation < s.generation() {
		s.counts.StaleReads++
		return
	}
	// The order matters: addGeneration must see the previous time of confirmation, because a head above the generation
	// in force does not confirm the configuration in force.
	if h.Generation > s.generation() {
		s.addGeneration(h.Generation, majorityContact)
	}
	if startTime.After(s.confirmed) {
		s.confirmed = startTime
	}
}

// pullStore brings the store's configuration into force. It returns an error when its generation is not higher.
func (s *Syncer) pullStore(ctx context.Context) error {
	startTime := s.opts.Clock()
	h, revision, err := s.reader.readHead(ctx)
	if err != nil {
		return err
	}
	s.recordHead(h, revision, startTime)
	if h.Generation <= s.generation() {
		return errors.Errorf("sync: store has generation %d", h.Generation)
	}
	set, err := s.reader.readSet(ctx, h.Chunks)
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
