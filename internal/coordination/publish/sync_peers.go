package publish

import (
	"cmp"
	"context"
	"slices"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/state/object"
	"gooseberrytide.example/gooseberrytide/internal/state/snapshot"
)

const (
	// maxSources is the number of routers that are asked before the store is.
	maxSources = 2
	// maxRestarts bounds how often a pull starts again because the other router moved on.
	maxRestarts = 3
)

// pullLoop brings known generations into force.
func (s *Syncer) pullLoop(ctx context.Context) {
	for {
		select {
		case <-s.wake:
		case <-ctx.Done():
			return
		}
		pauses := newPauses()
		for s.behind() {
			s.catchUp(ctx)
			if s.behind() && !pause(ctx, pauses) {
				return
			}
		}
	}
}

// catchUp makes one round: it asks routers that announced a higher generation, and then the store.
func (s *Syncer) catchUp(ctx context.Context) {
	for _, peer := range s.bestSources() {
		err := s.pullFrom(ctx, peer)
		if !s.behind() {
			return
		}
		if err != nil {
			s.failed(peer, err)
		}
	}
	if err := s.pullStore(ctx); err != nil {
		s.opts.Logger.Warn("sync: store pull failed", zap.Error(err))
	}
}

// bestSources returns the routers with the highest announced generations.
func (s *Syncer) bestSources() []ident.RouterID {
	s.mu.Lock()
	defer s.mu.Unlock()
	var peers []ident.RouterID
	for peer := range s.sources {
		peers = append(peers, peer)
	}
	// Map order is random, and the sort is stable among equals, so the load spreads over equal sources.
	slices.SortStableFunc(peers, func(a, b ident.RouterID) int {
		return cmp.Compare(s.sources[b], s.sources[a])
	})
	return peers[:min(len(peers), maxSources)]
}

// failed forgets a source until it announces its generation again.
func (s *Syncer) failed(peer ident.RouterID, err error) {
	s.opts.Logger.Warn("sync: pull failed", zap.String("router", string(peer)), zap.Error(err))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.FailedPulls++
	delete(s.sources, peer)
}

// pullFrom brings another router's configuration into force: the changes first, and the whole configuration when
// the result of the changes has a wrong digest.
func (s *Syncer) pullFrom(ctx context.Context, peer ident.RouterID) error {
	base := s.opts.Holder.Load()
	err := s.pullOnce(ctx, peer, base)
	if base != nil && errors.Is(err, errDigest) {
		err = s.pullOnce(ctx, peer, nil)
	}
	return err
}

var (
	errDigest   = errors.New("sync: pulled configuration has a wrong digest")
	errNotNewer = errors.New("sync: router has nothing newer")
	errPartial  = errors.New("sync: router sent changes instead of the whole configuration")
	errMoved    = errors.New("sync: router moves on too often")
)

func (s *Syncer) pullOnce(ctx context.Context, peer ident.RouterID, base *snapshot.Snapshot) error {
	pulled, err := s.pages(ctx, peer, base)
	if err != nil {
		return err
	}
	set := pulled.changes
	if !pulled.full {
		set = pulled.onto(base.Set())
	}
	next, err := snapshot.Build(pulled.generation, set)
	if err != nil {
		return err
	}
	if next.Digest() != pulled.digest {
		return errDigest
	}
	s.countPull(pulled.full)
	s.advance(next)
	return nil
}

func (s *Syncer) countPull(full bool) {
	s.count(func(c *SyncCounts) {
		if full {
			c.FullPulls++
			return
		}
		c.DeltaPulls++
	})
}

// pulled collects the pages of one pull.
type pulled struct {
	generation ident.Generation
	digest     string
	full       bool
	changes    *object.Set
	removed    []object.ID
}

// pages pulls all pages of one generation.
func (s *Syncer) pages(ctx context.Context, peer ident.RouterID, base *snapshot.Snapshot) (*pulled, error) {
	first := PullRequest{}
	if base != nil {
		first.Have = base.Generation()
	}
	for range maxRestarts {
		result := &pulled{changes: object.NewSet()}
		req := first
		for {
			page, err := s.pull(ctx, peer, req)
			if err != nil {
				return nil, err
			}
			if req.At != 0 && page.Generation != req.At {
				break
			}
			if !page.Full && base == nil {
				return nil, errPartial
			}
			if err := result.add(page); err != nil {
				return nil, err
			}
			if page.Next == "" {
				return result, nil
			}
			req.At = page.Generation
			req.After = page.Next
		}
	}
	return nil, errMoved
}

func (s *Syncer) pull(ctx context.Context, peer ident.RouterID, req PullRequest) (PullResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, pullLimit)
	defer cancel()
	page, err := s.opts.Peers.Pull(ctx, peer, req)
	if err != nil {
		return page, err
	}
	if page.Generation <= max(req.Have, s.generation()) {
		return page, errNotNewer
	}
	return page, nil
}

func (p *pulled) add(page PullResponse) error {
	p.generation = page.Generation
	p.digest = page.Digest
	p.full = page.Full
	if findings := object.Decode("", object.EncodeFile(page.Objects), p.changes); len(findings) > 0 {
		return errors.Wrap(findings, "sync: pulled objects")
	}
	for _, name := range page.Removed {
		id, err := object.ParseID(name)
		if err != nil {
			return errors.Wrap(err, "sync: pulled removal")
		}
		p.removed = append(p.removed, id)
	}
	return nil
}

// onto applies the changes to a copy of a set.
func (p *pulled) onto(base *object.Set) *object.Set {
	set := base.Clone()
	for _, id := range p.removed {
		set.Remove(id)
	}
	for _, id := range p.changes.IDs() {
		set.Copy(id, p.changes)
	}
	return set
}

// advance puts a snapshot in force if its generation is higher.
func (s *Syncer) advance(next *snapshot.Snapshot) {
	s.applying.Lock()
	defer s.applying.Unlock()
	old := s.opts.Holder.Load()
	var change step
	if old != nil {
		change = step{from: old.Generation(), to: next.Generation(), ids: changed(old, next)}
	}
	if !s.enforce(next, old != nil, change) {
		return
	}
	s.opts.Logger.Info("sync: configuration in force", zap.Uint64("generation", uint64(next.Generation())))
	if s.opts.OnSnapshot != nil {
		s.opts.OnSnapshot(next)
	}
}

func (s *Syncer) enforce(next *snapshot.Snapshot, keep bool, change step) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.opts.Holder.Advance(next) {
		return false
	}
	if keep {
		s.history.add(change)
	}
	s.missing = slices.DeleteFunc(s.missing, func(m missing) bool { return m.generation <= next.Generation() })
	for peer, gen := range s.sources {
		if gen <= next.Generation() {
			delete(s.sources, peer)
		}
	}
	return true
}

func changed(old, next *snapshot.Snapshot) []object.ID {
	differences := object.Diff(old.Set(), next.Set())
	ids := make([]object.ID, len(differences))
	for i, difference := range differences {
		ids[i] = difference.ID
	}
	return ids
}
