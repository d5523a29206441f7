package claim

import (
	"context"
	"crypto/rand"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"

	"gooseberrytide.example/gooseberrytide/internal/coordination/fencing"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/state/kv"
)

const (
	// writesPerCall is the number of writes that a call reserves: one to claim and one to record its result.
	writesPerCall = 2
	// storeTimeout bounds one call to the store. A later response counts as lost.
	storeTimeout = 2 * time.Second
	// maxResolveAttempts bounds the writes, and the reads, that resolve a write of unknown outcome while the caller
	// waits. To resolve a write means to find out whether it took effect, and to repeat it if needed.
	maxResolveAttempts = 3
	// resolveTimeout bounds the time spent on these attempts, so that a hanging store delays a caller no longer than one
	// write and one read.
	resolveTimeout = 4 * time.Second
	// storeCooldown is how long claims are refused without a write after the store did not respond, so that a hanging
	// store does not delay every caller.
	storeCooldown = time.Second
	// minResolveDelay is the first delay between attempts to resolve a write; it doubles.
	minResolveDelay = 50 * time.Millisecond
	// minPollInterval and maxPollInterval bound the interval between reads of a claim that another request holds.
	minPollInterval = 25 * time.Millisecond
	maxPollInterval = time.Second
	// minReconcileDelay and maxReconcileDelay bound the delay between background attempts to reconcile a record, that
	// is, to bring it to its final state.
	minReconcileDelay = 200 * time.Millisecond
	maxReconcileDelay = 30 * time.Second
	// reconcileTimeout bounds the time spent on a record in the background. After a longer outage the record stays open,
	// and repeated requests with its key get the outcome unknown.
	reconcileTimeout = 30 * time.Minute
	// maxReconcileTasks bounds the number of records that are reconciled in the background at once.
	maxReconcileTasks = 4096
	// maxReconcileBodyBytes bounds the total size of the bodies of their results. Results beyond it are recorded
	// without a body.
	maxReconcileBodyBytes = 64 << 20
)

// Options configures a Manager. Store, Self and Budget are required.
type Options struct {
	Store kv.Store
	Self  ident.RouterID
	// Incarnation is stored in the records for information. No guarantee depends on it.
	Incarnation ident.Incarnation
	// Cluster returns the identity of the store's data as of its latest response, or an empty text before the first. A
	// store that was restored from a copy has another one. By default restores are not noticed.
	Cluster func() string
	// Fencing makes the fencing numbers from the revisions of the claims. Nil means the revisions themselves, which the
	// store assigns again after a restore.
	Fencing *fencing.Numbers
	// Budget returns the number of store writes per second that this router may make.
	Budget func() int
	// Clock returns the current time, for budgets and expiry. The default is time.Now.
	Clock func() time.Time
	// Logger receives failures to reconcile and to sweep records. By default nothing is logged.
	Logger *zap.Logger
}

// Manager begins and ends claims. It is safe for concurrent use.
type Manager struct {
	store       kv.Store
	self        ident.RouterID
	incarnation ident.Incarnation
	processID   string
	clock       func() time.Time
	log         *zap.Logger
	writeTokens *tokenBucket
	localCalls  *localCallTable
	restores    *restoreGuard
	fencing     *fencing.Numbers
	seq         atomic.Uint64
	// unresponsiveUntil is when claims are written again after the store did not respond, in nanoseconds since 1970.
	unresponsiveUntil atomic.Int64

	backgroundCtx    context.Context
	cancelBackground context.CancelFunc
	backgroundTasks  sync.WaitGroup
	mu               sync.Mutex
	closed           bool
	reconciling      int
	// reconcilingBytes is the total size of the bodies of the results that are being recorded in the background;
	// maxReconcilingBytes bounds it.
	reconcilingBytes, maxReconcilingBytes int
}

