package session

import (
	"context"
	"testing"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/coordination/publish"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/state/object"
	"gooseberrytide.example/gooseberrytide/internal/state/snapshot"
	"gooseberrytide.example/gooseberrytide/internal/state/timeline"
)

const (
	// heartbeat is the time between heartbeats.
	heartbeat = 500 * time.Millisecond
	// propagation is the time in which a publish reaches all routers.
	propagation = 2 * time.Second
)

// peers are the other routers, for the configuration. All of them are heard all the time.
type peers struct{ n *node }

// Live implements publish.Peers.
func (p peers) Live() []ident.RouterID { return without(p.n.id) }

// Listed implements publish.Peers.
func (p peers) Listed() int { return len(routerIDs) }

// HeardSince implements publish.Peers.
func (p peers) HeardSince(time.Duration) int { return len(routerIDs) }

// AtGeneration implements publish.Peers.
func (p peers) AtGeneration(gen ident.Generation) int {
	count := 0
	for _, id := range routerIDs {
		if p.n.world.node(id).syncer.AnnouncedGeneration() >= gen {
			count++
		}
	}
	return count
}

// Pull implements publish.Peers.
func (p peers) Pull(_ context.Context, from ident.RouterID, req publish.PullRequest) (publish.PullResponse, error) {
	w := p.n.world
	time.Sleep(w.delay(p.n.id, from))
	w.log("", "%s -> %s  config.pull have=%d probe=%t", p.n.id, from, req.Have, req.Probe)
	resp, err := w.node(from).syncer.HandlePull(req)
	time.Sleep(w.delay(from, p.n.id))
	w.log("", "%s -> %s  config.pull answer ready=%t generation=%d full=%t objects=%d%s",
		from, p.n.id, resp.Ready, resp.Generation, resp.Full, len(resp.Objects), failure(err))
	return resp, err
}

// synchronise starts the propagation of configurations; the first router watches the store.
func (w *world) synchronise(ctx context.Context) {
	for _, id := range routerIDs {
		n := w.node(id)
		n.syncer = publish.NewSyncer(publish.SyncOptions{
			Store:  recordingStore{n, w.store},
			Holder: &n.holder,
			Peers:  peers{n},
			Watch:  func() bool { return id == "r1" },
			OnSnapshot: func(s *snapshot.Snapshot) {
				n.events.Add(timeline.Event{Kind: timeline.KindGeneration, Generation: s.Generation()})
				n.router.Update(n.routes(routerIDs, routerIDs))
			},
		})
	}
	for _, id := range routerIDs {
		w.calls.Go(func() { _ = w.node(id).syncer.Run(ctx) })
		time.Sleep(startOffset)
		w.calls.Go(func() { w.beat(ctx, w.node(id)) })
	}
}

// beat announces the generation in force to the others. Only announcements of a new one are recorded.
func (w *world) beat(ctx context.Context, n *node) {
	var last ident.Generation
	for pause(ctx, heartbeat) {
		gen := n.syncer.AnnouncedGeneration()
		changed := gen != last
		last = gen
		for _, to := range without(n.id) {
			time.AfterFunc(w.delay(n.id, to), func() {
				if changed {
					w.log("", "%s -> %s  heartbeat generation=%d", n.id, to, gen)
				}
				if peer := w.node(to); peer != nil {
					peer.syncer.RecordPeerGeneration(n.id, gen)
				}
			})
		}
	}
}

// publish publishes the set that base becomes by the change, and records what the operator gets.
func (w *world) publish(at ident.RouterID, base ident.Generation, set *object.Set) {
	n := w.node(at)
	publisher := publish.NewPublisher(recordingStore{n, w.store}, func() bool { return true })
	publisher.UseSnapshot(&n.holder)
	w.log("operator", "operator -> %s  publish base=%d", at, base)
	gen, err := publisher.Publish(context.Background(), base, set)
	if err == nil && n.syncer != nil {
		n.syncer.InstallPublished(gen, set)
		err = n.syncer.AwaitMajority(context.Background(), gen)
	}
	w.log("operator", "%s -> operator  generation=%d%s", at, gen, failure(err))
	time.Sleep(step)
}

// weighted returns a set in which a team has a weight.
func weighted(set *object.Set, team string, weight float64) *object.Set {
	changed := set.Clone()
	changed.Teams[team].Weight = weight
	return changed
}

// Guards against an operator who loses a change to another's, and against a generation that does not reach all routers.
func TestPublishWithConflict(t *testing.T) {
	session(t, "publish-conflict", func(w *world) {
		ctx, cancel := context.WithCancel(context.Background())
		first := fixture()
		w.publish("r1", 0, first)
		w.synchronise(ctx)
		time.Sleep(propagation)
		second := weighted(first, "alarms", 2)
		w.publish("r2", 1, second)
		w.publish("r3", 1, weighted(first, "alarms", 3))
		w.publish("r3", 1, weighted(first, "summaries", 3))
		w.publish("r3", 2, weighted(second, "summaries", 3))
		time.Sleep(propagation)
		cancel()
	})
}
