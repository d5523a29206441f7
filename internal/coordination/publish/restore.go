package publish

import (
	"cmp"
	"context"
	"time"

	"github.com/pkg/errors"

	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/state/object"
)

// restoreGap is added to the generation of the first publish after a restore of the store. The store may have lost up
// to this many generations that no reachable router knows, and none of them must be used again.
const restoreGap = 1000

// rewriteTimeout bounds the attempts to write a head again that was written during a restore. It covers the outage that
// a restore usually comes with.
const rewriteTimeout = time.Minute

// FleetState is what a router knows of the configuration apart from the store. Syncer implements it.
type FleetState interface {
	// KnownGeneration returns the highest generation that is in force here or was announced.
	KnownGeneration() ident.Generation
	// HeadCluster returns the identity of the store's data when the store last had the configuration in force or a
	// newer one, or an empty string if that is not known.
	HeadCluster() string
}

// unknownFleet is the FleetState of a Publisher without DetectRestores.
type unknownFleet struct{}

func (unknownFleet) KnownGeneration() ident.Generation { return 0 }

func (unknownFleet) HeadCluster() string { return "" }

// DetectRestores lets the publisher detect that the store was restored from an older copy. cluster returns the identity
// of the store's data as of its latest response. It must be called before the first publish.
func (p *Publisher) DetectRestores(cluster func() string, fleet FleetState) {
	p.cluster, p.fleet = cluster, fleet
}

// lostGeneration returns the highest known generation if the store was restored from an older copy that lacks it, or
// else 0. A head that was written in the present cluster is only a stale read. A store without a head may also have
// been emptied on purpose.
func (p *Publisher) lostGeneration(h head) ident.Generation {
	written, cluster := h.Cluster, p.cluster()
	if h.Generation == 0 {
		written = cmp.Or(p.fleet.HeadCluster(), cluster)
	}
	known := p.knownGeneration()
	if cluster == "" || written == cluster || h.Generation >= known {
		return 0
	}
	return known
}

// knownGeneration returns the highest generation that this router knows.
func (p *Publisher) knownGeneration() ident.Generation {
	return max(p.fleet.KnownGeneration(), p.inForce())
}

// inForce returns the generation in force at this router, or 0.
func (p *Publisher) inForce() ident.Generation {
	if local := p.reader.local; local != nil && local.Load() != nil {
		return local.Load().Generation()
	}
	return 0
}

// lostConflict returns the conflict with a generation that the store lacks. The objects are those that differ.
func (j *publishJob) lostConflict(lost ident.Generation) error {
	conflict := &ConflictError{Generation: lost, Approximate: true, Lost: true}
	if j.inForce() == lost {
		for _, difference := range object.Diff(j.reader.local.Load().Set(), j.set) {
			conflict.Objects = append(conflict.Objects, difference.ID)
		}
	}
	return conflict
}

// errReplaced reports that the store does not have the head that had to be written again: it was lost or replaced.
var errReplaced = errors.New("publish: the store has another head")

// rewriteHead writes a head again that was written during a restore. It continues after ctx has been cancelled, because
// no router can read a head whose chunks are missing. It returns *UncertainError if it fails.
func (j *publishJob) rewriteHead(ctx context.Context) (ident.Generation, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), rewriteTimeout)
	defer cancel()
	delays := newDelays()
	for {
		gen, result, err := j.attempt(ctx)
		if result == attemptDone && err == nil {
			return gen, nil
		}
		if errors.Is(err, errReplaced) || !waitRetry(ctx, delays) {
			cause := errors.WithMessage(ErrStoreRestored, err.Error())
			return 0, &UncertainError{Generation: j.written, PublishID: j.publishID, Cause: cause}
		}
	}
}

// nextGeneration returns a generation above the head's and above all that this router knows, so that routers accept it
// even when the store lost its content. After a restore it leaves a gap for generations that only other routers know.
func (j *publishJob) nextGeneration(h head, cluster string) ident.Generation {
	known := j.knownGeneration()
	gen := max(h.Generation, known) + 1
	if cluster != "" && h.Cluster != cluster && (h.Cluster != "" || known > h.Generation) {
		gen += restoreGap
	}
	return gen
}
