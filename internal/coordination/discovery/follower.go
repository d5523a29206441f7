package discovery

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"
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
	// minPollWait is the lower bound of the time for which the store holds a poll while a short bound on the age of the
	// proof requires frequent polls. pollReserve is the time for calls within that bound.
	minPollWait = 100 * time.Millisecond
	pollReserve = 200 * time.Millisecond
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
	// startBatchDelay is that pause while the router waits for reports of the others after its start. If all routers start
	// at once, their entries are one long burst of changes.
	startBatchDelay = 400 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the exponential backoff between the beginnings of failed calls. The backoff
	// library's default jitter of 50 % in either direction spreads the retries of routers that lost the store at the same time.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 500 * time.Millisecond
)

// Sink receives the entries and changes that were read. Its methods are called one after another.
type Sink interface {
	// Replace replaces the state of all keys. Servers whose entries are missing are kept until graceEnd if that is after
	// now, and dropped at once otherwise.
	Replace(entries []kv.Entry, now, graceEnd time.Time)
	// Apply applies changes in order. Servers whose entries were removed are kept until graceEnd if that is after now, and
	// dropped at once otherwise.
	Apply(changes []kv.Change, now, graceEnd time.Time)
	// Restore replaces the state of all keys by that of an older copy, from which the store came back. It keeps what is
	// known to have happened later. Otherwise it is like Replace.
	Restore(entries []kv.Entry, now, graceEnd time.Time)
	// Expire drops the servers and routers whose grace period has ended.
	Expire(now time.Time)
	// EndGrace drops those whose grace period has not ended, too.
	EndGrace(now time.Time)
}

// Options configure a Follower.
type Options struct {
	Feed  kv.Feed
	Sink  Sink
	Proof *freshness.Proof
	// Peers are other routers that read the store for this one. Default: none, so the router reads the store itself.
	Peers Peers
	Log   *zap.Logger
	// IsConfig reports whether a key is that of the configuration. Default: no key.
	IsConfig func(key string) bool
	// OnRestored is called when the store has come back from an older copy. Default: nothing.
	OnRestored func()
	// MaxProofAge returns the age of the proof up to which it is of use. Default: there is no bound.
	MaxProofAge func() time.Duration
	// FleetConfig returns what the other routers report of the configuration. Default: there are no other routers.
	FleetConfig func() FleetConfig
}

// Follower watches all keys of the store and passes their state and changes to a Sink.
type Follower struct {
	opts Options
	// sinkMu is held while the sink is called.
	sinkMu   sync.Mutex
	position kv.Position
	// appliedPosition is a copy of position that other goroutines may read.
	appliedPosition atomic.Pointer[kv.Position]
	// confirmedEra is the era in which the state was last confirmed.
	confirmedEra atomic.Int64
	// settledAt is the time from which the state of a new era may be confirmed: the store may lack a configuration that
	// it had acknowledged until the operators have written it again.
	settledAt time.Time
	// mu protects start and unconfirmed, the latest time on the proof's clock as of which the state would be confirmed.
	mu          sync.Mutex
	start       startCheck
	unconfirmed time.Duration
	// listed is set once all keys have been listed, and cleared when they must be listed again.
	listed bool
	// triedStale is set once a stale listing was requested; stale is set while the state is that of one.
	triedStale, stale bool
	history           *History
	// relayedAt is when another router last polled this one, in nanoseconds since the Unix epoch.
	relayedAt atomic.Int64
	backoff   *backoff.ExponentialBackOff
	// readerIndex selects the reader in use. avoidUntil holds, by address, when a reader that failed may be used again.
	readerIndex int
	avoidUntil  map[string]time.Time
	contact     storeContact
}

// New returns a follower.
func New(opts Options) *Follower {
	if opts.IsConfig == nil {
		opts.IsConfig = func(string) bool { return false }
	}
	if opts.OnRestored == nil {
		opts.OnRestored = func() {}
	}
	if opts.FleetConfig == nil {
		opts.FleetConfig = func() FleetConfig { return FleetConfig{Heard: true} }
	}
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = minRetryDelay
	b.MaxInterval = maxRetryDelay
	return &Follower{opts: opts, backoff: b, history: NewHistory(), avoidUntil: make(map[string]time.Time)}
}

// Run watches the store until the context ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		began := time.Now()
		err := f.step(ctx)
		f.expire()
		if err == nil || ctx.Err() != nil {
			continue
		}
		f.recordFailure(err)
		// A call that hung has already been the pause: what was sent to a lost store is lost, even if the store is back since.
		periodic.Sleep(ctx, f.backoff.NextBackOff()-time.Since(began))
	}
}

