package discovery

import (
	"context"
	"encoding/json"
	"errors"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"gooseberrytide.example/gooseberrytide/internal/coordination/freshness"
	"gooseberrytide.example/gooseberrytide/internal/state/backends"
	"gooseberrytide.example/gooseberrytide/internal/state/kv"
	"gooseberrytide.example/gooseberrytide/internal/state/periodic"
	"gooseberrytide.example/gooseberrytide/internal/state/routing"
)

// testSchema decodes configurations and servers from JSON under the types' own field names.
type testSchema struct{}

func (testSchema) IsConfig(key string) bool     { return key == "config" }
func (testSchema) IsServer(key string) bool     { return strings.HasPrefix(key, "s/") }
func (testSchema) ServerID(key string) string   { return strings.TrimPrefix(key, "s/") }
func (testSchema) IsRouter(key string) bool     { return strings.HasPrefix(key, "r/") }
func (testSchema) RouterID(key string) string   { return strings.TrimPrefix(key, "r/") }
func (testSchema) IsEvacuation(key string) bool { return strings.HasPrefix(key, "e/") }
func (testSchema) EvacuatedDomain(key string) (string, error) {
	if key == "e/" {
		return "", errors.New("no domain")
	}
	return strings.TrimPrefix(key, "e/"), nil
}

func (testSchema) DecodeConfig(value []byte, revision int64) (*routing.Config, error) {
	c := &routing.Config{Revision: revision}
	return c, json.Unmarshal(value, c)
}

func (s testSchema) DecodeServer(key string, value []byte) (*backends.Server, error) {
	server := &backends.Server{ID: s.ServerID(key)}
	return server, json.Unmarshal(value, server)
}

func (s testSchema) DecodeRouter(key string, value []byte) (Router, error) {
	address, err := netip.ParseAddrPort(string(value))
	return Router{ID: s.RouterID(key), PeerAddress: address}, err
}

// testFollower is a running follower of a fake store, with the state that it maintains.
type testFollower struct {
	feed    kv.Feed
	proof   *freshness.Proof
	servers *backends.Holder
	routing *routing.Holder
	*Follower
}

func newTestFollower(t *testing.T, feed kv.Feed, peers Peers) *testFollower {
	t.Helper()
	return startFollower(t, feed, peers, func(int64) FleetConfig { return FleetConfig{Heard: true} })
}

// newStartingFollower returns a follower of a router that has just started in a fleet. fleetConfig gets the version that
// the router has in force.
func newStartingFollower(t *testing.T, feed *kv.FakeFeed, fleetConfig func(own int64) FleetConfig) *testFollower {
	t.Helper()
	return startFollower(t, feed, nil, fleetConfig)
}

func startFollower(
	t *testing.T, feed kv.Feed, peers Peers, fleetConfig func(own int64) FleetConfig,
) *testFollower {
	t.Helper()
	begin := time.Now()
	f := &testFollower{feed: feed, servers: &backends.Holder{}, routing: &routing.Holder{}}
	f.proof = freshness.NewProof(func() time.Duration { return time.Hour + time.Since(begin) })
	f.Follower = New(Options{Feed: feed, Proof: f.proof, Log: zap.NewNop(), Peers: peers, IsConfig: testSchema{}.IsConfig, Sink: NewState(StateOptions{
		Schema: testSchema{}, Routing: f.routing, Servers: f.servers, Log: zap.NewNop(),
	}), FleetConfig: func() FleetConfig {
		own := int64(0)
		if table := f.routing.Load(); table != nil {
			own = table.Version
		}
		return fleetConfig(own)
	}})
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go f.Run(ctx)
	go periodic.Run(ctx, 100*time.Millisecond, f.CheckStart)
	return f
}

func (f *testFollower) hasServer(id string) bool { return f.servers.Load().Get(id) != nil }

const serverJSON = `{"Service":"app","Address":"10.0.0.1:80"}`

// longestRetryDelay is the longest delay between failed calls, with its jitter.
const longestRetryDelay = maxRetryDelay * 3 / 2

// Guards against missed changes, and against state that counts as fresh during an outage.
func TestFollowsChangesAndConfirmsFreshness(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		feed := kv.NewFakeFeed()
		feed.Put("s/a", []byte(serverJSON))
		feed.Put("config", []byte(`{"Version":3}`))
		f := newTestFollower(t, feed, nil)
		time.Sleep(50 * time.Millisecond)
		g.Expect(f.hasServer("a")).To(BeTrue())
		g.Expect(f.routing.Load().Version).To(Equal(int64(3)))
		time.Sleep(time.Second)
		feed.Put("s/b", []byte(serverJSON))
		feed.Put("config", []byte(`{"Version":4}`))
		time.Sleep(300 * time.Millisecond)
		g.Expect(f.hasServer("b")).To(BeTrue())
		g.Expect(f.routing.Load().Version).To(Equal(int64(4)))
		time.Sleep(10 * time.Second)
		g.Expect(f.proof.Within(2 * maxPollWait)).To(BeTrue())
		feed.SetDown(true)
		time.Sleep(5 * time.Second)
		g.Expect(f.proof.Within(4 * time.Second)).To(BeFalse())
		feed.SetDown(false)
		time.Sleep(longestRetryDelay + 200*time.Millisecond)
		g.Expect(f.proof.Within(time.Second)).To(BeTrue())
	})
}