// New returns a Manager. Close ends its background work.
func New(opts Options) *Manager {
	if opts.Clock == nil {
		opts.Clock = time.Now
	}
	if opts.Logger == nil {
		opts.Logger = zap.NewNop()
	}
	ctx, cancel := context.WithCancel(context.Background())
	m := &Manager{
		store:       opts.Store,
		self:        opts.Self,
		incarnation: opts.Incarnation,
		processID:   rand.Text(),
		clock:       opts.Clock,
		log:         opts.Logger.Named("claim"),
		writeTokens: newTokenBucket(opts.Budget, opts.Clock),
		localCalls:  newLocalCallTable(),
		fencing:     opts.Fencing,

		maxReconcilingBytes: maxReconcileBodyBytes,
		backgroundCtx:       ctx,
		cancelBackground:    cancel,
	}
	m.restores = newRestoreGuard(m, opts.Cluster)
	if opts.Cluster != nil {
		m.backgroundTasks.Add(1)
		go func() {
			defer m.backgroundTasks.Done()
			m.restores.run(ctx)
		}()
	}
	return m
}

// Reconciling returns the number of records that are being reconciled in the background.
func (m *Manager) Reconciling() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reconciling
}

// Drain waits until no record is being reconciled in the background. It returns the context's error when the context
// ends first.
func (m *Manager) Drain(ctx context.Context) error {
	for m.Reconciling() > 0 {
		if !sleep(ctx, minResolveDelay) {
			return ctx.Err()
		}
	}
	return nil
}

// storeUnresponsive reports whether the store failed to respond within the last storeCooldown.
func (m *Manager) storeUnresponsive() bool { return m.clock().UnixNano() < m.unresponsiveUntil.Load() }

// markStoreUnresponsive records that the store did not respond.
func (m *Manager) markStoreUnresponsive() {
	m.unresponsiveUntil.Store(m.clock().Add(storeCooldown).UnixNano())
}

// Close stops the background work and waits for it to end. Records that are not reconciled by then stay as they are.
func (m *Manager) Close() {
	m.mu.Lock()
	m.closed = true
	m.mu.Unlock()
	m.cancelBackground()
	m.backgroundTasks.Wait()
}

// nextHolder returns a new holder id that is unique among all processes.
func (m *Manager) nextHolder() holderID {
	return holderID{Router: m.self, Incarnation: m.incarnation, Process: m.processID, Seq: m.seq.Add(1)}
}

// compareAndSwap writes the record if the key's revision is expect. The write is detached from the caller's context, so
// that a caller who cancels does not interrupt it; when the context ends first, the response counts as lost.
func (m *Manager) compareAndSwap(ctx context.Context, key string, expect kv.Revision, r record) (kv.Revision, error) {
	value, err := r.encode()
	if err != nil {
		return 0, err
	}
	type response struct {
		revision kv.Revision
		err      error
	}
	responses := make(chan response, 1)
	go func() {
		detached, cancel := context.WithTimeout(context.WithoutCancel(ctx), storeTimeout)
		defer cancel()
		rev, err := m.store.CompareAndSwap(detached, key, expect, value)
		responses <- response{rev, err}
	}()
	select {
	case resp := <-responses:
		return resp.revision, resp.err
	case <-ctx.Done():
		return 0, kv.ErrUncertain
	}
}

// read reads a claim's key with storeTimeout.
func (m *Manager) read(ctx context.Context, key string) (kv.Entry, error) {
	bounded, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return m.store.Get(bounded, key)
}

// readOrAbsent is like read, but returns an entry with revision 0 if the key is absent.
func (m *Manager) readOrAbsent(ctx context.Context, key string) (kv.Entry, error) {
	entry, err := m.read(ctx, key)
	if errors.Is(err, kv.ErrNotFound) {
		return kv.Entry{}, nil
	}
	return entry, err
}

// newBackoff returns an exponential backoff that doubles from initial to maxInterval. Each delay is randomized by up to
// half of its length, so that routers do not retry in step.
func newBackoff(initial, maxInterval time.Duration) *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = initial
	b.MaxInterval = maxInterval
	b.Multiplier = 2
	return b
}

// sleep waits for d. It returns false at once when the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
