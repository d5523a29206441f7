package publish

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/state/kv"
	"gooseberrytide.example/gooseberrytide/internal/state/object"
	"gooseberrytide.example/gooseberrytide/internal/state/periodic"
	"gooseberrytide.example/gooseberrytide/internal/state/snapshot"
)

const (
	// FreshnessWindow is how long a router may serve after it confirmed the head at the store or was last in contact
	// with a majority of the listed VMs. A router that still serves this long after a publish was confirmed has learned
	// of that publish.
	FreshnessWindow = 4 * time.Second
	// catchUpGrace is how long a router serves while it knows of a higher generation than the one in force. The sum of
	// this and FreshnessWindow is 6 s, the bound of promise P9: a router does not serve longer than that with a
	// configuration that was replaced.
	catchUpGrace = 2 * time.Second
	// majorityPollInterval is the interval between checks of the other routers' generations.
	majorityPollInterval = 20 * time.Millisecond
	// confirmInterval is the interval between reads of the head while there is no contact with a majority. Several
	// reads fit into FreshnessWindow, and a fleet of 400 routers uses a fifth of the store's read rate.
	confirmInterval = time.Second
	// pollInterval is the average interval between reads of the head otherwise. It is a fallback for the watches; 400
	// routers make 13 reads a second.
	pollInterval = 30 * time.Second
	// watchTimeout bounds a watch, so that a dead connection is noticed.
	watchTimeout = 2 * time.Second
	// storeCheckInterval is the interval between checks whether to watch the head or to read it.
	storeCheckInterval = 250 * time.Millisecond
	// headReadTimeout bounds a read of the head. A response that took half of FreshnessWindow is of little use.
	headReadTimeout = 2 * time.Second
	// pullTimeout bounds the pull of one page from another router. It is half of catchUpGrace, so that there is time left
	// to read the store.
	pullTimeout = time.Second
	// probeTimeout bounds a probe during the start.
	probeTimeout = time.Second
	// startGrace is how long a start waits for contact with a majority before it goes on with the store alone.
	startGrace = 3 * time.Second
)

// SyncOptions configures a Syncer. Store, Holder and Peers are required.
type SyncOptions struct {
	Store  kv.Store
	Holder *snapshot.Holder
	Peers  Peers
	// Watch reports whether this router currently watches the store. Nil means always.
	Watch func() bool
	// Cluster returns the identity of the store's data as of its latest response, or an empty text before the first. A
	// store that was restored from a copy has another one. By default restores are not noticed.
	Cluster func() string
	// Clock returns the current time; nil means time.Now.
	Clock func() time.Time
	// OnSnapshot is called with each new snapshot, in order. It may be nil and must not block for long.
	OnSnapshot func(*snapshot.Snapshot)
	// Logger may be nil.
	Logger *zap.Logger
}

// Syncer keeps the snapshot in force up to date. It is safe for concurrent use.
type Syncer struct {
	opts   SyncOptions
	reader storeReader
	// wake signals the pull loop that a higher generation is known.
	wake chan struct{}
	// advanceMu serializes changes of the snapshot in force.
	advanceMu sync.Mutex

	mu      sync.Mutex
	ready   bool
	history history
	// missing holds the generations that are known and not yet in force, lowest first.
	missing []missingGeneration
	// sources holds the routers that announced a generation above the one in force.
	sources map[ident.RouterID]ident.Generation
	// confirmed is the start time of the last read of the store that confirmed the snapshot in force.
	confirmed time.Time
	// revision is the highest revision of the head seen in the cluster. Revisions start again lower after a restore.
	revision kv.Revision
	// cluster is the identity of the store's data as of the last read of the head.
	cluster string
	// headCluster is the cluster whose head last had the generation in force or a higher one.
	headCluster string
	// stored is the generation in the store if that was restored and lacks the one in force here; restored says so.
	stored   ident.Generation
	restored bool
	counts   SyncCounts
}

// missingGeneration is a generation that is known and not in force.
type missingGeneration struct {
	generation ident.Generation
	// serveUntil is when the router stops serving if the generation is not in force by then.
	serveUntil time.Time
}

// maxMissing is the maximum number of missing generations that are kept.
const maxMissing = 64

// SyncCounts holds the numbers of completed and failed pulls and of stale reads of the head since the process started.
type SyncCounts struct {
	DeltaPulls  int64 `json:"delta_pulls"`
	FullPulls   int64 `json:"full_pulls"`
	StorePulls  int64 `json:"store_pulls"`
	FailedPulls int64 `json:"failed_pulls"`
	StaleReads  int64 `json:"old_reads"`
}

// NewSyncer returns a Syncer. It does no work before Run.
func NewSyncer(opts SyncOptions) *Syncer {
	if opts.Watch == nil {
		opts.Watch = func() bool { return true }
	}
	if opts.Cluster == nil {
		opts.Cluster = func() string { return "" }
	}
	if opts.Clock == nil {
		opts.Clock = time.Now
	}
	if opts.Logger == nil {
		opts.Logger = zap.NewNop()
	}
	return &Syncer{
		opts:    opts,
		reader:  storeReader{store: opts.Store, local: opts.Holder},
		wake:    make(chan struct{}, 1),
		sources: make(map[ident.RouterID]ident.Generation),
	}
}

// Run brings the first configuration into force and keeps it up to date until the context ends. It returns the
// context's error.
func (s *Syncer) Run(ctx context.Context) error {
	s.start(ctx)
	var loops sync.WaitGroup
	loops.Go(func() { s.storeLoop(ctx) })
	loops.Go(func() { s.pullLoop(ctx) })
	loops.Wait()
	return ctx.Err()
}