// Guards against losing changes that the store compacted before they were read.
func TestListsAgainAfterCompaction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		feed := kv.NewFakeFeed()
		feed.Put("s/a", []byte(serverJSON))
		f := newTestFollower(t, feed, nil)
		time.Sleep(50 * time.Millisecond)
		feed.SetDown(true) // the follower sees the changes only after the compaction
		feed.Remove("s/a")
		feed.Put("s/b", []byte(serverJSON))
		feed.Compact()
		feed.SetDown(false)
		time.Sleep(2 * time.Second)
		g.Expect(f.hasServer("b")).To(BeTrue())
		g.Expect(f.hasServer("a")).To(BeFalse())
	})
}

// Guards against requests to servers that have left, and against dropping all servers whose entries expired during an
// outage. In a one-day run of the site taza-quito, an entry that was removed a second after the store came back was
// kept for two more seconds and the rest of a poll, which violated the rule DRAIN.
func TestRemovedEntriesAfterAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		feed := kv.NewFakeFeed()
		feed.Put("s/back", []byte(serverJSON))
		feed.Put("s/gone", []byte(serverJSON))
		feed.Put("s/late", []byte(serverJSON))
		f := newTestFollower(t, feed, nil)
		time.Sleep(3 * time.Second)
		feed.SetDown(true)
		time.Sleep(5 * time.Second)
		feed.Remove("s/back")
		feed.Remove("s/gone")
		feed.SetDown(false)
		time.Sleep(longestRetryDelay + 100*time.Millisecond)
		g.Expect(f.hasServer("back") && f.hasServer("gone") && f.hasServer("late")).To(BeTrue())
		feed.Put("s/back", []byte(serverJSON))
		feed.Remove("s/late")
		time.Sleep(removalGrace + gracePollWait + changeBatchDelay)
		g.Expect(f.hasServer("back")).To(BeTrue())
		g.Expect(f.hasServer("gone")).To(BeFalse())
		g.Expect(f.hasServer("late")).To(BeFalse())
		time.Sleep(3 * time.Second)
		feed.Remove("s/back")
		time.Sleep(300 * time.Millisecond)
		g.Expect(f.hasServer("back")).To(BeFalse(), "without an outage a removal takes effect at once")
	})
}

// Guards against refusing API keys although another router has proved that nothing changed, and against counting state
// as fresh by the proof of a router that has a later revision. The first was seen in a one-day run of the site
// taza-quito: a change ended the polls of all routers at once, and the store stopped answering just before the next
// polls ended.
func TestFreshnessConfirmedByAnotherRouter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		feed := kv.NewFakeFeed()
		feed.Put("s/a", []byte(serverJSON))
		f := newTestFollower(t, feed, nil)
		time.Sleep(time.Second)
		feed.SetDown(true)
		time.Sleep(10 * time.Second)
		g.Expect(f.proof.Within(5 * time.Second)).To(BeFalse())
		f.ConfirmPosition(f.Position().At(f.Position().Revision+1), f.proof.Now())
		g.Expect(f.proof.Within(5*time.Second)).To(BeFalse(), "this router lacks a change")
		f.ConfirmPosition(f.Position(), f.proof.Now()-time.Second)
		g.Expect(f.proof.Within(time.Second)).To(BeTrue())
		empty := New(Options{Proof: f.proof})
		empty.ConfirmPosition(kv.Position{}, f.proof.Now())
		g.Expect(f.proof.Within(time.Millisecond)).To(BeFalse(), "this router has not read the store yet")
	})
}

// Guards against routers whose polls keep ending at the same time after one change.
func TestPollWaitsAreJittered(t *testing.T) {
	g := NewWithT(t)
	f := New(Options{})
	f.contact.answering = true
	waits := make(map[time.Duration]bool)
	for range 20 {
		wait := f.nextPollWait()
		g.Expect(wait).To(And(BeNumerically("<=", maxPollWait), BeNumerically(">", maxPollWait/2)))
		waits[wait] = true
	}
	g.Expect(len(waits)).To(BeNumerically(">", 10))
}

