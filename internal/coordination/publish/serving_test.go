package publish

import (
	"context"
	"errors"
	"testing"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/state/kv"
	"gooseberrytide.example/gooseberrytide/internal/state/object"
	"gooseberrytide.example/gooseberrytide/internal/state/snapshot"
)

// heardPeers are four listed routers, of which some were heard.
type heardPeers struct{ heard int }

func (p *heardPeers) Live() []ident.RouterID            { return nil }
func (p *heardPeers) Listed() int                       { return 4 }
func (p *heardPeers) HeardSince(time.Duration) int      { return p.heard }
func (p *heardPeers) AtGeneration(ident.Generation) int { return p.heard }
func (p *heardPeers) Pull(context.Context, ident.RouterID, PullRequest) (PullResponse, error) {
	return PullResponse{}, errors.New("unreachable")
}

func snapshotOf(t *testing.T, g ident.Generation) *snapshot.Snapshot {
	t.Helper()
	s, err := snapshot.Build(g, object.NewSet())
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// A router that was paused or cut off may have missed a configuration for long. When it hears the others again it must
// not serve before it has caught up; it served with the old configuration for up to 4 s more.
func TestRouterThatReturnsServesOnlyWhenItHasCaughtUp(t *testing.T) {
	peers := &heardPeers{heard: 3}
	var holder snapshot.Holder
	now := time.Unix(1000, 0)
	s := NewSyncer(SyncOptions{Holder: &holder, Peers: peers, Clock: func() time.Time { return now }})
	s.ready = true
	s.advance(snapshotOf(t, 1))
	s.PeerGeneration("r2", 2)
	if !s.Serving() {
		t.Fatal("does not serve in the time that a router in contact has to catch up")
	}
	s.advance(snapshotOf(t, 2))
	now = now.Add(12 * time.Second)
	peers.heard = 1
	if s.Serving() {
		t.Fatal("serves without a majority")
	}
	s.PeerGeneration("r2", 3)
	peers.heard = 3
	if s.Serving() {
		t.Error("serves with a configuration that was replaced while it was cut off")
	}
	s.advance(snapshotOf(t, 3))
	if !s.Serving() {
		t.Error("does not serve after it has caught up")
	}
}

// The head that shows a router that it is behind must not count as contact.
func TestHeadReadAfterAPauseDoesNotConfirmAnOldConfiguration(t *testing.T) {
	peers := &heardPeers{heard: 1}
	var holder snapshot.Holder
	now := time.Unix(1000, 0)
	s := NewSyncer(SyncOptions{Holder: &holder, Peers: peers, Clock: func() time.Time { return now }})
	s.ready = true
	s.advance(snapshotOf(t, 1))
	s.noteHead(head{version: version{Generation: 1}}, 1, now)
	if !s.Serving() {
		t.Fatal("does not serve with a configuration that the store confirmed")
	}
	now = now.Add(12 * time.Second)
	s.noteHead(head{version: version{Generation: 2}}, 2, now)
	if s.Serving() {
		t.Error("serves with a configuration that the store has replaced")
	}
	s.advance(snapshotOf(t, 2))
	if !s.Serving() {
		t.Error("does not serve after it has caught up")
	}
}

// An accepted configuration must be in force although the store does not answer after the publish. It was known only by
// its number, and all routers served on with the old one until the store answered again.
func TestPublishedConfigurationNeedsNoStore(t *testing.T) {
	store := kv.NewFake()
	set := object.NewSet()
	set.FailureDomains["north"] = &object.FailureDomain{Name: "north"}
	publisher := NewPublisher(store, func() bool { return true })
	g, err := publisher.Publish(t.Context(), 0, set)
	if err != nil {
		t.Fatal(err)
	}
	var holder snapshot.Holder
	s := NewSyncer(SyncOptions{Holder: &holder, Peers: &heardPeers{heard: 3}})
	s.Published(g, set)
	current := holder.Load()
	if current == nil || current.Generation() != g {
		t.Fatalf("in force: %+v", current)
	}
	_, stored, err := publisher.Head(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	read, err := snapshot.Build(g, stored)
	if err != nil || read.Digest() != current.Digest() {
		t.Errorf("digest %s, and %s when read from the store: %v", current.Digest(), read.Digest(), err)
	}
}
