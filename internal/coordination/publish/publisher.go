package publish

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"

	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/state/kv"
	"gooseberrytide.example/gooseberrytide/internal/state/object"
	"gooseberrytide.example/gooseberrytide/internal/state/periodic"
	"gooseberrytide.example/gooseberrytide/internal/state/snapshot"
)

const (
	// maxAttempts bounds the attempts of an operation that fails because of a conflict or a stale read.
	maxAttempts = 8
	// resolveTimeout bounds the time to find out whether a write took effect whose response was lost. It is longer than
	// two calls that reach the client's timeout of 2 s.
	resolveTimeout = 10 * time.Second
	// minRetryDelay and maxRetryDelay bound the delay between attempts.
	minRetryDelay = 20 * time.Millisecond
	maxRetryDelay = 500 * time.Millisecond
)

// Publisher publishes configurations to the store. It is safe for concurrent use.
type Publisher struct {
	reader storeReader
	quorum func() bool
	// cluster and fleet are those of DetectRestores.
	cluster func() string
	fleet   FleetState
}

// NewPublisher returns a Publisher. quorum reports whether the router is in contact with a majority of the listed VMs.
func NewPublisher(store kv.Store, quorum func() bool) *Publisher {
	return &Publisher{
		reader:  storeReader{store: store},
		quorum:  quorum,
		cluster: func() string { return "" },
		fleet:   unknownFleet{},
	}
}

// UseSnapshot gives the publisher access to the snapshot in force. The publisher then does not read chunks that the
// snapshot has, and keeps new generations above the one in force even when the store lost its content. It must be
// called before the first publish.
func (p *Publisher) UseSnapshot(holder *snapshot.Holder) { p.reader.local = holder }

// Head returns the configuration in the store, or generation 0 and an empty set when there is none.
// Errors: kv errors, ErrCorrupt, *LostError.
func (p *Publisher) Head(ctx context.Context) (ident.Generation, *object.Set, error) {
	var lastErr error
	delays := newDelays()
	for range maxAttempts {
		h, _, err := p.reader.readHead(ctx)
		if err != nil {
			return 0, nil, err
		}
		if lost := p.lostGeneration(h); lost > 0 {
			return 0, nil, &LostError{Generation: lost, Stored: h.Generation}
		}
		set, err := p.reader.readSet(ctx, h.Chunks)
		if err == nil {
			return h.Generation, set, nil
		}
		lastErr = err
		// A missing chunk means that the read of the head was stale.
		if !errors.Is(err, kv.ErrNotFound) || !waitRetry(ctx, delays) {
			break
		}
	}
	return 0, nil, lastErr
}

// Publish checks a set and publishes it as the successor of the base generation. It returns the generation in
// force; when the set equals the one in force, nothing is written. After *UncertainError the set may have been
// published. After any other error nothing was published: object.Findings, *ConflictError, ErrNoQuorum, ErrContended,
// ErrCorrupt, kv.ErrUnavailable, kv.ErrThrottled, kv.ErrTooLarge.
func (p *Publisher) Publish(ctx context.Context, base ident.Generation, set *object.Set) (ident.Generation, error) {
	set = set.Clone()
	object.ApplyDefaults(set)
	if err := object.Check(set).Err(); err != nil {
		return 0, err
	}
	if !p.quorum() {
		return 0, ErrNoQuorum
	}
	chunks, err := splitChunks(set)
	if err != nil {
		return 0, err
	}
	job := publishJob{Publisher: p, base: base, set: set, chunks: chunks, publishID: rand.Text()}
	return job.run(ctx)
}

// publishJob is one call of Publish.
type publishJob struct {
	*Publisher
	base      ident.Generation
	set       *object.Set
	chunks    []chunk
	publishID string
	// rewrite reports that the job's head may have been written during a restore, so that its chunks may be missing and
	// its generation may have been used before. The chunks and a head with a higher generation are then written again.
	rewrite bool
	// written is the generation of the head that is written again.
	written ident.Generation
}

// attemptOutcome says whether an attempt ends its publish.
type attemptOutcome int

const (
	// attemptDone ends the publish with the attempt's result.
	attemptDone attemptOutcome = iota
	// attemptRetry means that the attempt had no effect and cannot take effect later, so that it may be repeated.
	attemptRetry
)

// run repeats the attempt until it ends the publish, maxAttempts is reached or the context ends. In the last two cases
// it returns the last error.
func (j *publishJob) run(ctx context.Context) (ident.Generation, error) {
	delays := newDelays()
	lastErr := error(ErrContended)
	for range maxAttempts {
		gen, result, err := j.attempt(ctx)
		if j.rewrite {
			return j.rewriteHead(ctx)
		}
		if result == attemptDone {
			return gen, err
		}
		if err != nil {
			lastErr = err
		}
		if !waitRetry(ctx, delays) {
			break
		}
	}
	return 0, lastErr
}

// attempt reads the head, writes the chunks and replaces the head once.
func (j *publishJob) attempt(ctx context.Context) (ident.Generation, attemptOutcome, error) {
	h, revision, err := j.reader.readHead(ctx)
	if err != nil {
		return 0, attemptDone, err
	}
	// The writes below are made in this cluster, unless it differs after the last one.
	cluster := j.cluster()
	if !j.rewrite {
		if gen, result, err, ended := j.checkBase(ctx, h); ended {
			return gen, result, err
		}
	} else if h.PublishID != j.publishID {
		return 0, attemptDone, errReplaced
	}
	if err := j.writeChunks(ctx, h, revision); err != nil {
		if errors.Is(err, ErrContended) {
			return 0, attemptRetry, err
		}
		return 0, attemptDone, err
	}
	if !j.quorum() {
		return 0, attemptDone, ErrNoQuorum
	}
	gen, result, err := j.swapHead(ctx, h, revision, cluster)
	if result == attemptDone && err == nil && j.cluster() != cluster {
		j.rewrite, j.written = true, gen
		return 0, attemptRetry, ErrContended
	}
	return gen, result, err
}