// fakePeers lets a follower read the store through other followers.
type fakePeers struct {
	readers []*Follower
	fail    bool
}

func (p *fakePeers) Readers() []string {
	addresses := make([]string, len(p.readers))
	for i := range p.readers {
		addresses[i] = strconv.Itoa(i)
	}
	return addresses
}

func (p *fakePeers) Changes(ctx context.Context, address string, after kv.Position, wait time.Duration) (Relayed, error) {
	i, err := strconv.Atoi(address)
	if err != nil || p.fail {
		return Relayed{}, errors.New("unreachable")
	}
	return p.readers[i].Relay(ctx, after, wait)
}

// Guards against a number of store calls that grows with the fleet, and against a router that takes its state for fresh
// while its reader cannot reach the store.
func TestReadsThroughAnotherRouter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		readerFeed, ownFeed := kv.NewFakeFeed(), kv.NewFakeFeed()
		for _, feed := range []*kv.FakeFeed{readerFeed, ownFeed} {
			feed.Put("s/a", []byte(serverJSON))
		}
		reader := newTestFollower(t, readerFeed, nil)
		time.Sleep(10 * time.Millisecond)
		peers := &fakePeers{readers: []*Follower{reader.Follower}}
		f := newTestFollower(t, ownFeed, peers)
		time.Sleep(20 * time.Second)
		g.Expect(ownFeed.Calls()).To(BeNumerically("<=", 2), "only the first listing goes to the store")
		g.Expect(f.proof.Within(3 * time.Second)).To(BeTrue())
		readerFeed.Put("s/b", []byte(serverJSON))
		time.Sleep(100 * time.Millisecond)
		g.Expect(f.hasServer("b")).To(BeTrue())
		readerFeed.SetDown(true)
		ownFeed.SetDown(true)
		time.Sleep(5 * time.Second)
		g.Expect(f.proof.Within(4 * time.Second)).To(BeFalse())
		ownFeed.SetDown(false)
		time.Sleep(2 * time.Second)
		g.Expect(f.proof.Within(3*time.Second)).To(BeTrue(), "the router reads the store itself when the reader lost it")
	})
}

// Guards against a router that serves with the state of a stale listing, or misses what was written between it and the
// first poll.
func TestStartsFromAStaleListing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, compacted := range []bool{false, true} {
			g := NewWithT(t)
			feed := kv.NewFakeFeed()
			feed.Put("config", []byte(`{"Version":1}`))
			feed.Put("s/gone", []byte(serverJSON))
			feed.SetStale(feed.Copy())
			feed.Put("config", []byte(`{"Version":2}`))
			feed.Remove("s/gone")
			feed.Put("s/new", []byte(serverJSON))
			if compacted {
				feed.Compact()
			}
			f := newTestFollower(t, feed, nil)
			time.Sleep(startBatchDelay / 2)
			g.Expect(f.proof.Within(time.Hour)).To(BeFalse())
			time.Sleep(startBatchDelay)
			g.Expect(f.proof.Within(time.Hour)).To(BeTrue())
			g.Expect(f.routing.Load().Version).To(BeEquivalentTo(2))
			time.Sleep(4 * time.Second) // servers may be missing for a while after an outage
			g.Expect(f.hasServer("gone")).To(BeFalse())
			g.Expect(f.hasServer("new")).To(BeTrue())
		}
	})
}

// Guards against an entry of another writer without a start time that is taken for a further start of the server: what was
// known about the server would be dropped. In a deployment whose servers never state it, such entries name servers.
func TestEntryWithoutAStartTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const started = `{"Service":"app","Address":"10.0.0.1:80","StartedAt":7}`
		feed := kv.NewFakeFeed()
		feed.Put("s/a", []byte(serverJSON))
		f := newTestFollower(t, feed, nil)
		time.Sleep(time.Second)
		g.Expect(f.hasServer("a")).To(BeTrue(), "no server states its start")
		feed.Put("s/b", []byte(started))
		time.Sleep(time.Second)
		feed.Put("s/b", []byte(serverJSON))
		time.Sleep(time.Second)
		g.Expect(f.hasServer("b")).To(BeFalse())
		feed.Put("s/b", []byte(started))
		feed.Put("s/c", []byte(serverJSON))
		time.Sleep(time.Second)
		g.Expect(f.hasServer("b")).To(BeTrue())
		g.Expect(f.hasServer("c")).To(BeFalse(), "another server states its start")
		listing := newTestFollower(t, feed, nil)
		time.Sleep(time.Second)
		g.Expect(listing.hasServer("a")).To(BeFalse(), "listed before the first entry with a start")
		g.Expect(listing.hasServer("b")).To(BeTrue())
	})
}