// updateSink calls the sink.
func (f *Follower) updateSink(update func(Sink)) {
	f.sinkMu.Lock()
	defer f.sinkMu.Unlock()
	update(f.opts.Sink)
}

// expire drops what has passed its grace.
func (f *Follower) expire() {
	f.updateSink(func(s Sink) { s.Expire(time.Now()) })
}

// step makes one call: a listing, a poll of another router, or a poll of the store.
func (f *Follower) step(ctx context.Context) error {
	if !f.listed {
		return f.list(ctx)
	}
	if address := f.reader(time.Now()); address != "" && !f.stale && f.pollPeer(ctx, address) {
		return nil
	}
	return f.handlePoll(ctx, f.poll(ctx, f.position, f.nextPollWait()))
}

// mustList reports whether the changes after the present position cannot be read.
func mustList(err error) bool {
	return errors.Is(err, kv.ErrCompacted) || errors.Is(err, kv.ErrTooManyChanges) || errors.Is(err, kv.ErrRestored)
}

// batchDelay returns the pause after a poll with changes.
func (f *Follower) batchDelay() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.start.passed {
		return changeBatchDelay
	}
	return startBatchDelay
}

// nextPollWait returns how long the store may hold the next poll. It is 0 for the first poll after an outage, so that
// the proof is renewed without delay.
func (f *Follower) nextPollWait() time.Duration {
	switch {
	case !f.contact.isAnswering(), f.stale:
		return 0
	case time.Now().Before(f.contact.graceEnd()), time.Now().Before(f.settledAt):
		return gracePollWait
	case f.isRelaying():
		return f.boundPollWait(relayingPollWait, peerPollWait)
	default:
		return time.Duration((1 - pollJitter*rand.Float64()) * float64(f.boundPollWait(maxPollWait, 0)))
	}
}

// boundPollWait returns the largest wait up to a given one with which the proof stays within its bound. A poll confirms the
// state as of the time at which it was sent, so that the proof is up to two waits old when the next one is answered. passed
// is the time for which other routers wait for the state from this one.
func (f *Follower) boundPollWait(wait, passed time.Duration) time.Duration {
	if f.opts.MaxProofAge == nil {
		return wait
	}
	return max(min(wait, (f.opts.MaxProofAge()-pollReserve-passed)/2), minPollWait)
}

// Position returns the store's position that the local state corresponds to. It is zero before the first listing.
func (f *Follower) Position() kv.Position {
	if p := f.appliedPosition.Load(); p != nil {
		return *p
	}
	return kv.Position{}
}

// ConfirmPosition records another router's proof that the store's state had this position at a time on the proof's
// clock. It confirms the local state only if that includes the position.
func (f *Follower) ConfirmPosition(position kv.Position, at time.Duration) {
	if current := f.Position(); !current.IsZero() && current.Includes(position) {
		f.confirmStarted(at)
	}
}

// CheckStart confirms the state that a router which has just started has read, as soon as it may rely on it. It must be
// called from time to time.
func (f *Follower) CheckStart() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.start.passed || !f.checkStart() || f.unconfirmed == 0 {
		return
	}
	f.confirmProof(f.unconfirmed)
}

// confirmProof confirms the local state as of a time on the proof's clock.
func (f *Follower) confirmProof(at time.Duration) {
	f.confirmedEra.Store(int64(f.Position().Era))
	f.opts.Proof.Confirm(at)
}

// ConfirmedEra returns the store's era in which the local state was last confirmed. It is 0 before the first confirmation.
func (f *Follower) ConfirmedEra() kv.Era { return kv.Era(f.confirmedEra.Load()) }

// checkStart reports whether this router may rely on the configuration that it has read since its start. mu must be held.
func (f *Follower) checkStart() bool {
	if f.start.passed {
		return true
	}
	position := f.Position()
	if position.IsZero() {
		return false
	}
	fleet := f.opts.FleetConfig()
	passed := f.start.pass(time.Now(), fleet, position.Era)
	if passed && fleet.Own < fleet.Newest {
		f.opts.Log.Warn("serving with an older configuration than other routers", zap.Int64("own_version", fleet.Own),
			zap.Int64("newest_version", fleet.Newest))
	}
	return passed
}

// confirmStarted confirms the local state as of a time on the proof's clock once the router may rely on it.
func (f *Follower) confirmStarted(at time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.checkStart() {
		f.confirmProof(at)
	} else {
		f.unconfirmed = max(f.unconfirmed, at)
	}
}

