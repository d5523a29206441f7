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
	// limitKey holds the token record.
	limitKey = "order-limit/loads"
	// limitTries bounds the compare-and-swap attempts of one change; owners that lose more often wait.
	limitTries = 4
	ratePeriod = time.Minute
)

// errLimited reports that the weight store's limits leave no room for another load.
var errLimited = errors.New("order: load limit reached")

// load is an entry of the token record.
type load struct {
	ID     string          `json:"id"`
	Engine ident.BackendID `json:"engine"`
	// StartMS is the start in milliseconds since 1970 by the owner's clock.
	StartMS int64 `json:"start_ms"`
	// Done says that the load is over; the entry stays for the rate of starts.
	Done bool `json:"done,omitempty"`
}

// limiter keeps the fleet's loads within the weight store's limits.
type limiter struct {
	store   kv.Store
	atOnce  int
	perMin  int
	timeout time.Duration
}

// acquire enters a load, or returns errLimited. An entry that an earlier order left for the engine is replaced.
func (l *limiter) acquire(ctx context.Context, engine ident.BackendID, id string) error {
	return l.change(ctx, func(list []load, now time.Time) ([]load, error) {
		return l.enter(list, now, load{ID: id, Engine: engine, StartMS: now.UnixMilli()})
	}, id)
}

// release marks a load as over.
func (l *limiter) release(ctx context.Context, id string) error {
	return l.change(ctx, func(list []load, _ time.Time) ([]load, error) {
		for i := range list {
			list[i].Done = list[i].Done || list[i].ID == id
		}
		return list, nil
	}, "")
}

func (l *limiter) enter(list []load, now time.Time, wanted load) ([]load, error) {
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
	if running >= l.atOnce || recent >= l.perMin {
		return nil, errLimited
	}
	return append(list, wanted), nil
}

// change applies a change to the token record. A lost answer is settled by looking for an entry with the id, if one is
// given.
func (l *limiter) change(ctx context.Context, apply func([]load, time.Time) ([]load, error), id string) error {
	for range limitTries {
		list, revision, err := l.read(ctx)
		if err != nil {
			return err
		}
		now := time.Now()
		if list, err = apply(l.current(list, now), now); err != nil {
			return err
		}
		value, err := json.Marshal(list)
		if err != nil {
			return err
		}
		_, err = l.store.CompareAndSwap(ctx, limitKey, revision, value)
		if errors.Is(err, kv.ErrUncertain) {
			return l.settle(ctx, id, err)
		}
		if !errors.Is(err, kv.ErrConflict) {
			return err
		}
	}
	return kv.ErrConflict
}

func (l *limiter) settle(ctx context.Context, id string, lost error) error {
	list, _, err := l.read(ctx)
	if err != nil {
		return err
	}
	for _, e := range list {
		if e.ID == id {
			return nil
		}
	}
	return lost
}

func (l *limiter) read(ctx context.Context) ([]load, kv.Revision, error) {
	entry, err := l.store.Get(ctx, limitKey)
	if errors.Is(err, kv.ErrNotFound) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	var list []load
	if err := json.Unmarshal(entry.Value, &list); err != nil {
		return nil, 0, fmt.Errorf("order: token record: %w", err)
	}
	return list, entry.Revision, nil
}

// current leaves out entries that count no longer, so the record holds at most the loads of a minute and those under
// way. An entry from far in the future comes from a wrong clock.
func (l *limiter) current(list []load, now time.Time) []load {
	var out []load
	for _, e := range list {
		age := e.age(now)
		expired := age >= l.timeout || age < -ratePeriod
		if !expired && (!e.Done || age < ratePeriod) {
			out = append(out, e)
		}
	}
	return out
}

func (e load) age(now time.Time) time.Duration { return now.Sub(time.UnixMilli(e.StartMS)) }
