package claim

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"gooseberrytide.example/gooseberrytide/internal/coordination/fencing"
	"gooseberrytide.example/gooseberrytide/internal/state/kv"
)

const (
	// restoreHold is how long after a restore of the store calls without a final record are not run. In this time the
	// routers that are alive write the claims again that they hold or have ended lately.
	restoreHold = 30 * time.Second
	// restorePollPeriod is how often the manager checks whether the store was restored.
	restorePollPeriod = 500 * time.Millisecond
	// recentRetention is how long ended claims are remembered, so that they can be written again. It is well above the
	// age of the copies that a store comes back from.
	recentRetention = 2 * time.Minute
	// maxRecentClaims bounds the remembered claims that have ended, maxRecentBodyBytes the size of their results, which are
	// remembered without a body beyond it.
	maxRecentClaims    = 8192
	maxRecentBodyBytes = 16 << 20
	// clusterKey holds the cluster that the routers last saw. A copy holds that of the cluster before the restore.
	clusterKey = "claim-cluster"
)

// ErrStoreRestored reports that the store came back from an older copy, which may lack the claim of a call that has run.
var ErrStoreRestored = errors.New("claim: the store was restored and may lack the claim")

// clusterRecord is the value of clusterKey.
type clusterRecord struct {
	Cluster string `json:"cluster"`
	// NoticedMS is when a router noticed that the store was restored, in milliseconds since 1970; 0 if none has.
	NoticedMS int64 `json:"noticed_ms,omitempty"`
}

// recentClaim is a claim of this process that a copy of the store may lack.
type recentClaim struct {
	record record
	// endedAt is zero while the claim is held.
	endedAt time.Time
}

// restoreGuard keeps calls from running again after the store was restored from an older copy. It is safe for concurrent
// use.
type restoreGuard struct {
	m *Manager
	// cluster returns the identity of the store's data, or an empty text before the first response.
	cluster func() string

	mu sync.Mutex
	// ready is set once clusterKey was read. known is the cluster whose claims are in force, or empty if the store does
	// not tell.
	ready bool
	known string
	// holdUntil is the end of the time in which calls without a final record are not run.
	holdUntil time.Time
	recent    map[string]*recentClaim
	// recentBytes is the total size of the bodies in recent.
	recentBytes int
}

func newRestoreGuard(m *Manager, cluster func() string) *restoreGuard {
	return &restoreGuard{m: m, cluster: cluster, recent: make(map[string]*recentClaim)}
}

