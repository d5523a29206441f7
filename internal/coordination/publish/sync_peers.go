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
	// maxSources is the number of routers from which a pull is attempted before the store is read.
	maxSources = 2
	// maxRestarts bounds the attempts of a pull that starts again because the other router's generation changed.
	maxRestarts = 3
)

// pullLoop brings generations that are known but missing into force, until the context ends.
func (s *Syncer) pullLoop(ctx context.Context) {
	for {
		select {
		case <-s.wake:
		case <-ctx.Done():
			return
		}
		delays := newDelays()
		for s.behind() {
			s.catchUp(ctx)
			if s.behind() && !waitRetry(ctx, delays) {
				return
			}
		}
	}
}

// catchUp makes one attempt to bring the highest known generation into force. It pulls from routers that announced a
// higher generation, and then from the store.
func (s *Syncer) catchUp(ctx context.Context) {
	for _, peer := range s.bestSources() {
		err := s.pullFrom(ctx, peer)
		if !s.behind() {
			return
		}
		if err != nil {
			s.dropSource(peer, err)
		}
	}
	if err := s.pullStore(ctx); err != nil {
		s.opts.Logger.Warn("sync: store pull failed", zap.Error(err))
	}
}

// bestSources returns the routers with the highest announced generations, at most maxSources.
func (s *Syncer) bestSources() []ident.RouterID {
	s.mu.Lock()
	defer s.mu.Unlock()
	var peers []ident.RouterID
	for peer := range s.sources {
		peers = append(peers, peer)
	}
	// The map's random order and the stable sort distribute the load over sources with the same generation.
	slices.SortStableFunc(peers, func(a, b ident.RouterID) int {
		return cmp.Compare(s.sources[b], s.sources[a])
	})
	return peers[:min(len(peers), maxSources)]
}

// dropSource logs a failed pull and removes the source until it announces its generation again.
func (s *Syncer) dropSource(peer ident.RouterID, err error) {
	s.opts.Logger.Warn("sync: pull failed", zap.String("router", string(peer)), zap.Error(err))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.FailedPulls++
	delete(s.sources, peer)
}

// pullFrom brings another router's configuration into force. It pulls the changes, and then the whole configuration if
// the result of applying the changes has a wrong digest.
func (s *Syncer) pullFrom(ctx context.Context, peer ident.RouterID) error {
	base := s.opts.Holder.Load()
	err := s.pullOnce(ctx, peer, base)
	if base != nil && errors.Is(err, errWrongDigest) {
		err = s.pullOnce(ctx, peer, nil)
	}
	return err
}

var (
	errWrongDigest       = errors.New("sync: pulled configuration has a wrong digest")
	errNotNewer          = errors.New("sync: router has nothing newer")
	errPartial           = errors.New("sync: router sent changes instead of the whole configuration")
	errGenerationChanged = errors.New("sync: router's generation changed during every attempt to pull it")
)

// pullOnce pulls the changes since base, or the whole configuration if base is nil, and brings the result into force if
// its digest is right.
func (s *Syncer) pullOnce(ctx context.Context, peer ident.RouterID, base *snapshot.Snapshot) error {
	result, err := s.pullPages(ctx, peer, base)
	if err != nil {
		return err
	}
	set := result.changes
	if !result.full {
		set = result.applyTo(base.Set())
	}
	next, err := snapshot.Build(result.generation, set)
	if err != nil {
		return err
	}
	if next.Digest() != result.digest {
		return errWrongDigest
	}
	s.countPull(result.full)
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

// pullResult collects the pages of one pull.
type pullResult struct {
	generation ident.Generation
	digest     string
	full       bool
	changes    *object.Set
	removed    []object.ID
}

// pullPages pulls all pages of one generation. It starts again when the other router's generation changes in between.
func (s *Syncer) pullPages(ctx context.Context, peer ident.RouterID, base *snapshot.Snapshot) (*pullResult, error) {
	first := PullRequest{}
	if base != nil {
		first.Have = base.Generation()
	}
	for range maxRestarts {
		result := &pullResult{changes: object.NewSet()}
		req := first
		for {
			page, err := s.pullPage(ctx, peer, req)
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
	return nil, errGenerationChanged
}

// pullPage pulls one page. It returns errNotNewer when the page's generation is not above the one in force.
func (s *Syncer) pullPage(ctx context.Context, peer ident.RouterID, req PullRequest) (PullResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
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

// add decodes a page and adds its changes.
func (p *pullResult) add(page PullResponse) error {
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

// applyTo returns a copy of a set with the changes applied.
func (p *pullResult) applyTo(base *object.Set) *object.Set {
	set := base.Clone()
	for _, id := range p.removed {
		set.Remove(id)
	}
	for _, id := range p.changes.IDs() {
		set.Copy(id, p.changes)
	}
	return set
}

// advance brings a snapshot into force if its generation is higher than the one in force.
func (s *Syncer) advance(next *snapshot.Snapshot) {
	s.advanceMu.Lock()
	defer s.advanceMu.Unlock()
	old := s.opts.Holder.Load()
	var entry historyEntry
	if old != nil {
		entry = historyEntry{from: old.Generation(), to: next.Generation(), changed: changedIDs(old, next)}
	}
	if !s.install(next, old != nil, entry) {
		return
	}
	s.opts.Logger.Info("sync: configuration in force", zap.Uint64("generation", uint64(next.Generation())))
	if s.opts.OnSnapshot != nil {
		s.opts.OnSnapshot(next)
	}
}

// install replaces the snapshot in force if next has a higher generation, and drops the missing generations and sources
// that are thereby reached. With keepHistory it appends the entry to the history.
func (s *Syncer) install(next *snapshot.Snapshot, keepHistory bool, entry historyEntry) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.opts.Holder.Advance(next) {
		return false
	}
	if keepHistory {
		s.history.add(entry)
	}
	s.missing = slices.DeleteFunc(s.missing, func(m missingGeneration) bool { return m.generation <= next.Generation() })
	for peer, gen := range s.sources {
		if gen <= next.Generation() {
			delete(s.sources, peer)
		}
	}
	return true
}

// changedIDs returns the ids of the objects that differ between two snapshots.
func changedIDs(old, next *snapshot.Snapshot) []object.ID {
	differences := object.Diff(old.Set(), next.Set())
	ids := make([]object.ID, len(differences))
	for i, difference := range differences {
		ids[i] = difference.ID
	}
	return ids
}
