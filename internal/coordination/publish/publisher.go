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
	// maxTries bounds how often a step starts again after a conflict or an old read.
	maxTries = 8
	// settleLimit bounds the search for the fate of a write whose answer was lost. It is above two calls that run
	// into the client's limit of 2 s.
	settleLimit = 10 * time.Second
	// Pauses between tries.
	firstPause = 20 * time.Millisecond
	maxPause   = 500 * time.Millisecond
)

// Publisher publishes configurations. It is safe for concurrent use.
type Publisher struct {
	reader storeReader
	quorum func() bool
}

// NewPublisher returns a publisher. Quorum says whether the router hears a majority of the listed VMs.
func NewPublisher(store kv.Store, quorum func() bool) *Publisher {
	return &Publisher{reader: storeReader{store: store}, quorum: quorum}
}

// UseSnapshot tells the publisher the snapshot in force. It saves reads of chunks, and keeps new generations above
// the one in force when the store lost its content. It is to be called before the first publish.
func (p *Publisher) UseSnapshot(holder *snapshot.Holder) { p.reader.local = holder }

// Head returns the configuration that the store holds, or generation 0 and an empty set when there is none.
// Errors: kv errors, ErrCorrupt.
func (p *Publisher) Head(ctx context.Context) (ident.Generation, *object.Set, error) {
	var last error
	pauses := newPauses()
	for range maxTries {
		h, _, err := p.reader.head(ctx)
		if err != nil {
			return 0, nil, err
		}
		set, err := p.reader.set(ctx, h.Chunks)
		if err == nil {
			return h.Generation, set, nil
		}
		last = err
		// A chunk that is gone means that the head was an old one.
		if !errors.Is(err, kv.ErrNotFound) || !pause(ctx, pauses) {
			break
		}
	}
	return 0, nil, last
}

// Publish checks a set and publishes it as the successor of the base generation. It returns the generation in
// force; when the set equals the one in force, nothing is written. Errors: object.Findings, *ConflictError,
// ErrNoQuorum, ErrContended, ErrCorrupt, kv.ErrUnavailable, kv.ErrThrottled, kv.ErrTooLarge: nothing was published.
// *UncertainError: the set may have been published.
func (p *Publisher) Publish(ctx context.Context, base ident.Generation, set *object.Set) (ident.Generation, error) {
	set = set.Clone()
	object.ApplyDefaults(set)
	if err := object.Check(set).Err(); err != nil {
		return 0, err
	}
	if !p.quorum() {
		return 0, ErrNoQuorum
	}
	chunks, err := split(set)
	if err != nil {
		return 0, err
	}
	job := publishJob{Publisher: p, base: base, set: set, chunks: chunks, id: rand.Text()}
	return job.run(ctx)
}

// publishJob is one call of Publish.
type publishJob struct {
	*Publisher
	base   ident.Generation
	set    *object.Set
	chunks []chunk
	id     string
}

// outcome says how one try ended.
type outcome int

const (
	// done ends the publish with the try's result.
	done outcome = iota
	// again means that the try had no effect and cannot have one later.
	again
)

func (j *publishJob) run(ctx context.Context) (ident.Generation, error) {
	pauses := newPauses()
	last := error(ErrContended)
	for range maxTries {
		gen, result, err := j.try(ctx)
		if result == done {
			return gen, err
		}
		if err != nil {
			last = err
		}
		if !pause(ctx, pauses) {
			break
		}
	}
	return 0, last
}

func (j *publishJob) try(ctx context.Context) (ident.Generation, outcome, error) {
	h, revision, err := j.reader.head(ctx)
	if err != nil {
		return 0, done, err
	}
	if h.Generation < j.base {
		// An old read, or a store that lost content. The last try's conflict is reported.
		return 0, again, &ConflictError{Generation: h.Generation, Approximate: true}
	}
	if h.Generation > 0 && slices.Equal(h.Chunks, hashes(j.chunks)) {
		return h.Generation, done, nil
	}
	if h.Generation > j.base {
		return 0, done, j.conflict(ctx, h)
	}
	if err := j.writeChunks(ctx, h, revision); err != nil {
		if errors.Is(err, ErrContended) {
			return 0, again, err
		}
		return 0, done, err
	}
	if !j.quorum() {
		return 0, done, ErrNoQuorum
	}
	return j.swap(ctx, h, revision)
}

// swap replaces the head.
func (j *publishJob) swap(ctx context.Context, h head, revision kv.Revision) (ident.Generation, outcome, error) {
	gen := j.nextGeneration(h)
	next := h.next(version{Generation: gen, PublishID: j.id, Chunks: hashes(j.chunks)})
	value, err := json.Marshal(next)
	if err != nil {
		return 0, done, errors.Wrap(err, "publish: encode head")
	}
	_, err = j.reader.store.CompareAndSwap(ctx, HeadKey, revision, value)
	switch {
	case err == nil:
		return gen, done, nil
	case errors.Is(err, kv.ErrConflict):
		return 0, again, ErrContended
	case errors.Is(err, kv.ErrUncertain):
		return j.settle(ctx, h, revision, gen, value)
	}
	return 0, done, err
}

// nextGeneration is above the head's generation and above the one in force here, so that routers accept it even
// when the store lost its content.
func (j *publishJob) nextGeneration(h head) ident.Generation {
	gen := h.Generation
	if local := j.reader.local; local != nil && local.Load() != nil {
		gen = max(gen, local.Load().Generation())
	}
	return gen + 1
}

// settle finds out what became of a swap whose answer was lost. While the head keeps its old revision, the lost
// write may still take effect; the same write again settles it, because only one of the two can succeed and both
// have the same content.
func (j *publishJob) settle(ctx context.Context, old head, revision kv.Revision, gen ident.Generation, value []byte) (ident.Generation, outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, settleLimit)
	defer cancel()
	pauses := newPauses()
	for {
		h, now, err := j.reader.head(ctx)
		switch {
		case err == nil && h.includes(j.id):
			return gen, done, nil
		case err == nil && now > revision && h.reaches(old.Generation):
			// The head moved on without this publish, and its revision cannot come back.
			return 0, again, ErrContended
		case err == nil:
			_, err = j.reader.store.CompareAndSwap(ctx, HeadKey, revision, value)
			if err == nil {
				return gen, done, nil
			}
		}
		if !pause(ctx, pauses) {
			return 0, done, &UncertainError{Generation: gen, PublishID: j.id, Cause: kv.ErrUncertain}
		}
	}
}

// conflict names the objects that both sides changed since the base.
func (j *publishJob) conflict(ctx context.Context, h head) error {
	conflict := &ConflictError{Generation: h.Generation}
	theirs, err := j.reader.set(ctx, h.Chunks)
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

func (j *publishJob) baseSet(ctx context.Context, h head) (*object.Set, error) {
	if j.base == 0 {
		return object.NewSet(), nil
	}
	v, ok := h.find(j.base)
	if !ok {
		return nil, errors.Errorf("publish: generation %d is no longer known", j.base)
	}
	return j.reader.set(ctx, v.Chunks)
}

func newPauses() *backoff.ExponentialBackOff {
	pauses := backoff.NewExponentialBackOff()
	pauses.InitialInterval = firstPause
	pauses.MaxInterval = maxPause
	return pauses
}

// pause waits before the next try and says whether the context still runs.
func pause(ctx context.Context, pauses *backoff.ExponentialBackOff) bool {
	return periodic.Sleep(ctx, pauses.NextBackOff())
}