// holding reports whether calls without a final record must not run now. It notices a restore.
func (g *restoreGuard) holding() bool {
	if g.cluster == nil {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.notice()
	return g.m.clock().Before(g.holdUntil)
}

// notice begins a hold if the store has another cluster than the known one. The guard must be locked.
func (g *restoreGuard) notice() {
	current := g.cluster()
	if !g.ready || current == "" || current == g.known {
		return
	}
	if g.known == "" {
		g.known = current
		return
	}
	g.m.log.Warn("claim: store restored from an older copy", zap.String("cluster", current),
		zap.String("previous_cluster", g.known), zap.Int("claims", len(g.recent)), zap.Duration("hold", restoreHold))
	g.known = current
	g.holdUntil = g.m.clock().Add(restoreHold)
}

// start learns from the store whether it was restored lately, unless that is known. Its error is that of the store.
func (g *restoreGuard) start(ctx context.Context) error {
	if g.cluster == nil || g.started() {
		return nil
	}
	stored, _, err := g.readCluster(ctx)
	if err != nil {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ready {
		return nil
	}
	g.ready, g.known = true, g.cluster()
	switch {
	case g.known == "":
	case stored.Cluster != "" && stored.Cluster != g.known:
		g.known = stored.Cluster
		g.notice()
	case stored.NoticedMS > 0:
		g.holdUntil = time.UnixMilli(stored.NoticedMS).Add(restoreHold)
	}
	return nil
}

// readCluster returns the record of clusterKey with its revision. A record that is absent or cannot be decoded has no
// cluster.
func (g *restoreGuard) readCluster(ctx context.Context) (clusterRecord, kv.Revision, error) {
	entry, err := g.m.readOrAbsent(ctx, clusterKey)
	if err != nil {
		return clusterRecord{}, 0, err
	}
	var stored clusterRecord
	if entry.Revision == 0 || json.Unmarshal(entry.Value, &stored) != nil {
		stored = clusterRecord{}
	}
	return stored, entry.Revision, nil
}

func (g *restoreGuard) started() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ready
}

// remember records the latest state of a claim of this process.
func (g *restoreGuard) remember(key string, r record) {
	if g.cluster == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	c := &recentClaim{record: r}
	if r.State != stateOpen {
		c.endedAt = g.m.clock()
	}
	g.forget(key)
	if len(g.recent) >= maxRecentClaims {
		g.expire()
	}
	if len(g.recent) >= maxRecentClaims && r.State != stateOpen {
		return // claims that are held matter more, and their number is bounded by the running calls
	}
	if r.Result != nil && g.recentBytes+len(r.Result.Body) > maxRecentBodyBytes {
		result := r.Result.withoutBody()
		c.record.Result = &result
	}
	g.recent[key] = c
	g.recentBytes += c.bodyBytes()
}

func (c *recentClaim) bodyBytes() int {
	if c.record.Result == nil {
		return 0
	}
	return len(c.record.Result.Body)
}

// forget drops a claim. The guard must be locked.
func (g *restoreGuard) forget(key string) {
	if c := g.recent[key]; c != nil {
		g.recentBytes -= c.bodyBytes()
		delete(g.recent, key)
	}
}

// expire drops the claims that ended longer than recentRetention ago. The guard must be locked.
func (g *restoreGuard) expire() {
	now := g.m.clock()
	for key, c := range g.recent {
		if !c.endedAt.IsZero() && now.Sub(c.endedAt) > recentRetention {
			g.forget(key)
		}
	}
}

// run writes the claims of this process again after each restore, until ctx ends.
func (g *restoreGuard) run(ctx context.Context) {
	handled := ""
	for sleep(ctx, restorePollPeriod) {
		if g.start(ctx) != nil {
			continue
		}
		g.holding() // notices a restore
		g.mu.Lock()
		g.expire()
		known, restored := g.known, g.m.clock().Before(g.holdUntil)
		g.mu.Unlock()
		if known == handled {
			continue
		}
		if (!restored || g.writeAgain(ctx)) && g.writeCluster(ctx, known, restored) {
			handled = known
		}
	}
}

// writeAgain writes the claims that the store lacks. It reports whether all were handled.
func (g *restoreGuard) writeAgain(ctx context.Context) bool {
	g.mu.Lock()
	pending := make(map[string]recentClaim, len(g.recent))
	for key, c := range g.recent {
		pending[key] = *c
	}
	g.mu.Unlock()
	for key, c := range pending {
		if err := g.writeClaimAgain(ctx, key, c); err != nil {
			g.m.log.Warn("claim: claim not written again after a restore", zap.String("key", key), zap.Error(err))
			return false
		}
	}
	g.m.log.Info("claim: claims written again after a restore", zap.Int("claims", len(pending)))
	return true
}

// writeClaimAgain writes a claim unless the store has a record that it must not replace.
func (g *restoreGuard) writeClaimAgain(ctx context.Context, key string, c recentClaim) error {
	entry, err := g.m.readOrAbsent(ctx, key)
	if err != nil {
		return err
	}
	if entry.Revision != 0 && !replaceable(entry, c.record) {
		return nil
	}
	if !g.m.writeTokens.takeBackground(false) {
		return ErrBudgetExceeded
	}
	_, err = g.m.compareAndSwap(ctx, key, entry.Revision, c.record)
	if errors.Is(err, kv.ErrConflict) {
		return nil // its holder or another router has just written it
	}
	return err
}

// replaceable reports whether the record in a restored store may be replaced by that of a claim of this process: an
// earlier state of the same claim, or a call that did not run.
func replaceable(entry kv.Entry, latest record) bool {
	rec, err := decodeRecord(entry.Value)
	if err != nil || rec.Fingerprint != latest.Fingerprint {
		return false
	}
	if rec.Holder == latest.Holder {
		return rec.State == stateOpen && latest.State != stateOpen
	}
	return rec.State == stateNotRun && latest.State != stateNotRun
}

// writeCluster records the present cluster in the store, for routers that start later.
func (g *restoreGuard) writeCluster(ctx context.Context, cluster string, restored bool) bool {
	stored, revision, err := g.readCluster(ctx)
	if err != nil || stored.Cluster == cluster {
		return err == nil
	}
	latest := clusterRecord{Cluster: cluster}
	if restored {
		latest.NoticedMS = g.m.clock().UnixMilli()
	}
	value, err := json.Marshal(latest)
	if err != nil || !g.m.writeTokens.takeBackground(false) {
		return false
	}
	bounded, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	_, err = g.m.store.CompareAndSwap(bounded, clusterKey, revision, value)
	return err == nil || errors.Is(err, kv.ErrConflict)
}

// beginHeld answers a call while calls without a final record must not run. Errors: *OpenError unless the store has the
// call's result, *KeyConflictError, *StoreError.
func (b *beginOperation) beginHeld(ctx context.Context) (*Claim, *Result, error) {
	entry, err := b.read(ctx)
	if errors.Is(err, kv.ErrNotFound) {
		return nil, nil, &OpenError{Err: ErrStoreRestored}
	}
	if err != nil {
		return nil, nil, &StoreError{Err: err}
	}
	next, err := b.decide(entry)
	switch {
	case err != nil:
		return nil, nil, err
	case next.action == actionDone:
		return nil, next.result, nil
	}
	return nil, nil, &OpenError{RequestID: b.holderRequestID, Err: ErrStoreRestored}
}

// checkRestored ends a claim that was written while the store was found to be restored: an earlier claim of the call may
// be lost, and the claim's revision may be that of another one. Otherwise it gives the claim its fencing number.
func (b *beginOperation) checkRestored(
	ctx context.Context, claim *Claim, epoch fencing.Epoch,
) (*Claim, *Result, error) {
	number, err := epoch.Number(claim.revision)
	if err == nil && !b.m.restores.holding() {
		claim.fencingNumber = number
		b.m.restores.remember(b.key, b.call.openRecord(b.holder))
		return claim, nil, nil
	}
	if err := claim.Abandon(ctx); err != nil {
		b.m.log.Warn("claim: not ended after a restore", zap.String("key", b.key), zap.Error(err))
	}
	return nil, nil, &OpenError{Err: ErrStoreRestored}
}
