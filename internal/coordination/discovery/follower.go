package discovery

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"

	"gooseberrytide.example/gooseberrytide/internal/coordination/freshness"
	"gooseberrytide.example/gooseberrytide/internal/state/kv"
	"gooseberrytide.example/gooseberrytide/internal/state/logfield"
	"gooseberrytide.example/gooseberrytide/internal/state/periodic"
)

const (
	// maxPollWait is the longest time for which the store holds a poll without changes. Each answer renews the proof of
	// freshness, whose age must stay well below the time in which a removed API key must stop working.
	maxPollWait = 1800 * time.Millisecond
	// pollJitter is the share of the wait that is random. A change ends the polls of all routers at once; with jitter
	// their next polls end at different times, so that some router always has a recent proof of freshness.
	pollJitter = 0.4
	// responseTimeout is the time beyond the wait after which a call is abandoned. A slow store answers in up to 300 ms.
	responseTimeout = 1200 * time.Millisecond
	// listTimeout bounds the listing of all keys, which takes several pages.
	listTimeout = 4 * time.Second
	// changeBatchDelay is the pause after a poll with changes, so that a burst of changes takes a few polls instead of one
	// for each change.
	changeBatchDelay = 100 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the exponential backoff between failed calls. The backoff library's default
	// jitter of 50 % in either direction spreads the retries of routers that lost the store at the same time.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 800 * time.Millisecond
)

// Sink receives the entries and changes that were read. Its methods are called by one goroutine.
type Sink interface {
	// Replace replaces the state of all keys. Servers whose entries are missing are kept until graceEnd if that is after
	// now, and dropped at once otherwise.
	Replace(entries []kv.Entry, now, graceEnd time.Time)
	// Apply applies changes in order. Servers whose entries were removed are kept until graceEnd if that is after now, and
	// dropped at once otherwise.
	Apply(changes []kv.Change, now, graceEnd time.Time)
	// Expire drops the servers whose grace period has ended.
	Expire(now time.Time)
}

// Options configure a Follower.
type Options struct {
	Feed  kv.Feed
	Sink  Sink
	Proof *freshness.Proof
	// Peers are other routers that read the store for this one. Default: none, so the router reads the store itself.
	Peers Peers
	Log   *zap.Logger
}

// Follower watches all keys of the store and passes their state and changes to a Sink.
type Follower struct {
	opts     Options
	revision kv.Revision
	// appliedRevision is a copy of revision that other goroutines may read.
	appliedRevision atomic.Int64
	// listed is set once all keys have been listed, and cleared when they must be listed again.
	listed  bool
	history *History
	// relayedAt is when another router last polled this one, in nanoseconds since the Unix epoch.
	relayedAt atomic.Int64
	backoff   *backoff.ExponentialBackOff
	// readerIndex selects the reader in use. avoidUntil holds, by address, when a reader that failed may be used again.
	readerIndex int
	avoidUntil  map[string]time.Time
	// reachable is set if the store answered the last call; restoredAt is when it last became reachable.
	reachable  bool
	restoredAt time.Time
}

// New returns a follower.
func New(opts Options) *Follower {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = minRetryDelay
	b.MaxInterval = maxRetryDelay
	return &Follower{opts: opts, backoff: b, history: NewHistory(), avoidUntil: make(map[string]time.Time)}
}

// Run watches the store until the context ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := f.step(ctx)
		now := time.Now()
		f.opts.Sink.Expire(now)
		if err == nil || ctx.Err() != nil {
			continue
		}
		f.recordFailure(err)
		periodic.Sleep(ctx, f.backoff.NextBackOff())
	}
}

// step makes one call: a listing, a poll of another router, or a poll of the store.
func (f *Follower) step(ctx context.Context) error {
	if !f.listed {
		return f.list(ctx)
	}
	if address := f.reader(time.Now()); address != "" && f.pollPeer(ctx, address) {
		return nil
	}
	wait := f.nextPollWait()
	ctx, cancel := context.WithTimeout(ctx, wait+responseTimeout)
	defer cancel()
	sent := f.opts.Proof.Now()
	changes, revision, err := f.opts.Feed.Changes(ctx, "", f.revision, wait)
	if errors.Is(err, kv.ErrCompacted) {
		f.opts.Log.Info("history discarded, listing again", zap.Int64("revision", int64(f.revision)))
		f.listed = false
		return nil
	}
	if err != nil {
		return err
	}
	f.recordSuccess()
	f.applyChanges(changes, revision, sent)
	if len(changes) > 0 {
		periodic.Sleep(ctx, changeBatchDelay)
	}
	return nil
}

// nextPollWait returns how long the store may hold the next poll. It is 0 for the first poll after an outage, so that
// the proof is renewed without delay.
func (f *Follower) nextPollWait() time.Duration {
	switch {
	case !f.reachable:
		return 0
	case time.Now().Before(f.graceEnd()):
		return gracePollWait
	case f.isRelaying():
		return relayingPollWait
	default:
		return time.Duration((1 - pollJitter*rand.Float64()) * float64(maxPollWait))
	}
}

// Revision returns the store's revision that the local state corresponds to.
func (f *Follower) Revision() kv.Revision { return kv.Revision(f.appliedRevision.Load()) }

// ConfirmRevision records another router's proof that the store's state had this revision at a time on the proof's
// clock. It confirms the local state only if that is at the same or a later revision.
func (f *Follower) ConfirmRevision(revision kv.Revision, at time.Duration) {
	if current := f.Revision(); current > 0 && current >= revision {
		f.opts.Proof.Confirm(at)
	}
}

func (f *Follower) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	sent := f.opts.Proof.Now()
	entries, revision, err := f.opts.Feed.List(ctx, "")
	if err != nil {
		return err
	}
	f.recordSuccess()
	f.opts.Sink.Replace(entries, time.Now(), f.graceEnd())
	f.revision = revision
	f.appliedRevision.Store(int64(revision))
	f.listed = true
	f.history.reset(revision)
	f.opts.Proof.Confirm(sent)
	return nil
}

const (
	// removalGrace is how long after an outage entries may be missing only because their servers have not written them
	// again. Servers need about two seconds; the rest of that time passes until the removal takes effect.
	removalGrace = 1800 * time.Millisecond
	// gracePollWait is the wait of polls in that period, so that servers that do not come back are dropped when it ends.
	gracePollWait = 200 * time.Millisecond
)

// graceEnd returns the end of the period in which entries may be missing because of an outage.
func (f *Follower) graceEnd() time.Time {
	if f.restoredAt.IsZero() {
		return time.Time{}
	}
	return f.restoredAt.Add(removalGrace)
}

func (f *Follower) recordSuccess() {
	f.backoff.Reset()
	if f.reachable {
		return
	}
	f.reachable = true
	f.restoredAt = time.Now()
	f.opts.Log.Info("store reached", zap.Int64("revision", int64(f.revision)))
}

func (f *Follower) recordFailure(err error) {
	if !f.reachable {
		return
	}
	f.reachable = false
	f.opts.Log.Warn("store lost", logfield.Error(err), zap.Int64("revision", int64(f.revision)))
}
