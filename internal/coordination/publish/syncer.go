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
	// FreshWindow is the time for which a confirmation of the head, or the last word from a majority of the listed
	// VMs, lets a router serve. A router that serves so long after a publish was confirmed has heard of it.
	FreshWindow = 4 * time.Second
	// lateLimit is how long a router serves while it knows of a higher generation than the one in force. Together
	// with FreshWindow it makes the 6 s of promise P9.
	lateLimit = 2 * time.Second
	// confirmPoll is the time between looks at the generations of the other routers.
	confirmPoll = 20 * time.Millisecond
	// confirmInterval is the time between reads of the head while no majority is heard. Several reads fit into the
	// fresh window, and a fleet of 400 takes a fifth of the store's reads.
	confirmInterval = time.Second
	// pollInterval is the time between reads of the head otherwise. It is a safety net under the watches; 400
	// routers make 13 reads a second.
	pollInterval = 30 * time.Second
	// watchLimit ends a watch, so that one on a dead connection is noticed.
	watchLimit = 2 * time.Second
	// storeTick is the time between looks at which of the above applies.
	storeTick = 250 * time.Millisecond
	// confirmLimit bounds a read of the head. An answer that took half of the fresh window is of little use.
	confirmLimit = 2 * time.Second
	// pullLimit bounds one page from another router. It is half of lateLimit, so that the store can be asked in time.
	pullLimit = time.Second
	// probeLimit bounds a probe at the start.
	probeLimit = time.Second
	// startGrace is how long a start waits to hear a majority before it goes on with the store alone.
	startGrace = 3 * time.Second
)

// SyncOptions configure a Syncer. Store, Holder and Peers are required.
type SyncOptions struct {
	Store  kv.Store
	Holder *snapshot.Holder
	Peers  Peers
	// Watch says whether this router watches the store now. Nil means always.
	Watch func() bool
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
	// wake tells the pull loop that a higher generation is known.
	wake chan struct{}
	// applying serializes changes of the snapshot in force.
	applying sync.Mutex

	mu      sync.Mutex
	ready   bool
	history history
	// missing are generations that are known and not yet in force, lowest first.
	missing []missing
	// sources are routers that announced a generation above the one in force.
	sources map[ident.RouterID]ident.Generation
	// confirmed is when the last read began that confirmed the snapshot in force at the store.
	confirmed time.Time
	// revision is that of the last head seen.
	revision kv.Revision
	counts   SyncCounts
}

// missing is a generation that is known and not in force.
type missing struct {
	generation ident.Generation
	// until is when the router stops serving without it.
	until time.Time
}

// maxMissing bounds the list of missing generations.
const maxMissing = 64

// SyncCounts are numbers of steps since the start.
type SyncCounts struct {
	DeltaPulls  int64 `json:"delta_pulls"`
	FullPulls   int64 `json:"full_pulls"`
	StorePulls  int64 `json:"store_pulls"`
	FailedPulls int64 `json:"failed_pulls"`
	OldReads    int64 `json:"old_reads"`
}