// checkBase checks whether the job may replace the head. If it may not, ended is true and the other results are those
// of the attempt.
func (j *publishJob) checkBase(
	ctx context.Context, h head,
) (_ ident.Generation, _ attemptOutcome, err error, ended bool) {
	if lost := j.lostGeneration(h); lost > 0 {
		// The read may also be stale; then the head's write fails.
		if lost != j.base || j.inForce() != lost {
			return 0, attemptRetry, j.lostConflict(lost), true
		}
		return 0, attemptDone, nil, false
	}
	switch {
	case h.Generation < j.base:
		// The read was stale, or the store lost content. The conflict of the last attempt is reported.
		return 0, attemptRetry, &ConflictError{Generation: h.Generation, Approximate: true}, true
	case h.Generation > 0 && slices.Equal(h.Chunks, chunkHashes(j.chunks)):
		return h.Generation, attemptDone, nil, true
	case h.Generation > j.base:
		return 0, attemptDone, j.conflict(ctx, h), true
	}
	return 0, attemptDone, nil, false
}

// swapHead replaces the head that has the revision.
func (j *publishJob) swapHead(
	ctx context.Context, h head, revision kv.Revision, cluster string,
) (ident.Generation, attemptOutcome, error) {
	gen := j.nextGeneration(h, cluster)
	next := h.next(version{Generation: gen, PublishID: j.publishID, Chunks: chunkHashes(j.chunks)}, cluster)
	value, err := json.Marshal(next)
	if err != nil {
		return 0, attemptDone, errors.Wrap(err, "publish: encode head")
	}
	_, err = j.reader.swapHead(ctx, h, revision, value)
	switch {
	case err == nil:
		return gen, attemptDone, nil
	case errors.Is(err, kv.ErrConflict):
		return 0, attemptRetry, ErrContended
	case errors.Is(err, kv.ErrUncertain):
		return j.resolve(ctx, h, revision, gen, value, cluster)
	}
	return 0, attemptDone, err
}

// resolve finds out whether a compare-and-swap of the head took effect whose response was lost. While the head keeps
// its old revision, that write may still take effect. Repeating it is safe, because only one of the two writes can
// succeed and both have the same content.
func (j *publishJob) resolve(
	ctx context.Context, old head, revision kv.Revision, gen ident.Generation, value []byte, cluster string,
) (ident.Generation, attemptOutcome, error) {
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	delays := newDelays()
	for {
		h, current, err := j.reader.readHead(ctx)
		switch {
		case err == nil && h.includes(gen, j.publishID):
			return gen, attemptDone, nil
		case err == nil && j.cluster() != cluster:
			// The store may have assigned the same revisions again, so that the write must not be repeated: it could
			// replace another head.
			return 0, attemptDone, &UncertainError{Generation: gen, PublishID: j.publishID, Cause: ErrStoreRestored}
		case err == nil && current > revision && h.pastReaches(old.Generation):
			// Another write replaced the head. Revisions only grow, so the lost write can no longer succeed.
			return 0, attemptRetry, ErrContended
		case err == nil:
			_, err = j.reader.swapHead(ctx, old, revision, value)
			if err == nil {
				return gen, attemptDone, nil
			}
		}
		if !waitRetry(ctx, delays) {
			return 0, attemptDone, &UncertainError{Generation: gen, PublishID: j.publishID, Cause: kv.ErrUncertain}
		}
	}
}

// conflict returns the *ConflictError with the objects that both sides changed since the base.
func (j *publishJob) conflict(ctx context.Context, h head) error {
	conflict := &ConflictError{Generation: h.Generation}
	theirs, err := j.reader.readSet(ctx, h.Chunks)
	if err != nil {
		conflict.Approximate = true
		return conflict
	}
	base, err := j.baseSet(ctx, h)
	if err != nil {
		conflict.Approximate = true
		for _, difference := range object.Diff(theirs, j.set) {
			conflict.Objects = append(conflict.Objects, difference.ID)
		}
		return conflict
	}
	_, conflict.Objects = object.Merge(base, j.set, theirs)
	return conflict
}

// baseSet returns the configuration of the base generation.
func (j *publishJob) baseSet(ctx context.Context, h head) (*object.Set, error) {
	if j.base == 0 {
		return object.NewSet(), nil
	}
	v, ok := h.find(j.base)
	if !ok {
		return nil, errors.Errorf("publish: generation %d is no longer known", j.base)
	}
	return j.reader.readSet(ctx, v.Chunks)
}

// newDelays returns the exponential backoff between attempts.
func newDelays() *backoff.ExponentialBackOff {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = minRetryDelay
	delays.MaxInterval = maxRetryDelay
	return delays
}

// waitRetry waits for the delay before the next attempt. It returns false when the context ends first.
func waitRetry(ctx context.Context, delays *backoff.ExponentialBackOff) bool {
	return periodic.Sleep(ctx, delays.NextBackOff())
}
