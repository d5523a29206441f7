package order

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/state/kv"
)

const (
	// loadsKey is the key of the token record.
	loadsKey = "order-limit/loads"
	// maxSwapAttempts bounds the compare-and-swap attempts of one update. An owner whose attempts all fail tries again
	// when it next reconciles the engine.
	maxSwapAttempts = 4
	// ratePeriod is the period over which load starts are counted.
	ratePeriod = time.Minute
)

// errLoadLimit reports that the weight store's limits do not allow another load now.
var errLoadLimit = errors.New("order: load limit reached")

// loadEntry is an entry of the token record.
type loadEntry struct {
	ID     string          `json:"id"`
	Engine ident.BackendID `json:"engine"`
	// StartMS is the start time by the owner's clock, in milliseconds since the Unix epoch.
	StartMS int64 `json:"start_ms"`
	// Done says that the load has ended; the entry stays because it counts towards the rate of starts.
	Done bool `json:"done,omitempty"`
}

// limiter keeps the fleet's loads within the weight store's limits.
type limiter struct {
	store kv.Store
	// maxLoading bounds the loads in progress, maxPerMinute the starts within ratePeriod.
	maxLoading   int
	maxPerMinute int
	// timeout is the age at which the entry of a load expires.
	timeout time.Duration
}

// acquire adds an entry for a load, or returns errLoadLimit. An entry that an earlier order left for the engine is
// marked as done.
func (l *limiter) acquire(ctx context.Context, engine ident.BackendID, id string) error {
	return l.update(ctx, func(list []loadEntry, now time.Time) ([]loadEntry, error) {
		return l.addEntry(list, now, loadEntry{ID: id, Engine: engine, StartMS: now.UnixMilli()})
	}, id)
}

// addAgain adds the entries that the record lacks, and marks other entries of their engines as done. It ignores the limits,
// because the loads have started already. It can be repeated after an error.
func (l *limiter) addAgain(ctx context.Context, running []loadEntry) error {
	return l.update(ctx, func(list []loadEntry, _ time.Time) ([]loadEntry, error) {
		for _, wanted := range running {
			list = addRunning(list, wanted)
		}
		return list, nil
	}, "")
}

// addRunning adds an entry if the list lacks it, and marks other entries of its engine as done.
func addRunning(list []loadEntry, wanted loadEntry) []loadEntry {
	known := false
	for i := range list {
		if list[i].ID == wanted.ID {
			known = true
		} else if list[i].Engine == wanted.Engine {
			list[i].Done = true
		}
	}
	if known {
		return list
	}
	return append(list, wanted)
}

// release marks a load as done.
func (l *limiter) release(ctx context.Context, id string) error {
	return l.update(ctx, func(list []loadEntry, _ time.Time) ([]loadEntry, error) {
		for i := range list {
			list[i].Done = list[i].Done || list[i].ID == id
		}
		return list, nil
	}, "")
}

func (l *limiter) addEntry(list []loadEntry, now time.Time, wanted loadEntry) ([]loadEntry, error) {
	running, recent := 0, 0
	for i := range list {
		if list[i].ID == wanted.ID {
			return list, nil
		}
		if list[i].Engine == wanted.Engine {
			list[i].Done = true
		}
		if !list[i].Done {
			running++
		}
		if list[i].age(now) < ratePeriod {
			recent++
		}
	}
	if running >= l.maxLoading || recent >= l.maxPerMinute {
		return nil, errLoadLimit
	}
	return append(list, wanted), nil
}

// update applies a change to the token record by compare-and-swap. If the outcome of the write is uncertain, the write
// counts as successful if the record then has an entry with the id. It returns kv.ErrConflict after maxSwapAttempts.
func (l *limiter) update(
	ctx context.Context, apply func([]loadEntry, time.Time) ([]loadEntry, error), id string,
) error {
	for range maxSwapAttempts {
		list, revision, err := l.read(ctx)
		if err != nil {
			return err
		}
		now := time.Now()
		if list, err = apply(l.dropExpired(list, now), now); err != nil {
			return err
		}
		value, err := json.Marshal(list)
		if err != nil {
			return err
		}
		_, err = l.store.CompareAndSwap(ctx, loadsKey, revision, value)
		if errors.Is(err, kv.ErrUncertain) {
			return l.resolveUncertain(ctx, id, err)
		}
		if !errors.Is(err, kv.ErrConflict) {
			return err
		}
	}
	return kv.ErrConflict
}

func (l *limiter) resolveUncertain(ctx context.Context, id string, writeErr error) error {
	list, _, err := l.read(ctx)
	if err != nil {
		return err
	}
	for _, e := range list {
		if e.ID == id {
			return nil
		}
	}
	return writeErr
}

func (l *limiter) read(ctx context.Context) ([]loadEntry, kv.Revision, error) {
	entry, err := l.store.Get(ctx, loadsKey)
	if errors.Is(err, kv.ErrNotFound) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	var list []loadEntry
	if err := json.Unmarshal(entry.Value, &list); err != nil {
		return nil, 0, fmt.Errorf("order: token record: %w", err)
	}
	return list, entry.Revision, nil
}

// dropExpired returns the entries that still count, so the record holds at most the starts of a minute and the loads in
// progress. An entry from far in the future comes from a wrong clock.
func (l *limiter) dropExpired(list []loadEntry, now time.Time) []loadEntry {
	var out []loadEntry
	for _, e := range list {
		age := e.age(now)
		expired := age >= l.timeout || age < -ratePeriod
		if !expired && (!e.Done || age < ratePeriod) {
			out = append(out, e)
		}
	}
	return out
}

func (e loadEntry) age(now time.Time) time.Duration { return now.Sub(time.UnixMilli(e.StartMS)) }
