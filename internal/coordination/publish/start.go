package publish

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/state/periodic"
)

// maxProbes is the number of probes at once.
const maxProbes = 32

// start brings the first configuration into force. It needs the store and what the reachable routers have, or,
// when the store is down, the answers of a majority of the listed VMs. Routers that have not completed their own
// start do not count.
func (s *Syncer) start(ctx context.Context) {
	s.awaitMajority(ctx)
	pauses := newPauses()
	for !s.tryStart(ctx) {
		if !pause(ctx, pauses) {
			return
		}
	}
	s.mu.Lock()
	s.ready = true
	s.mu.Unlock()
	s.opts.Logger.Info("sync: start complete", zap.Uint64("generation", uint64(s.generation())))
}

// awaitMajority gives the members time to find each other, because the store alone may answer with an old read.
func (s *Syncer) awaitMajority(ctx context.Context) {
	deadline := s.opts.Clock().Add(startGrace)
	for !s.hearsMajority() && s.opts.Clock().Before(deadline) {
		if !periodic.Sleep(ctx, storeTick) {
			return
		}
	}
}

func (s *Syncer) tryStart(ctx context.Context) bool {
	answers := s.probeAll(ctx)
	err := s.confirm(ctx)
	if err != nil && !majority(answers, s.opts.Peers.Listed()) {
		s.opts.Logger.Warn("sync: start waits for the store or a majority",
			zap.Int("answers", answers), zap.Int("listed", s.opts.Peers.Listed()), zap.Error(err))
		return false
	}
	if s.behind() {
		s.catchUp(ctx)
	}
	return !s.behind()
}

// probeAll asks all live routers for their generation and returns the number of answers that count.
func (s *Syncer) probeAll(ctx context.Context) int {
	var (
		answers atomic.Int64
		group   sync.WaitGroup
		slots   = make(chan struct{}, maxProbes)
	)
	for _, peer := range s.opts.Peers.Live() {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			if s.probe(ctx, peer) {
				answers.Add(1)
			}
		})
	}
	group.Wait()
	return int(answers.Load())
}

func (s *Syncer) probe(ctx context.Context, peer ident.RouterID) bool {
	ctx, cancel := context.WithTimeout(ctx, probeLimit)
	defer cancel()
	answer, err := s.opts.Peers.Pull(ctx, peer, PullRequest{Probe: true})
	if err != nil || !answer.Ready {
		return false
	}
	s.PeerGeneration(peer, answer.Generation)
	return true
}

// Ready says whether the start is complete.
func (s *Syncer) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ready
}

// Confirmed returns when the head was last confirmed at the store, or the zero time.
func (s *Syncer) Confirmed() time.Time { return s.lastConfirmed() }