// RecordPeerGeneration records the generation that another router announced. It must be called for each heartbeat,
// before Peers.HeardSince counts that heartbeat; otherwise a router would briefly serve with its old configuration
// after a partition has healed. It does not block.
func (s *Syncer) RecordPeerGeneration(from ident.RouterID, gen ident.Generation) {
	if gen <= s.generation() {
		return
	}
	majorityContact := s.hasMajorityContact()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sources[from] = max(gen, s.sources[from])
	s.addGeneration(gen, majorityContact)
}

// InstallPublished brings a set into force that this router has published. It does not read the store, which may become
// unavailable or slow after the publish, so that no router could read the set there.
func (s *Syncer) InstallPublished(gen ident.Generation, set *object.Set) {
	set = set.Clone()
	object.ApplyDefaults(set)
	next, err := snapshot.Build(gen, set)
	if err == nil {
		s.advance(next)
		return
	}
	s.opts.Logger.Error("sync: published configuration is not used", zap.Error(err))
	majorityContact := s.hasMajorityContact()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addGeneration(gen, majorityContact)
}

// addGeneration records a known generation and wakes the pull loop. majorityContact reports whether there was contact
// with a majority before. The caller holds mu, under which no method of Peers may be called.
func (s *Syncer) addGeneration(gen ident.Generation, majorityContact bool) {
	highest := s.generation()
	if n := len(s.missing); n > 0 {
		highest = s.missing[n-1].generation
	}
	if gen > highest {
		s.addMissing(gen, majorityContact)
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// addMissing adds a generation to the missing ones. A router with recent contact to a majority or the store may serve
// for catchUpGrace; without it the generation may be long overdue, and the router stops serving at once. The caller
// holds mu.
func (s *Syncer) addMissing(gen ident.Generation, majorityContact bool) {
	deadline := s.opts.Clock()
	if majorityContact || s.recentlyConfirmed() {
		deadline = deadline.Add(catchUpGrace)
	}
	if n := len(s.missing); n == maxMissing {
		// The earlier deadline is kept, so that the router does not serve longer than allowed.
		s.missing[n-1].generation = gen
		return
	}
	s.missing = append(s.missing, missingGeneration{generation: gen, serveUntil: deadline})
}

// AnnouncedGeneration returns the generation to announce in heartbeats: the one in force, or 0 until the start is
// complete.
func (s *Syncer) AnnouncedGeneration() ident.Generation {
	if !s.Ready() {
		return 0
	}
	return s.generation()
}

// generation returns the generation in force, or 0 when there is none.
func (s *Syncer) generation() ident.Generation {
	if current := s.opts.Holder.Load(); current != nil {
		return current.Generation()
	}
	return 0
}

// KnownGeneration returns the highest generation that is in force here or was announced by another router or the store.
func (s *Syncer) KnownGeneration() ident.Generation {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := len(s.missing); n > 0 {
		return max(s.generation(), s.missing[n-1].generation)
	}
	return s.generation()
}

// behind reports whether a higher generation is known than the one in force.
func (s *Syncer) behind() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.missing) > 0
}

// Serving reports whether the router may serve new callers: its start is complete, it has a configuration, no missing
// generation is overdue, and within FreshnessWindow it confirmed the head at the store or was in contact with a
// majority of the listed VMs.
func (s *Syncer) Serving() bool {
	majorityContact := s.hasMajorityContact()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ready && s.opts.Holder.Load() != nil && !s.catchUpOverdue() && (majorityContact || s.recentlyConfirmed())
}

// catchUpOverdue reports whether the deadline of a missing generation has passed. The caller holds mu.
func (s *Syncer) catchUpOverdue() bool {
	if len(s.missing) == 0 {
		return false
	}
	now := s.opts.Clock()
	return slices.ContainsFunc(s.missing, func(m missingGeneration) bool { return !now.Before(m.serveUntil) })
}

// recentlyConfirmed reports whether the head was confirmed within FreshnessWindow. The caller holds mu.
func (s *Syncer) recentlyConfirmed() bool {
	return !s.confirmed.IsZero() && s.opts.Clock().Sub(s.confirmed) <= FreshnessWindow
}

// AwaitMajority waits until a majority of the listed VMs have a generation in force. After that no router serves with a
// lower generation for longer than 6 s, because a serving router either reads the store or is in contact with a
// majority, which includes one of these VMs. Without this wait, a publisher that can reach the store but no other
// router could change the head without the others noticing. It returns ErrUnconfirmed when the context ends first.
func (s *Syncer) AwaitMajority(ctx context.Context, gen ident.Generation) error {
	for !majority(s.opts.Peers.AtGeneration(gen), s.opts.Peers.Listed()) {
		if !periodic.Sleep(ctx, majorityPollInterval) {
			return ErrUnconfirmed
		}
	}
	return nil
}

// hasMajorityContact reports whether a majority of the listed VMs sent heartbeats within FreshnessWindow.
func (s *Syncer) hasMajorityContact() bool {
	return majority(s.opts.Peers.HeardSince(FreshnessWindow), s.opts.Peers.Listed())
}

// majority reports whether part is more than half of whole. It is false for an empty list of VMs, which comes from an
// empty or wrong response of the platform.
func majority(part, whole int) bool { return whole > 0 && 2*part > whole }

// Counts returns the counts of pulls and stale reads.
func (s *Syncer) Counts() SyncCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

func (s *Syncer) count(update func(*SyncCounts)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	update(&s.counts)
}
