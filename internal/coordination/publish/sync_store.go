package publish

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"gooseberrytide.example/gooseberrytide/internal/state/ident"
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
	cluster := s.opts.Cluster()
	entry, err := s.opts.Store.Watch(limited, HeadKey, after)
	if err != nil || cluster != s.opts.Cluster() {
		_ = s.confirmHead(ctx)
		return
	}
	h, err := decodeHead(entry.Value)
	if err != nil {
		s.opts.Logger.Error("sync: head is corrupt", zap.Error(err))
		return
	}
	s.recordHead(h, entry.Revision, cluster, startTime)
}

// confirmHead reads and records the head.
func (s *Syncer) confirmHead(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, headReadTimeout)
	defer cancel()
	_, err := s.readHead(ctx)
	return err
}

// readHead reads and records the head. It returns ErrStoreRestored if the store was restored from an older copy during
// the read: the store may no longer have the head.
func (s *Syncer) readHead(ctx context.Context) (head, error) {
	startTime := s.opts.Clock()
	before := s.opts.Cluster()
	h, revision, err := s.reader.readHead(ctx)
	if err != nil {
		return head{}, err
	}
	cluster := s.opts.Cluster()
	if before != "" && before != cluster {
		return head{}, ErrStoreRestored
	}
	s.recordHead(h, revision, cluster, startTime)
	return h, nil
}

// recordHead records a head that the store, as the given cluster, returned to a call that began at startTime. A head
// below the generation in force is a stale read and confirms nothing.
func (s *Syncer) recordHead(h head, revision kv.Revision, cluster string, startTime time.Time) {
	majorityContact := s.hasMajorityContact()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordRevision(revision, cluster)
	if h.Generation < s.generation() {
		s.counts.StaleReads++
		s.recordLoss(h)
		return
	}
	s.restored = false
	if h.Generation > 0 {
		s.headCluster = s.cluster
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

// recordRevision records the revision from which the head is watched. The caller holds mu.
func (s *Syncer) recordRevision(revision kv.Revision, cluster string) {
	if cluster != s.cluster {
		s.dropLostHeads()
		s.cluster, s.revision = cluster, revision
		return
	}
	s.revision = max(s.revision, revision)
}

// dropLostHeads forgets the missing generations that were known from the store only, after a restore that may have lost
// them. They were not acknowledged, because no router had them in force. The caller holds mu.
func (s *Syncer) dropLostHeads() {
	announced := ident.Generation(0)
	for _, gen := range s.sources {
		announced = max(announced, gen)
	}
	s.missing = slices.DeleteFunc(s.missing, func(m missingGeneration) bool { return m.generation > announced })
}

// recordLoss records a head below the generation in force. If it was not written in the store's present cluster, the
// store was restored from an older copy. The caller holds mu.
func (s *Syncer) recordLoss(h head) {
	if s.cluster == "" || h.Cluster == s.cluster {
		return
	}
	if !s.restored {
		s.opts.Logger.Warn("sync: restored store lacks the configuration in force",
			zap.Uint64("generation", uint64(s.generation())), zap.Uint64("stored", uint64(h.Generation)))
	}
	s.stored, s.restored = h.Generation, true
}

// HeadCluster implements FleetState.
func (s *Syncer) HeadCluster() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.headCluster
}

// LostGeneration returns the generation in the store, and true if the store was restored from an older copy and lacks
// the generation in force.
func (s *Syncer) LostGeneration() (ident.Generation, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stored, s.restored
}

// pullStore brings the store's configuration into force. It returns an error when its generation is not higher.
func (s *Syncer) pullStore(ctx context.Context) error {
	h, err := s.readHead(ctx)
	if err != nil {
		return err
	}
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