// NewSyncer returns a syncer. Nothing happens before Run.
func NewSyncer(opts SyncOptions) *Syncer {
	if opts.Watch == nil {
		opts.Watch = func() bool { return true }
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

// Run starts the router's configuration and keeps it up to date until the context ends. It returns the context's
// error.
func (s *Syncer) Run(ctx context.Context) error {
	s.start(ctx)
	var loops sync.WaitGroup
	loops.Go(func() { s.storeLoop(ctx) })
	loops.Go(func() { s.pullLoop(ctx) })
	loops.Wait()
	return ctx.Err()
}

// PeerGeneration records the generation that another router announced. It is to be called with each heartbeat,
// before Peers.HeardSince counts that heartbeat. Otherwise a router that comes out of a partition would serve with
// its old configuration for a moment. It does not block.
func (s *Syncer) PeerGeneration(from ident.RouterID, gen ident.Generation) {
	if gen <= s.generation() {
		return
	}
	hears := s.hearsMajority()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sources[from] = max(gen, s.sources[from])
	s.learn(gen, hears)
}

// Published puts a set in force that this router published. The store may be down or slow from now on, and then no
// router could read it there.
func (s *Syncer) Published(gen ident.Generation, set *object.Set) {
	set = set.Clone()
	object.ApplyDefaults(set)
	next, err := snapshot.Build(gen, set)
	if err == nil {
		s.advance(next)
		return
	}
	s.opts.Logger.Error("sync: published configuration is not used", zap.Error(err))
	hears := s.hearsMajority()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.learn(gen, hears)
}

// learn records a generation and wakes the pull loop. Hears says whether a majority was heard before. The caller holds
// mu, and calls no method of Peers under it.
func (s *Syncer) learn(gen ident.Generation, hears bool) {
	highest := s.generation()
	if n := len(s.missing); n > 0 {
		highest = s.missing[n-1].generation
	}
	if gen > highest {
		s.record(gen, hears)
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// record adds a generation to the missing ones. A router that was fresh may serve on for a while; one that was not
// may have missed the generation for long. The caller holds mu.
func (s *Syncer) record(gen ident.Generation, hears bool) {
	until := s.opts.Clock()
	if hears || s.confirmedLately() {
		until = until.Add(lateLimit)
	}
	if n := len(s.missing); n == maxMissing {
		// The earlier time stays, so that the router stops serving no later than it should.
		s.missing[n-1].generation = gen
		return
	}
	s.missing = append(s.missing, missing{generation: gen, until: until})
}

// Announced returns the generation to announce in heartbeats: the one in force, or 0 until the start is complete.
func (s *Syncer) Announced() ident.Generation {
	if !s.Ready() {
		return 0
	}
	return s.generation()
}

// generation returns the generation in force, or 0.
func (s *Syncer) generation() ident.Generation {
	if current := s.opts.Holder.Load(); current != nil {
		return current.Generation()
	}
	return 0
}

// behind says whether a higher generation is known than the one in force.
func (s *Syncer) behind() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.missing) > 0
}

// Serving says whether the router may serve new callers: its start is complete, it has a configuration, it has not
// known of a higher one for longer than lateLimit, and within FreshWindow it confirmed the head at the store or
// heard a majority of the listed VMs.
func (s *Syncer) Serving() bool {
	hears := s.hearsMajority()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ready && s.opts.Holder.Load() != nil && !s.late() && (hears || s.confirmedLately())
}

// late says whether the router must not serve without a missing generation. The caller holds mu.
func (s *Syncer) late() bool {
	if len(s.missing) == 0 {
		return false
	}
	now := s.opts.Clock()
	return slices.ContainsFunc(s.missing, func(m missing) bool { return !now.Before(m.until) })
}

// confirmedLately says whether the head was confirmed within FreshWindow. The caller holds mu.
func (s *Syncer) confirmedLately() bool {
	return !s.confirmed.IsZero() && s.opts.Clock().Sub(s.confirmed) <= FreshWindow
}

// AwaitMajority waits until a majority of the listed VMs have a generation in force. After that no router serves a
// lower one for longer than 6 s: whoever serves hears a majority, and so one of these, or reads the store. Without
// it, a publisher that was cut off from all others but not from the store could change the head unnoticed.
// It returns ErrUnconfirmed when the context ends first.
func (s *Syncer) AwaitMajority(ctx context.Context, gen ident.Generation) error {
	for !majority(s.opts.Peers.AtGeneration(gen), s.opts.Peers.Listed()) {
		if !periodic.Sleep(ctx, confirmPoll) {
			return ErrUnconfirmed
		}
	}
	return nil
}

func (s *Syncer) hearsMajority() bool {
	return majority(s.opts.Peers.HeardSince(FreshWindow), s.opts.Peers.Listed())
}

// majority is never true for an empty list, which is an empty or wrong answer of the platform.
func majority(part, whole int) bool { return whole > 0 && 2*part > whole }

// Counts returns the numbers of steps.
func (s *Syncer) Counts() SyncCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

func (s *Syncer) count(field func(*SyncCounts)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	field(&s.counts)
}
