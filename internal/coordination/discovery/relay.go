package discovery

import (
	"context"
	"slices"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/state/kv"
)

const (
	// peerPollWait is how long another router holds a poll without changes. It is short, since the wait adds to the age of
	// the other router's own proof.
	peerPollWait = 500 * time.Millisecond
	// peerResponseTimeout is the time beyond the wait after which a poll of another router is abandoned.
	peerResponseTimeout = 400 * time.Millisecond
	// maxPeerAge is the age above which another router's state is not used: that router seems to have lost the store.
	maxPeerAge = 2200 * time.Millisecond
	// relayingPollWait is the wait of the store polls of a router that relays to others. The age of its state, which is up
	// to twice as long, adds to the age of theirs.
	relayingPollWait = 700 * time.Millisecond
	// relayingPeriod is how long after a poll by another router this one counts as relaying.
	relayingPeriod = 5 * time.Second
	// avoidPeriod is how long a reader that failed is not polled again.
	avoidPeriod = 1500 * time.Millisecond
)

// Peers lets a router read the store through others, so that the number of store calls does not grow with the fleet.
type Peers interface {
	// Readers returns the addresses of the routers that read the store for others. It is empty for a router that reads
	// the store itself.
	Readers() []string
	// Changes asks another router for changes after a position.
	Changes(ctx context.Context, address string, after kv.Position, wait time.Duration) (Relayed, error)
}

// Relay answers another router that reads the store through this one. It returns kv.ErrCompacted if the history does
// not hold all changes, and kv.ErrUnavailable without a proof of freshness.
func (f *Follower) Relay(ctx context.Context, after kv.Position, wait time.Duration) (Relayed, error) {
	f.relayedAt.Store(time.Now().UnixNano())
	changes, position, err := f.history.Since(ctx, after, min(wait, maxPollWait))
	if err != nil {
		return Relayed{}, err
	}
	age, ok := f.opts.Proof.Age()
	if !ok {
		return Relayed{}, kv.ErrUnavailable
	}
	return Relayed{Changes: changes, Revision: position.Revision, Era: position.Era, Age: age}, nil
}

// isRelaying reports whether other routers read the store through this one.
func (f *Follower) isRelaying() bool {
	return time.Since(time.Unix(0, f.relayedAt.Load())) < relayingPeriod
}

// reader returns the address of the next router to read the store through, or "" if there is none.
func (f *Follower) reader(now time.Time) string {
	if f.opts.Peers == nil {
		return ""
	}
	readers := f.opts.Peers.Readers()
	for range readers {
		f.readerIndex++
		address := readers[f.readerIndex%len(readers)]
		if now.After(f.avoidUntil[address]) {
			return address
		}
	}
	return ""
}

// pollPeer polls another router for changes. It reports whether that router's answer could be used.
func (f *Follower) pollPeer(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, peerPollWait+peerResponseTimeout)
	defer cancel()
	sent := f.opts.Proof.Now()
	answer, err := f.opts.Peers.Changes(ctx, address, f.position, peerPollWait)
	if err != nil || answer.Age > maxPeerAge || answer.Era != f.position.Era {
		f.avoidUntil[address] = time.Now().Add(avoidPeriod)
		return false
	}
	f.readerIndex-- // keep using this reader
	f.applyChanges(answer.Changes, f.position.At(answer.Revision), sent-answer.Age)
	return true
}

// applyChanges applies changes that bring the state to a position of the same era, and confirms that state as of a time
// on the proof's clock.
func (f *Follower) applyChanges(changes []kv.Change, position kv.Position, at time.Duration) {
	fresh := slices.DeleteFunc(slices.Clone(changes), func(c kv.Change) bool {
		return f.position.Includes(f.position.At(c.Revision))
	})
	f.updateSink(func(s Sink) { s.Apply(fresh, time.Now(), f.contact.graceEnd()) })
	if slices.ContainsFunc(fresh, func(c kv.Change) bool { return f.opts.IsConfig(c.Key) }) {
		f.settledAt = time.Time{}
	}
	f.setPosition(f.position.Later(position))
	f.history.add(fresh, f.position)
	f.confirm(at)
}
