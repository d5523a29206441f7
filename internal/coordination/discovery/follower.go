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
	// pollWait is how long the store holds a poll without changes at most. Each answer renews the proof of freshness, which
	// must stay well below the time in which a removed API key must stop working.
	pollWait = 1800 * time.Millisecond
	// pollSpread is the part of the wait that is left to chance. A change ends the polls of all routers at once; spread
	// ends keep some router's proof young.
	pollSpread = 0.4
	// answerLimit is the time beyond the wait after which a call is given up. A slow store answers in up to 300 ms.
	answerLimit = 1200 * time.Millisecond
	// listLimit bounds the listing of all keys, which takes several pages.
	listLimit = 4 * time.Second
	// gatherPause follows a poll with changes, so that a series of changes takes a few polls and not one for each.
	gatherPause = 100 * time.Millisecond
	// Pauses between failed calls. Routers that lost the store together come back spread out: each pause is up to half
	// shorter or longer (the default of the back-off library).
	retryMin = 50 * time.Millisecond
	retryMax = 800 * time.Millisecond
)

// Sink takes what was read. Its methods are called by one goroutine.
type Sink interface {
	// Replace takes the state of all keys. Servers whose entries are missing are kept until lapse, if that is later.
	Replace(entries []kv.Entry, now, lapse time.Time)
	// Apply takes changes in order. Servers whose entries were removed are kept until lapse, if that is later.
	Apply(changes []kv.Change, now, lapse time.Time)
	// Expire drops what was kept for a while.
	Expire(now time.Time)
}

// Options configure a Follower.
type Options struct {
	Feed  kv.Feed
	Sink  Sink
	Proof *freshness.Proof
	// Peers are other routers that read the store for this one. Default: none, the router reads the store itself.
	Peers Peers
	Log   *zap.Logger
}

// Follower follows all keys of the store.
type Follower struct {
	opts     Options
	revision kv.Revision
	// inForce is the revision for other goroutines.
	inForce atomic.Int64
	listed  bool
	history *History
	// relayedAt is the time of the last question of another router, in nanoseconds of Unix time.
	relayedAt atomic.Int64
	backoff   *backoff.ExponentialBackOff
	// turn names the reader in use, avoid the end of the time in which one is passed over.
	turn  int
	avoid map[string]time.Time
	// reached says that the store answered the last call; restored is when it was reached again.
	reached  bool
	restored time.Time
}

// New returns a follower.
func New(opts Options) *Follower {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = retryMin
	b.MaxInterval = retryMax
	return &Follower{opts: opts, backoff: b, history: NewHistory(), avoid: make(map[string]time.Time)}
}

// Run follows the store until the context ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := f.step(ctx)
		now := time.Now()
		f.opts.Sink.Expire(now)
		if err == nil || ctx.Err() != nil {
			continue
		}
		f.noteFailure(err)
		periodic.Sleep(ctx, f.backoff.NextBackOff())
	}
}

// step makes one call.
func (f *Follower) step(ctx context.Context) error {
	if !f.listed {
		return f.list(ctx)
	}
	if address := f.reader(time.Now()); address != "" && f.followPeer(ctx, address) {
		return nil
	}
	wait := f.wait()
	ctx, cancel := context.WithTimeout(ctx, wait+answerLimit)
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
	f.noteSuccess()
	f.accept(changes, revision, sent)
	if len(changes) > 0 {
		periodic.Sleep(ctx, gatherPause)
	}
	return nil
}

// wait returns how long the store may hold the next poll. The first poll after an outage is answered at once, so that
// the proof is renewed without delay.
func (f *Follower) wait() time.Duration {
	switch {
	case !f.reached:
		return 0
	case time.Now().Before(f.lapse()):
		return lapsePoll
	case f.relays():
		return relayingWait
	default:
		return time.Duration((1 - pollSpread*rand.Float64()) * float64(pollWait))
	}
}

// Revision returns the revision of the state in force.
func (f *Follower) Revision() kv.Revision { return kv.Revision(f.inForce.Load()) }

// Vouch records that the store's state was that of a revision at a time of the proof, as another router has shown. It
// says something about the own state if that is not older.
func (f *Follower) Vouch(revision kv.Revision, at time.Duration) {
	if current := f.Revision(); current > 0 && current >= revision {
		f.opts.Proof.Confirm(at)
	}
}

func (f *Follower) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listLimit)
	defer cancel()
	sent := f.opts.Proof.Now()
	entries, revision, err := f.opts.Feed.List(ctx, "")
	if err != nil {
		return err
	}
	f.noteSuccess()
	f.opts.Sink.Replace(entries, time.Now(), f.lapse())
	f.revision = revision
	f.inForce.Store(int64(revision))
	f.listed = true
	f.history.reset(revision)
	f.opts.Proof.Confirm(sent)
	return nil
}

const (
	// lapseTime is how long after an outage entries may be missing only because their servers have not written them
	// again. Servers need about two seconds; what remains is the time until the removal is acted on.
	lapseTime = 1800 * time.Millisecond
	// lapsePoll is the wait of polls in that time, so that servers that do not come back are dropped when it ends.
	lapsePoll = 200 * time.Millisecond
)

// lapse returns the end of the time in which entries may be missing because of an outage.
func (f *Follower) lapse() time.Time {
	if f.restored.IsZero() {
		return time.Time{}
	}
	return f.restored.Add(lapseTime)
}

func (f *Follower) noteSuccess() {
	f.backoff.Reset()
	if f.reached {
		return
	}
	f.reached = true
	f.restored = time.Now()
	f.opts.Log.Info("store reached", zap.Int64("revision", int64(f.revision)))
}

func (f *Follower) noteFailure(err error) {
	if !f.reached {
		return
	}
	f.reached = false
	f.opts.Log.Warn("store lost", logfield.Error(err), zap.Int64("revision", int64(f.revision)))
}