// setPosition sets the position that the local state corresponds to.
func (f *Follower) setPosition(p kv.Position) {
	f.position = p
	f.appliedPosition.Store(&p)
}

// confirm confirms the local state as of a time on the proof's clock, unless the store may lack a configuration that it
// had acknowledged.
func (f *Follower) confirm(at time.Duration) {
	if !time.Now().Before(f.settledAt) {
		f.confirmStarted(at)
	}
}

func (f *Follower) revisionField() zap.Field {
	return zap.Int64("revision", int64(f.position.Revision))
}

func (f *Follower) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	if !f.triedStale {
		return f.listStale(ctx)
	}
	sent := f.opts.Proof.Now()
	entries, position, err := f.opts.Feed.List(ctx, "")
	if err != nil {
		return err
	}
	if position.Era < f.position.Era {
		return errors.New("discovery: answer of an earlier era")
	}
	f.recordSuccess()
	if position.Era > f.position.Era && !f.position.IsZero() {
		f.restore(entries, position)
	} else {
		f.replace(entries)
	}
	f.setPosition(position)
	f.listed, f.stale = true, false
	f.history.reset(position)
	f.confirm(sent)
	return nil
}

// listStale lists all keys for the first time, at a lower cost. The next poll brings the state up to date and confirms it.
func (f *Follower) listStale(ctx context.Context) error {
	f.triedStale = true
	entries, position, err := f.opts.Feed.ListStale(ctx, "")
	if err != nil {
		return err
	}
	f.recordSuccess()
	f.replace(entries)
	f.setPosition(position)
	f.listed, f.stale = true, true
	f.history.reset(position)
	// If all routers start at once, the next poll has the entries of most.
	periodic.Sleep(ctx, startBatchDelay)
	return nil
}

// replace applies a listing of the store.
func (f *Follower) replace(entries []kv.Entry) {
	f.updateSink(func(s Sink) { s.Replace(entries, time.Now(), f.contact.graceEnd()) })
}

// settlePeriod is how long the operators may take to write the newest configuration again after the store came back from
// an older copy.
const settlePeriod = 2 * time.Second

// restore applies the entries of a store that came back from an older copy.
func (f *Follower) restore(entries []kv.Entry, position kv.Position) {
	now := time.Now()
	f.contact.recordRestore(now)
	f.scheduleExpiry()
	f.settledAt = now.Add(settlePeriod)
	f.mu.Lock()
	f.unconfirmed = 0 // it is that of another era
	f.mu.Unlock()
	f.opts.Log.Warn("store restored from an older copy",
		zap.Int64("era", int64(position.Era)), zap.Int64("previous_era", int64(f.position.Era)),
		zap.Int64("revision", int64(position.Revision)), zap.Int64("previous_revision", int64(f.position.Revision)))
	f.updateSink(func(s Sink) { s.Restore(entries, now, f.contact.graceEnd()) })
	f.opts.OnRestored()
}

// gracePollWait is the wait of polls in the grace after an outage and in settlePeriod, so that the state is confirmed soon when
// it ends.
const gracePollWait = 200 * time.Millisecond

// scheduleExpiry makes a grace that begins now end on time, whatever call the router waits for then.
func (f *Follower) scheduleExpiry() { time.AfterFunc(removalGrace, f.expire) }

// Contact returns this router's contact with the store. It returns false if there is none.
func (f *Follower) Contact() (Contact, bool) { return f.contact.current(time.Now()) }

// HearContact takes note of another router's contact with the store. If that shows that the store was not away while this router
// had no contact, the entries that are missing have been removed and not lapsed.
func (f *Follower) HearContact(other Contact) {
	if !f.contact.hear(time.Now(), other) {
		return
	}
	f.opts.Log.Info("store was not away, another router had contact", zap.Duration("began", other.Began),
		zap.Duration("answered", other.Answered))
	f.updateSink(func(s Sink) { s.EndGrace(time.Now()) })
}

func (f *Follower) recordSuccess() {
	f.backoff.Reset()
	regained, unanswered := f.contact.recordAnswer(time.Now())
	if !regained {
		return
	}
	f.scheduleExpiry()
	f.opts.Log.Info("store reached", f.revisionField(), zap.Duration("unanswered", unanswered))
}

func (f *Follower) recordFailure(err error) {
	if f.contact.recordFailure() {
		f.opts.Log.Warn("store lost", logfield.Error(err), f.revisionField())
	}
}
