package discovery

import (
	"context"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/state/kv"
	"gooseberrytide.example/gooseberrytide/internal/state/logfield"
	"gooseberrytide.example/gooseberrytide/internal/state/periodic"
)

// pollAnswer is the answer to a poll of the store, or its error.
type pollAnswer struct {
	changes  []kv.Change
	position kv.Position
	// sent is when the poll was sent, on the proof's clock.
	sent time.Duration
	err  error
}

// poll asks the store for the changes after a position. The store may hold the poll until there are some.
func (f *Follower) poll(ctx context.Context, after kv.Position, wait time.Duration) pollAnswer {
	ctx, cancel := context.WithTimeout(ctx, wait+responseTimeout)
	defer cancel()
	a := pollAnswer{sent: f.opts.Proof.Now()}
	a.changes, a.position, a.err = f.opts.Feed.Changes(ctx, "", after, wait)
	return a
}

// handlePoll applies the answer to a poll.
func (f *Follower) handlePoll(ctx context.Context, a pollAnswer) error {
	if mustList(a.err) {
		f.opts.Log.Info("changes not available, listing again", f.revisionField(), logfield.Error(a.err))
		f.listed = false
		return nil
	}
	if a.err != nil {
		return a.err
	}
	f.recordSuccess()
	f.stale = false
	f.applyChanges(a.changes, a.position, a.sent)
	if len(a.changes) > 0 {
		periodic.Sleep(ctx, f.batchDelay())
	}
	return nil
}
