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
	// heartbeatPeriod is the time between two heartbeats of a router.
	heartbeatPeriod = 500 * time.Millisecond
	// propagation is the time within which a publish reaches all routers.
	propagation = 2 * time.Second
)

// peers gives the syncer of one router access to the other routers, of which all count as live and heard.
type peers struct{ node *node }

// Live implements publish.Peers.
func (p peers) Live() []ident.RouterID { return otherRouters(p.node.id) }

// Listed implements publish.Peers.
func (p peers) Listed() int { return len(routerIDs) }

// HeardSince implements publish.Peers.
func (p peers) HeardSince(time.Duration) int { return len(routerIDs) }

// AtGeneration implements publish.Peers.
func (p peers) AtGeneration(gen ident.Generation) int {
	count := 0
	for _, id := range routerIDs {
		if p.node.fleet.node(id).syncer.AnnouncedGeneration() >= gen {
			count++
		}
	}
	return count
}

// Pull implements publish.Peers.
func (p peers) Pull(_ context.Context, from ident.RouterID, req publish.PullRequest) (publish.PullResponse, error) {
	f := p.node.fleet
	time.Sleep(f.nextDelay(p.node.id, from))
	f.log("", "%s -> %s  config.pull have=%d probe=%t", p.node.id, from, req.Have, req.Probe)
	resp, err := f.node(from).syncer.HandlePull(req)
	time.Sleep(f.nextDelay(from, p.node.id))
	f.log("", "%s -> %s  config.pull answer ready=%t generation=%d full=%t objects=%d%s",
		from, p.node.id, resp.Ready, resp.Generation, resp.Full, len(resp.Objects), errorText(err))
	return resp, err
}

// startSync starts the propagation of configurations. The first router watches the store.
func (f *fleet) startSync(ctx context.Context) {
	for _, id := range routerIDs {
		n := f.node(id)
		n.syncer = publish.NewSyncer(publish.SyncOptions{
			Store:  recordingStore{n, f.store},
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
		f.calls.Go(func() { _ = f.node(id).syncer.Run(ctx) })
		time.Sleep(startOffset)
		f.calls.Go(func() { f.sendHeartbeats(ctx, f.node(id)) })
	}
}

// sendHeartbeats announces the generation in force at a router to the others in every heartbeat. Only heartbeats with a
// new generation are recorded.
func (f *fleet) sendHeartbeats(ctx context.Context, n *node) {
	var last ident.Generation
	for sleep(ctx, heartbeatPeriod) {
		gen := n.syncer.AnnouncedGeneration()
		changed := gen != last
		last = gen
		for _, to := range otherRouters(n.id) {
			time.AfterFunc(f.nextDelay(n.id, to), func() {
				if changed {
					f.log("", "%s -> %s  heartbeat generation=%d", n.id, to, gen)
				}
				if peer := f.node(to); peer != nil {
					peer.syncer.RecordPeerGeneration(n.id, gen)
				}
			})
		}
	}
}

// publish publishes a set on top of the base generation at a router, and records the answer that the operator gets.
func (f *fleet) publish(at ident.RouterID, base ident.Generation, set *object.Set) {
	n := f.node(at)
	publisher := publish.NewPublisher(recordingStore{n, f.store}, func() bool { return true })
	publisher.UseSnapshot(&n.holder)
	f.log("operator", "operator -> %s  publish base=%d", at, base)
	gen, err := publisher.Publish(context.Background(), base, set)
	if err == nil && n.syncer != nil {
		n.syncer.InstallPublished(gen, set)
		err = n.syncer.AwaitMajority(context.Background(), gen)
	}
	f.log("operator", "%s -> operator  generation=%d%s", at, gen, errorText(err))
	time.Sleep(requestInterval)
}

// withWeight returns a copy of a set in which a team has the given weight.
func withWeight(set *object.Set, team string, weight float64) *object.Set {
	changed := set.Clone()
	changed.Teams[team].Weight = weight
	return changed
}

// Guards against two operators' publishes on the same base of which the later overwrites the earlier one, and against a
// generation that does not reach all routers.
func TestPublishWithConflict(t *testing.T) {
	runSession(t, "publish-conflict", func(f *fleet) {
		ctx, cancel := context.WithCancel(context.Background())
		first := fixture()
		f.publish("r1", 0, first)
		f.startSync(ctx)
		time.Sleep(propagation)
		second := withWeight(first, "alarms", 2)
		f.publish("r2", 1, second)
		f.publish("r3", 1, withWeight(first, "alarms", 3))
		f.publish("r3", 1, withWeight(first, "summaries", 3))
		f.publish("r3", 2, withWeight(second, "summaries", 3))
		time.Sleep(propagation)
		cancel()
	})
}
