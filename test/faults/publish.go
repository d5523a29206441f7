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
	// publishTimeout bounds one publish. A publish that is refused or gets no answer is not repeated.
	publishTimeout = 15 * time.Second
	pollPeriod     = 100 * time.Millisecond
	// meanPublishPause is the mean pause between the publishes that go on during the faults.
	meanPublishPause = 1500 * time.Millisecond
)

// publish publishes a configuration with another weight of a team, on top of the generation that the router has in
// force, and records the result.
func (h *harness) publish(ctx context.Context, r *fleet.Router, team string, weight float64) error {
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	err := h.sendPublish(ctx, r, team, weight)
	h.traffic.recordPublish(err)
	return err
}

func (h *harness) sendPublish(ctx context.Context, r *fleet.Router, team string, weight float64) error {
	status, err := r.Status(ctx)
	if err != nil {
		return err
	}
	objects, err := object.EncodeList(h.withWeight(team, weight))
	if err != nil {
		return err
	}
	var resp admin.ApplyResponse
	req := admin.ApplyRequest{Base: status.Generation, Objects: objects}
	if err := fleet.Do(ctx, http.MethodPost, "http://"+r.CallerAddress+"/v1/admin/config", req, &resp); err != nil {
		return err
	}
	h.recordAccepted(resp.Generation, fmt.Sprintf("%s: weight of %s is %v", r.ID, team, weight))
	return nil
}

// publishEventually publishes until one publish is accepted, which has to happen without faults.
func (h *harness) publishEventually(ctx context.Context, weight float64) error {
	return fleet.Await(ctx, serveTimeout, "publish after the faults", func() error {
		return h.publish(ctx, h.currentRouters()[0], teams[0].Name, weight)
	})
}

// recordPublish counts a publish by its answer.
func (t *traffic) recordPublish(err error) {
	outcome := "publish accepted"
	var refused *fleet.StatusError
	switch {
	case errors.As(err, &refused):
		outcome = fmt.Sprintf("publish answered with status %d", refused.Status)
	case err != nil:
		outcome = "publish without answer"
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outcomes[outcome]++
}

// acceptance is an accepted publish.
type acceptance struct {
	description string
	at          time.Time
}

// recordAccepted records the generation of an accepted publish. It is a violation if two publishes are accepted with
// the same generation.
func (h *harness) recordAccepted(g ident.Generation, description string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if other, ok := h.accepted[uint64(g)]; ok {
		h.violations = append(h.violations,
			fmt.Sprintf("generation %d accepted twice: %s, and %s", g, other.description, description))
	}
	h.accepted[uint64(g)] = acceptance{description: description, at: time.Now()}
}

// newestGeneration returns the highest accepted generation.
func (h *harness) newestGeneration() ident.Generation {
	h.mu.Lock()
	defer h.mu.Unlock()
	highest := uint64(1) // the fleet's first configuration
	for g := range h.accepted {
		highest = max(highest, g)
	}
	return ident.Generation(highest)
}

// weightStep makes the weights of all publishes differ. Publishing the set in force again is accepted with its present
// generation, which would be mistaken for a second acceptance of that generation.
const weightStep = 1e-4

// withWeight returns the fleet's configuration with another weight of a team. Each call adds weightStep to the weight
// once more, so that no two configurations are equal.
func (h *harness) withWeight(team string, weight float64) *object.Set {
	h.mu.Lock()
	h.publishCount++
	weight += float64(h.publishCount) * weightStep
	h.mu.Unlock()
	set := *h.fleet.Set
	set.Teams = maps.Clone(set.Teams)
	other := *set.Teams[team]
	other.Weight = weight
	set.Teams[team] = &other
	return &set
}

// pollStatus polls a router's status until the process ends. It records reversions to a lower generation, stale
// configurations and changes of the status.
func (h *harness) pollStatus(r *fleet.Router) {
	h.pollers.Go(func() {
		highest := ident.Generation(0)
		for !r.Ended() && periodic.Sleep(h.pollContext, pollPeriod) {
			askedAt := time.Now()
			status, err := r.Status(h.pollContext)
			if err != nil {
				continue
			}
			if status.Generation < highest {
				h.addReversion(fmt.Sprintf("%s went from generation %d to %d", r.ID, highest, status.Generation))
			}
			highest = max(highest, status.Generation)
			if status.Serving {
				h.checkFreshness(r, status.Generation, askedAt)
			}
			h.logStatus(r, status)
		}
	})
}

// logStatus writes a router's status to views.log when it differs from the last one.
func (h *harness) logStatus(r *fleet.Router, status admin.Status) {
	line := fmt.Sprintf("serving %t, generation %d, owners %v, shards %+v, problems %q", status.Serving, status.Generation,
		status.Owners, status.Shards, status.Problems)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.lastStatus[r.ID] == line {
		return
	}
	h.lastStatus[r.ID] = line
	h.logLocked(r.ID + ": " + line)
}

// logLine writes a line to views.log, which helps to find the cause of a failure.
func (h *harness) logLine(line string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.logLocked(line)
}

// logLocked writes a line to views.log and ignores errors. The caller holds h.mu.
func (h *harness) logLocked(line string) {
	if h.statusLog != nil {
		_, _ = fmt.Fprintf(h.statusLog, "%s %s\n", time.Now().Format(time.StampMilli), line)
	}
}

// inForceLimit is the time within which an accepted configuration must be in force at every router that serves.
const inForceLimit = 6 * time.Second

// checkFreshness reports a router that serves with a configuration whose successor was accepted more than inForceLimit
// before. It reports each router address once.
func (h *harness) checkFreshness(r *fleet.Router, g ident.Generation, askedAt time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	next, ok := h.accepted[uint64(g)+1]
	if !ok {
		return
	}
	staleness := askedAt.Sub(next.at)
	h.maxStaleness = max(h.maxStaleness, staleness)
	if h.opts.CheckFresh && staleness > inForceLimit && !h.staleRouters[r.CallerAddress] {
		h.staleRouters[r.CallerAddress] = true
		h.violations = append(h.violations,
			fmt.Sprintf("%s serves with generation %d at %s, %v after its successor was accepted",
				r.ID, g, askedAt.Format(time.StampMilli), staleness))
	}
}

// publishLoop publishes at random routers and at random intervals until the load ends.
func (h *harness) publishLoop(ctx context.Context, rng *rand.Rand) {
	for n := 0; h.traffic.running(ctx); n++ {
		list := h.currentRouters()
		// A publish may be refused because of a conflict or a missing majority, and its answer may be lost.
		_ = h.publish(ctx, list[rng.IntN(len(list))], teams[n%len(teams)].Name, 1+float64(n%7)/2)
		periodic.Sleep(ctx, time.Duration(rng.Int64N(int64(2*meanPublishPause))))
	}
}

func (h *harness) addReversion(text string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reversions = append(h.reversions, text)
}

// awaitNewest waits until all routers serve with the newest accepted configuration or a later one.
func (h *harness) awaitNewest(ctx context.Context) error {
	for _, r := range h.currentRouters() {
		err := fleet.Await(ctx, serveTimeout, r.ID+" has the newest configuration", func() error {
			status, err := r.Status(ctx)
			if err != nil {
				return err
			}
			if status.Generation < h.newestGeneration() || !status.Serving {
				return errors.Errorf("generation %d of %d, serving %t", status.Generation, h.newestGeneration(), status.Serving)
			}
			return nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}
