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

// maxConcurrentProbes is the maximum number of routers that a start probes at the same time.
const maxConcurrentProbes = 32

// start brings the first configuration into force. It needs the store and what the reachable routers have, or, when
// the store is down, responses from a majority of the listed VMs. Routers that have not completed their own start do
// not count.
func (s *Syncer) start(ctx context.Context) {
	s.awaitContact(ctx)
	delays := newDelays()
	for !s.tryStart(ctx) {
		if !waitRetry(ctx, delays) {
			return
		}
	}
	s.mu.Lock()
	s.ready = true
	s.mu.Unlock()
	s.opts.Logger.Info("sync: start complete", zap.Uint64("generation", uint64(s.generation())))
}

// awaitContact waits up to startGrace for contact with a majority, because a read from the store alone may be stale.
func (s *Syncer) awaitContact(ctx context.Context) {
	deadline := s.opts.Clock().Add(startGrace)
	for !s.hasMajorityContact() && s.opts.Clock().Before(deadline) {
		if !periodic.Sleep(ctx, storeCheckInterval) {
			return
		}
	}
}

// tryStart makes one attempt to start and reports whether the newest known configuration is in force.
func (s *Syncer) tryStart(ctx context.Context) bool {
	responses := s.probeAll(ctx)
	err := s.confirmHead(ctx)
	if err != nil && !majority(responses, s.opts.Peers.Listed()) {
		s.opts.Logger.Warn("sync: start waits for the store or a majority",
			zap.Int("answers", responses), zap.Int("listed", s.opts.Peers.Listed()), zap.Error(err))
		return false
	}
	if s.behind() {
		s.catchUp(ctx)
	}
	return !s.behind()
}

// probeAll requests the generations of all live routers and returns the number of responses from routers that have
// completed their start.
func (s *Syncer) probeAll(ctx context.Context) int {
	var (
		responses atomic.Int64
		group     sync.WaitGroup
		slots     = make(chan struct{}, maxConcurrentProbes)
	)
	for _, peer := range s.opts.Peers.Live() {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			if s.probe(ctx, peer) {
				responses.Add(1)
			}
		})
	}
	group.Wait()
	return int(responses.Load())
}

// probe requests and records the generation of one router. It returns false when the router did not respond or has not
// completed its start.
func (s *Syncer) probe(ctx context.Context, peer ident.RouterID) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	response, err := s.opts.Peers.Pull(ctx, peer, PullRequest{Probe: true})
	if err != nil || !response.Ready {
		return false
	}
	s.RecordPeerGeneration(peer, response.Generation)
	return true
}

// Ready reports whether the start is complete.
func (s *Syncer) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ready
}

// ConfirmedAt returns when the snapshot in force was last confirmed by the head in the store, or the zero time.
func (s *Syncer) ConfirmedAt() time.Time { return s.confirmationTime() }
