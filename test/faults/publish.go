package faults

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"gooseberrytide.example/gooseberrytide/internal/protocol/admin"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/state/object"
	"gooseberrytide.example/gooseberrytide/internal/state/periodic"
	"gooseberrytide.example/gooseberrytide/test/fleet"
)

const (
	// publishLimit bounds one publish. A refused or lost one is not repeated.
	publishLimit = 15 * time.Second
	pollPeriod   = 100 * time.Millisecond
	// publishPause is the mean pause between publishes beside the faults.
	publishPause = 1500 * time.Millisecond
)

// publish sends a configuration with another weight of a team, over the generation that the router has in force. An
// accepted generation is recorded.
func (w *world) publish(ctx context.Context, r *fleet.Router, team string, weight float64) error {
	ctx, cancel := context.WithTimeout(ctx, publishLimit)
	defer cancel()
	err := w.send(ctx, r, team, weight)
	w.traffic.notePublish(err)
	return err
}

func (w *world) send(ctx context.Context, r *fleet.Router, team string, weight float64) error {
	status, err := r.Status(ctx)
	if err != nil {
		return err
	}
	objects, err := object.EncodeList(w.changed(team, weight))
	if err != nil {
		return err
	}
	var resp admin.ApplyResponse
	req := admin.ApplyRequest{Base: status.Generation, Objects: objects}
	if err := fleet.Do(ctx, http.MethodPost, "http://"+r.Caller+"/v1/admin/config", req, &resp); err != nil {
		return err
	}
	w.accept(resp.Generation, fmt.Sprintf("%s: weight of %s is %v", r.ID, team, weight))
	return nil
}

// publishEventually publishes until one publish is accepted. Without faults this has to succeed.
func (w *world) publishEventually(ctx context.Context, weight float64) error {
	return fleet.Await(ctx, serveLimit, "publish after the faults", func() error {
		return w.publish(ctx, w.current()[0], teams[0].Name, weight)
	})
}

// notePublish counts a publish by its answer.
func (t *traffic) notePublish(err error) {
	what := "publish accepted"
	var refused *fleet.StatusError
	switch {
	case errors.As(err, &refused):
		what = fmt.Sprintf("publish answered with status %d", refused.Status)
	case err != nil:
		what = "publish without answer"
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outcomes[what]++
}

// acceptance is an accepted publish.
type acceptance struct {
	what string
	at   time.Time
}

// accept records an accepted generation. Two publishes must not be accepted with the same one.
func (w *world) accept(g ident.Generation, what string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if other, ok := w.accepted[uint64(g)]; ok {
		w.violations = append(w.violations, fmt.Sprintf("generation %d accepted twice: %s, and %s", g, other.what, what))
	}
	w.accepted[uint64(g)] = acceptance{what: what, at: time.Now()}
}

// newest returns the highest accepted generation.
func (w *world) newest() ident.Generation {
	w.mu.Lock()
	defer w.mu.Unlock()
	highest := uint64(1) // the fleet's first configuration
	for g := range w.accepted {
		highest = max(highest, g)
	}
	return ident.Generation(highest)
}

// weightStep tells the weights of different publishes apart. Publishing the set in force again is accepted with the
// generation that it has, and is no second acceptance.
const weightStep = 1e-4

// changed returns the fleet's configuration with another weight of a team. No two of them are equal.
func (w *world) changed(team string, weight float64) *object.Set {
	w.mu.Lock()
	w.publishes++
	weight += float64(w.publishes) * weightStep
	w.mu.Unlock()
	set := *w.fleet.Set
	set.Teams = maps.Clone(set.Teams)
	other := *set.Teams[team]
	other.Weight = weight
	set.Teams[team] = &other
	return &set
}

// watch polls a router's generation until the process ends. A lower one than before is a reversion.
func (w *world) watch(r *fleet.Router) {
	w.polls.Go(func() {
		highest := ident.Generation(0)
		for !r.Ended() && periodic.Sleep(w.polling, pollPeriod) {
			asked := time.Now()
			status, err := r.Status(w.polling)
			if err != nil {
				continue
			}
			if status.Generation < highest {
				w.revert(fmt.Sprintf("%s went from generation %d to %d", r.ID, highest, status.Generation))
			}
			highest = max(highest, status.Generation)
			if status.Serving {
				w.checkFresh(r, status.Generation, asked)
			}
			w.logStatus(r, status)
		}
	})
}

// logStatus keeps a router's view beside the logs when it differs from the one before.
func (w *world) logStatus(r *fleet.Router, status admin.Status) {
	line := fmt.Sprintf("serving %t, generation %d, owners %v, pools %+v, problems %q", status.Serving, status.Generation,
		status.Owners, status.Shards, status.Problems)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.seen[r.ID] == line {
		return
	}
	w.seen[r.ID] = line
	w.logLocked(r.ID + ": " + line)
}

// logLine adds a line beside the logs, for the search of causes.
func (w *world) logLine(line string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.logLocked(line)
}

// logLocked is best effort. The lock is held.
func (w *world) logLocked(line string) {
	if w.views != nil {
		_, _ = fmt.Fprintf(w.views, "%s %s\n", time.Now().Format(time.StampMilli), line)
	}
}

// inForceLimit is the time within which an accepted configuration is in force at every router that serves.
const inForceLimit = 6 * time.Second

// checkFresh finds a router that serves with a configuration that was replaced too long ago.
func (w *world) checkFresh(r *fleet.Router, g ident.Generation, asked time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	next, ok := w.accepted[uint64(g)+1]
	if !ok {
		return
	}
	late := asked.Sub(next.at)
	w.stalest = max(w.stalest, late)
	if w.opts.CheckFresh && late > inForceLimit && !w.stale[r.Caller] {
		w.stale[r.Caller] = true
		w.violations = append(w.violations, fmt.Sprintf("%s serves with generation %d at %s, %v after the next one was accepted",
			r.ID, g, asked.Format(time.StampMilli), late))
	}
}

// publishLoop publishes at random routers from time to time until the load ends.
func (w *world) publishLoop(ctx context.Context, rng *rand.Rand) {
	for n := 0; w.traffic.running(ctx); n++ {
		list := w.current()
		// A publish may be refused, by a conflict or for lack of a majority, and its answer may be lost.
		_ = w.publish(ctx, list[rng.IntN(len(list))], teams[n%len(teams)].Name, 1+float64(n%7)/2)
		periodic.Sleep(ctx, time.Duration(rng.Int64N(int64(2*publishPause))))
	}
}

func (w *world) revert(text string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reverted = append(w.reverted, text)
}

// awaitNewest waits until all routers serve with the newest accepted configuration.
func (w *world) awaitNewest(ctx context.Context) error {
	for _, r := range w.current() {
		err := fleet.Await(ctx, serveLimit, r.ID+" has the newest configuration", func() error {
			status, err := r.Status(ctx)
			if err != nil {
				return err
			}
			if status.Generation < w.newest() || !status.Serving {
				return errors.Errorf("generation %d of %d, serving %t", status.Generation, w.newest(), status.Serving)
			}
			return nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}
