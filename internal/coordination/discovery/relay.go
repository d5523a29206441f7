package discovery

import (
	"context"
	"slices"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/state/kv"
)

const (
	// relayWait is how long another router holds a poll without changes. It is short, since the answer's age adds to that
	// of the other router's own knowledge.
	relayWait = 500 * time.Millisecond
	// relayLimit is the time beyond the wait after which another router is given up.
	relayLimit = 400 * time.Millisecond
	// maxRelayAge is the age from which another router's knowledge does not serve: it seems to have lost the store.
	maxRelayAge = 2200 * time.Millisecond
	// relayingWait is the wait of the store's polls of a router that others follow: the age of its knowledge, which is up to
	// twice as long, adds to theirs.
	relayingWait = 700 * time.Millisecond
	// relayingTime is how long after a question a router counts as one that others follow.
	relayingTime = 5 * time.Second
	// avoidTime is how long a router that did not serve is passed over.
	avoidTime = 1500 * time.Millisecond
)

// Peers lets a router follow the store through others, so that the calls of the store do not grow with the fleet.
type Peers interface {
	// Readers returns the addresses of the routers that read the store for others. It is empty for a router that reads
	// the store itself.
	Readers() []string
	// Changes asks another router for changes above a revision.
	Changes(ctx context.Context, address string, after kv.Revision, wait time.Duration) (Relayed, error)
}

// Relay answers another router that follows the store through this one.
func (f *Follower) Relay(ctx context.Context, after kv.Revision, wait time.Duration) (Relayed, error) {
	f.relayedAt.Store(time.Now().UnixNano())
	changes, revision, err := f.history.Since(ctx, after, min(wait, pollWait))
	if err != nil {
		return Relayed{}, err
	}
	age, ok := f.opts.Proof.Age()
	if !ok {
		return Relayed{}, kv.ErrUnavailable
	}
	return Relayed{Changes: changes, Revision: revision, Age: age}, nil
}

// relays reports whether other routers follow this one.
func (f *Follower) relays() bool {
	return time.Since(time.Unix(0, f.relayedAt.Load())) < relayingTime
}

// reader returns the next router to follow the store through, or an empty text.
func (f *Follower) reader(now time.Time) string {
	if f.opts.Peers == nil {
		return ""
	}
	readers := f.opts.Peers.Readers()
	for range readers {
		f.turn++
		address := readers[f.turn%len(readers)]
		if now.After(f.avoid[address]) {
			return address
		}
	}
	return ""
}

// followPeer makes one call of another router. It reports whether that served.
func (f *Follower) followPeer(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, relayWait+relayLimit)
	defer cancel()
	sent := f.opts.Proof.Now()
	answer, err := f.opts.Peers.Changes(ctx, address, f.revision, relayWait)
	if err != nil || answer.Age > maxRelayAge {
		f.avoid[address] = time.Now().Add(avoidTime)
		return false
	}
	f.turn-- // stays with a router that serves
	f.accept(answer.Changes, answer.Revision, sent-answer.Age)
	return true
}

// accept takes changes that bring the state to a revision, as of a time of the proof.
func (f *Follower) accept(changes []kv.Change, revision kv.Revision, at time.Duration) {
	fresh := slices.DeleteFunc(slices.Clone(changes), func(c kv.Change) bool { return c.Revision <= f.revision })
	f.opts.Sink.Apply(fresh, time.Now(), f.lapse())
	f.revision = max(f.revision, revision)
	f.inForce.Store(int64(f.revision))
	f.history.add(fresh, f.revision)
	f.opts.Proof.Confirm(at)
}
