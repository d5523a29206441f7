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

// stubPeers implements Peers with four listed VMs, of which the given number was heard.
type stubPeers struct{ heard int }

func (p *stubPeers) Live() []ident.RouterID            { return nil }
func (p *stubPeers) Listed() int                       { return 4 }
func (p *stubPeers) HeardSince(time.Duration) int      { return p.heard }
func (p *stubPeers) AtGeneration(ident.Generation) int { return p.heard }
func (p *stubPeers) Pull(context.Context, ident.RouterID, PullRequest) (PullResponse, error) {
	return PullResponse{}, errors.New("unreachable")
}

func emptySnapshot(t *testing.T, g ident.Generation) *snapshot.Snapshot {
	t.Helper()
	s, err := snapshot.Build(g, object.NewSet())
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// A router that was paused or partitioned may have missed a configuration long ago. When it is in contact with the
// others again, it must not serve before it has caught up. Guards against a fault in which it served with the old
// configuration for up to 4 s more.
func TestReconnectedRouterServesOnlyAfterCatchUp(t *testing.T) {
	peers := &stubPeers{heard: 3}
	var holder snapshot.Holder
	now := time.Unix(1000, 0)
	s := NewSyncer(SyncOptions{Holder: &holder, Peers: peers, Clock: func() time.Time { return now }})
	s.ready = true
	s.advance(emptySnapshot(t, 1))
	s.RecordPeerGeneration("r2", 2)
	if !s.Serving() {
		t.Fatal("does not serve during the time that a router with contact has to catch up")
	}
	s.advance(emptySnapshot(t, 2))
	now = now.Add(12 * time.Second)
	peers.heard = 1
	if s.Serving() {
		t.Fatal("serves without a majority")
	}
	s.RecordPeerGeneration("r2", 3)
	peers.heard = 3
	if s.Serving() {
		t.Error("serves with a configuration that was replaced during the partition")
	}
	s.advance(emptySnapshot(t, 3))
	if !s.Serving() {
		t.Error("does not serve after it has caught up")
	}
}

// A head that shows a router that it is behind must not count as a confirmation.
func TestNewerHeadDoesNotConfirmOldConfiguration(t *testing.T) {
	peers := &stubPeers{heard: 1}
	var holder snapshot.Holder
	now := time.Unix(1000, 0)
	s := NewSyncer(SyncOptions{Holder: &holder, Peers: peers, Clock: func() time.Time { return now }})
	s.ready = true
	s.advance(emptySnapshot(t, 1))
	s.recordHead(head{version: version{Generation: 1}}, 1, "", now)
	if !s.Serving() {
		t.Fatal("does not serve with a configuration that the store confirmed")
	}
	now = now.Add(12 * time.Second)
	s.recordHead(head{version: version{Generation: 2}}, 2, "", now)
	if s.Serving() {
		t.Error("serves with a configuration that the store has replaced")
	}
	s.advance(emptySnapshot(t, 2))
	if !s.Serving() {
		t.Error("does not serve after it has caught up")
	}
}

// An accepted configuration must come into force even if the store does not respond after the publish. Guards against a
// fault in which routers knew only its generation and served with the old configuration until the store responded.
func TestPublishedConfigurationTakesEffectWithoutStore(t *testing.T) {
	store := kv.NewFake()
	set := object.NewSet()
	set.FailureDomains["north"] = &object.FailureDomain{Name: "north"}
	publisher := NewPublisher(store, func() bool { return true })
	g, err := publisher.Publish(t.Context(), 0, set)
	if err != nil {
		t.Fatal(err)
	}
	var holder snapshot.Holder
	s := NewSyncer(SyncOptions{Holder: &holder, Peers: &stubPeers{heard: 3}})
	s.InstallPublished(g, set)
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
