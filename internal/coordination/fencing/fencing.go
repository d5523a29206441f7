package fencing

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/pkg/errors"

	"gooseberrytide.example/gooseberrytide/internal/state/kv"
)

const (
	// Key is the key of the epoch.
	Key = "fencing-epoch"
	// revisionBits is the number of bits of a fencing number that hold the revision. The numbers of 8192 epochs stay
	// below 2^53, so that receivers which decode JSON numbers as floating point can still tell them apart.
	revisionBits = 40
	// maxWriteAttempts bounds the attempts to write the epoch, which fail while other routers write it.
	maxWriteAttempts = 4
)

// ErrRestored reports that the store was restored from an older copy during a write, so that no fencing number can be
// made from the revision.
var ErrRestored = errors.New("fencing: the store was restored during the write")

// epochRecord is the value of Key.
type epochRecord struct {
	Cluster string `json:"cluster"`
	Epoch   int64  `json:"epoch"`
}

// Numbers makes fencing numbers. It is safe for concurrent use. A nil pointer makes numbers that are equal to the
// revisions.
type Numbers struct {
	store kv.Store
	// cluster returns the identity of the store's data as of its latest response, or an empty string if it is not
	// known.
	cluster func() string

	mu sync.Mutex
	// ready is set once the epoch was read. known is the highest epoch seen, with its cluster.
	ready bool
	known epochRecord
}

// New returns Numbers for the revisions of a store. cluster returns the identity of the store's data as of its latest
// response; a store that was restored from a copy has another one.
func New(store kv.Store, cluster func() string) *Numbers {
	return &Numbers{store: store, cluster: cluster}
}

// Epoch is the part of the fencing numbers that belongs to one cluster.
type Epoch struct {
	numbers *Numbers
	record  epochRecord
}

// Cluster returns the identity of the store's data, or an empty string if it is not known.
func (e Epoch) Cluster() string { return e.record.Cluster }

// Number returns the fencing number of a write that began after the epoch was obtained, from the revision that the
// store returned. It returns ErrRestored if the store was restored since.
func (e Epoch) Number(revision kv.Revision) (int64, error) {
	if e.numbers != nil && e.numbers.cluster() != e.record.Cluster {
		return 0, ErrRestored
	}
	return e.record.Epoch<<revisionBits | int64(revision), nil
}

// Current returns the epoch of the store's present cluster. The first call reads it from the store, and so does the
// next call after the cluster has changed or after Refresh. Errors: kv errors, or an error for an epoch that cannot be
// decoded.
func (n *Numbers) Current(ctx context.Context) (Epoch, error) {
	if n == nil {
		return Epoch{}, nil
	}
	if record, ok := n.cached(); ok {
		return Epoch{numbers: n, record: record}, nil
	}
	for range maxWriteAttempts {
		record, err := n.advance(ctx)
		if err == nil {
			return Epoch{numbers: n, record: record}, nil
		}
		if !errors.Is(err, kv.ErrConflict) && !errors.Is(err, kv.ErrUncertain) {
			return Epoch{}, err
		}
	}
	return Epoch{}, kv.ErrConflict
}

// Refresh makes the next call of Current read the epoch again. It is called when a receiver has seen a higher fencing
// number, because a router that remembers a higher epoch may have raised it.
func (n *Numbers) Refresh() {
	if n == nil {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ready = false
}

// cached returns the known epoch, and true if it belongs to the store's present cluster and need not be read again.
func (n *Numbers) cached() (epochRecord, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.known, n.ready && n.known.Cluster == n.cluster()
}

// advance reads the epoch, and writes it if it belongs to another cluster or is not above that of an earlier cluster
// that this router remembers.
func (n *Numbers) advance(ctx context.Context) (epochRecord, error) {
	stored, revision, err := n.read(ctx)
	if err != nil {
		return epochRecord{}, err
	}
	next := n.next(stored)
	if next != stored {
		value, err := json.Marshal(next)
		if err != nil {
			return epochRecord{}, errors.Wrap(err, "fencing: encode epoch")
		}
		if _, err := n.store.CompareAndSwap(ctx, Key, revision, value); err != nil {
			return epochRecord{}, err
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ready, n.known = true, next
	return next, nil
}

// read returns the stored epoch and its revision; both are zero when there is none.
func (n *Numbers) read(ctx context.Context) (epochRecord, kv.Revision, error) {
	entry, err := n.store.Get(ctx, Key)
	if errors.Is(err, kv.ErrNotFound) {
		return epochRecord{}, 0, nil
	}
	if err != nil {
		return epochRecord{}, 0, err
	}
	var stored epochRecord
	if err := json.Unmarshal(entry.Value, &stored); err != nil {
		return epochRecord{}, 0, errors.Wrap(err, "fencing: decode epoch")
	}
	return stored, entry.Revision, nil
}

// next returns the epoch that the store must have: the stored one, unless it belongs to another cluster or this router
// remembers an epoch of another cluster that is not lower.
func (n *Numbers) next(stored epochRecord) epochRecord {
	n.mu.Lock()
	defer n.mu.Unlock()
	next := epochRecord{Cluster: n.cluster(), Epoch: stored.Epoch}
	if stored.Cluster != "" && stored.Cluster != next.Cluster {
		next.Epoch++
	}
	if n.known.Cluster != "" && n.known.Cluster != next.Cluster && n.known.Epoch >= next.Epoch {
		next.Epoch = n.known.Epoch + 1
	}
	return next
}
