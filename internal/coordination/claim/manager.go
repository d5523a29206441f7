package claim

import (
	"context"
	"crypto/rand"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"

	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/state/kv"
)

const (
	// writesPerCall is the number of writes that a call reserves: one to claim and one to record its end.
	writesPerCall = 2
	// storeTimeout bounds one call to the store. A later answer counts as lost.
	storeTimeout = 2 * time.Second
	// settleTries bounds the writes and the reads that settle a lost answer while the caller waits.
	settleTries = 3
	// settleFor bounds the time of these tries, so that a store that hangs holds a caller no longer than one write and
	// one read.
	settleFor = 4 * time.Second
	// storeRest is how long claims are refused without a write after a store gave no answer, so that a store that hangs
	// does not hold every caller.
	storeRest = time.Second
	// settlePause is the first pause between these tries; it doubles.
	settlePause = 50 * time.Millisecond
	// pollMin and pollMax bound the pause between looks at a claim that another request holds.
	pollMin = 25 * time.Millisecond
	pollMax = time.Second
	// reconcileMin and reconcileMax bound the pause between background tries to settle a record.
	reconcileMin = 200 * time.Millisecond
	reconcileMax = 30 * time.Second
	// reconcileFor is how long a record is tried in the background. Longer outages leave the record open, and
	// repeats of its key get unknown.
	reconcileFor = 30 * time.Minute
	// maxReconcile bounds the records that are settled in the background at once.
	maxReconcile = 4096
	// maxReconcileBytes bounds the bodies of their results. Results beyond it are recorded without a body.
	maxReconcileBytes = 64 << 20
)

// Options configure a manager. Store, Self and Budget are required.
type Options struct {
	Store kv.Store
	Self  ident.RouterID
	// Incarnation is kept in the records. No promise rests on it.
	Incarnation ident.Incarnation
	// Budget returns the router's share of the store's writes, in writes per second.
	Budget func() int
	// Clock returns the time for budgets and expiry. Default time.Now.
	Clock func() time.Time
	// Logger gets failures to settle records. Default: none.
	Logger *zap.Logger
}

// Manager begins and ends claims. It is safe for concurrent use.
type Manager struct {
	store       kv.Store
	self        ident.RouterID
	incarnation ident.Incarnation
	process     string
	clock       func() time.Time
	log         *zap.Logger
	writes      *bucket
	local       *localTable
	seq         atomic.Uint64
	// silentUntil is when the store is tried again after it gave no answer, in nanoseconds since 1970.
	silentUntil atomic.Int64

	background context.Context
	stop       context.CancelFunc
	running    sync.WaitGroup
	mu         sync.Mutex
	closed     bool
	settling   int
	// settlingBytes is the size of the bodies of results that are being settled, and settlingLimit its bound.
	settlingBytes, settlingLimit int
}

// New returns a manager. Close ends its background work.
func New(opts Options) *Manager {
	if opts.Clock == nil {
		opts.Clock = time.Now
	}
	if opts.Logger == nil {
		opts.Logger = zap.NewNop()
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Manager{
		store:       opts.Store,
		self:        opts.Self,
		incarnation: opts.Incarnation,
		process:     rand.Text(),
		clock:       opts.Clock,
		log:         opts.Logger.Named("claim"),
		writes:      newBucket(opts.Budget, opts.Clock),
		local:       newLocalTable(),

		settlingLimit: maxReconcileBytes,
		background:    ctx,
		stop:          cancel,
	}
}

// Settling returns the number of records that are being settled in the background.
func (m *Manager) Settling() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.settling
}

// Drain waits until no record is being settled in the background. It returns the context's error when some still are.
func (m *Manager) Drain(ctx context.Context) error {
	for m.Settling() > 0 {
		if !pause(ctx, settlePause) {
			return ctx.Err()
		}
	}
	return nil
}

// silent reports whether the store gave no answer a moment ago.
func (m *Manager) silent() bool { return m.clock().UnixNano() < m.silentUntil.Load() }

// markSilent notes that the store gave no answer.
func (m *Manager) markSilent() { m.silentUntil.Store(m.clock().Add(storeRest).UnixNano()) }

// Close stops the background work and waits for it. Records that are not settled stay as they are.
func (m *Manager) Close() {
	m.mu.Lock()
	m.closed = true
	m.mu.Unlock()
	m.stop()
	m.running.Wait()
}

func (m *Manager) nextHolder() holderID {
	return holderID{Router: m.self, Incarnation: m.incarnation, Process: m.process, Seq: m.seq.Add(1)}
}

// swap writes the record if the key's revision is expect. It runs apart from the caller's context, so that a caller
// who leaves cannot cut off a write; when the context ends first, the answer counts as lost.
func (m *Manager) swap(ctx context.Context, key string, expect kv.Revision, r record) (kv.Revision, error) {
	value, err := r.encode()
	if err != nil {
		return 0, err
	}
	type answer struct {
		revision kv.Revision
		err      error
	}
	answers := make(chan answer, 1)
	go func() {
		detached, cancel := context.WithTimeout(context.WithoutCancel(ctx), storeTimeout)
		defer cancel()
		rev, err := m.store.CompareAndSwap(detached, key, expect, value)
		answers <- answer{rev, err}
	}()
	select {
	case a := <-answers:
		return a.revision, a.err
	case <-ctx.Done():
		return 0, kv.ErrUncertain
	}
}

func (m *Manager) read(ctx context.Context, key string) (kv.Entry, error) {
	bounded, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return m.store.Get(bounded, key)
}

// newBackoff returns pauses that double from first to most, each varied by half of itself so that routers spread.
func newBackoff(first, most time.Duration) *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = first
	b.MaxInterval = most
	b.Multiplier = 2
	return b
}

// pause waits for d and reports whether the context is still alive.
func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
