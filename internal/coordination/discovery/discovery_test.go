package discovery

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"gooseberrytide.example/gooseberrytide/internal/coordination/freshness"
	"gooseberrytide.example/gooseberrytide/internal/state/backends"
	"gooseberrytide.example/gooseberrytide/internal/state/kv"
	"gooseberrytide.example/gooseberrytide/internal/state/routing"
)

// testSchema reads entries in JSON with the types' own field names.
type testSchema struct{}

func (testSchema) IsConfig(key string) bool   { return key == "config" }
func (testSchema) IsServer(key string) bool   { return strings.HasPrefix(key, "s/") }
func (testSchema) ServerID(key string) string { return strings.TrimPrefix(key, "s/") }
func (testSchema) IsRouter(key string) bool   { return strings.HasPrefix(key, "r/") }
func (testSchema) RouterID(key string) string { return strings.TrimPrefix(key, "r/") }
func (testSchema) DecodeConfig(value []byte, revision int64) (*routing.Config, error) {
	c := &routing.Config{Revision: revision}
	return c, json.Unmarshal(value, c)
}

func (s testSchema) DecodeServer(key string, value []byte) (*backends.Server, error) {
	server := &backends.Server{ID: s.ServerID(key)}
	return server, json.Unmarshal(value, server)
}

func (s testSchema) DecodeRouter(key string, value []byte) (Router, error) {
	return Router{ID: s.RouterID(key), PeerAddress: string(value)}, nil
}

// site is a follower of a fake store.
type site struct {
	feed    *kv.FakeFeed
	proof   *freshness.Proof
	servers *backends.Holder
	routing *routing.Holder
	*Follower
}

func newSite(t *testing.T, feed *kv.FakeFeed, peers Peers) *site {
	t.Helper()
	begin := time.Now()
	s := &site{feed: feed, servers: &backends.Holder{}, routing: &routing.Holder{}}
	s.proof = freshness.NewProof(func() time.Duration { return time.Hour + time.Since(begin) })
	s.Follower = New(Options{Feed: feed, Proof: s.proof, Log: zap.NewNop(), Peers: peers, Sink: NewState(StateOptions{
		Schema: testSchema{}, Routing: s.routing, Servers: s.servers, Log: zap.NewNop(),
	})})
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go s.Run(ctx)
	return s
}

func (s *site) has(id string) bool { return s.servers.Load().Get(id) != nil }

const serverText = `{"Service":"app","Address":"10.0.0.1:80"}`

// longestPause is the longest pause between failed calls, with its spread.
const longestPause = retryMax * 3 / 2

// Guards against changes that are missed, and against knowledge that seems fresh during an outage.
func TestFollowsChangesAndProvesThem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		feed := kv.NewFakeFeed()
		feed.Put("s/a", []byte(serverText))
		feed.Put("config", []byte(`{"Version":3}`))
		s := newSite(t, feed, nil)
		time.Sleep(50 * time.Millisecond)
		g.Expect(s.has("a")).To(BeTrue())
		g.Expect(s.routing.Load().Version).To(Equal(int64(3)))
		time.Sleep(time.Second)
		feed.Put("s/b", []byte(serverText))
		feed.Put("config", []byte(`{"Version":4}`))
		time.Sleep(300 * time.Millisecond)
		g.Expect(s.has("b")).To(BeTrue())
		g.Expect(s.routing.Load().Version).To(Equal(int64(4)))
		time.Sleep(10 * time.Second)
		g.Expect(s.proof.Within(2 * pollWait)).To(BeTrue())
		feed.SetDown(true)
		time.Sleep(5 * time.Second)
		g.Expect(s.proof.Within(4 * time.Second)).To(BeFalse())
		feed.SetDown(false)
		time.Sleep(longestPause + 200*time.Millisecond)
		g.Expect(s.proof.Within(time.Second)).To(BeTrue())
	})
}

// Guards against changes that are lost with the store's history.
func TestListsAgainWhenTheHistoryIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		feed := kv.NewFakeFeed()
		feed.Put("s/a", []byte(serverText))
		s := newSite(t, feed, nil)
		time.Sleep(50 * time.Millisecond)
		feed.SetDown(true) // so that the changes come in force together
		feed.Remove("s/a")
		feed.Put("s/b", []byte(serverText))
		feed.Compact()
		feed.SetDown(false)
		time.Sleep(2 * time.Second)
		g.Expect(s.has("b")).To(BeTrue())
		g.Expect(s.has("a")).To(BeFalse())
	})
}

// Guards against servers that get requests after they left, and against the loss of all servers whose entries lapsed
// during an outage. Seen as DRAIN on a day of taza-quito: an entry that vanished a second after the store's return was
// kept for two more seconds and the rest of a poll.
func TestLapsedEntriesAfterAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		feed := kv.NewFakeFeed()
		feed.Put("s/back", []byte(serverText))
		feed.Put("s/gone", []byte(serverText))
		feed.Put("s/late", []byte(serverText))
		s := newSite(t, feed, nil)
		time.Sleep(3 * time.Second)
		feed.SetDown(true)
		time.Sleep(5 * time.Second)
		feed.Remove("s/back")
		feed.Remove("s/gone")
		feed.SetDown(false)
		time.Sleep(longestPause + 100*time.Millisecond)
		g.Expect(s.has("back") && s.has("gone") && s.has("late")).To(BeTrue())
		feed.Put("s/back", []byte(serverText))
		feed.Remove("s/late")
		time.Sleep(lapseTime + lapsePoll + gatherPause)
		g.Expect(s.has("back")).To(BeTrue())
		g.Expect(s.has("gone")).To(BeFalse())
		g.Expect(s.has("late")).To(BeFalse())
		time.Sleep(3 * time.Second)
		feed.Remove("s/back")
		time.Sleep(300 * time.Millisecond)
		g.Expect(s.has("back")).To(BeFalse(), "without an outage a removed entry counts at once")
	})
}

// Guards against keys that are refused though another router has shown that nothing changed, and against state that
// counts as fresh by the proof of a router that knows more. Seen on a day of taza-quito: a change ended the polls of all
// routers together, and the store fell silent just before the next ones ended.
func TestProofOfAnotherRouter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		feed := kv.NewFakeFeed()
		feed.Put("s/a", []byte(serverText))
		s := newSite(t, feed, nil)
		time.Sleep(time.Second)
		feed.SetDown(true)
		time.Sleep(10 * time.Second)
		g.Expect(s.proof.Within(5 * time.Second)).To(BeFalse())
		s.Vouch(s.Revision()+1, s.proof.Now())
		g.Expect(s.proof.Within(5*time.Second)).To(BeFalse(), "a change is missing here")
		s.Vouch(s.Revision(), s.proof.Now()-time.Second)
		g.Expect(s.proof.Within(time.Second)).To(BeTrue())
		empty := New(Options{Proof: s.proof})
		empty.Vouch(0, s.proof.Now())
		g.Expect(s.proof.Within(time.Millisecond)).To(BeFalse(), "nothing was read yet")
	})
}

// Guards against routers whose polls end together for long after one change.
func TestPollsSpread(t *testing.T) {
	g := NewWithT(t)
	f := New(Options{})
	f.reached = true
	waits := make(map[time.Duration]bool)
	for range 20 {
		wait := f.wait()
		g.Expect(wait).To(And(BeNumerically("<=", pollWait), BeNumerically(">", pollWait/2)))
		waits[wait] = true
	}
	g.Expect(len(waits)).To(BeNumerically(">", 10))
}

// fakePeers lets a follower follow through another one.
type fakePeers struct {
	reader *Follower
	fail   bool
}

func (p *fakePeers) Readers() []string { return []string{"reader"} }

func (p *fakePeers) Changes(ctx context.Context, _ string, after kv.Revision, wait time.Duration) (Relayed, error) {
	if p.fail {
		return Relayed{}, errors.New("unreachable")
	}
	return p.reader.Relay(ctx, after, wait)
}

// Guards against calls of the store that grow with the fleet, and against a router that follows a reader without contact
// and takes its knowledge for fresh.
func TestFollowsThroughAnotherRouter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		readerFeed, ownFeed := kv.NewFakeFeed(), kv.NewFakeFeed()
		for _, feed := range []*kv.FakeFeed{readerFeed, ownFeed} {
			feed.Put("s/a", []byte(serverText))
		}
		reader := newSite(t, readerFeed, nil)
		time.Sleep(10 * time.Millisecond)
		peers := &fakePeers{reader: reader.Follower}
		s := newSite(t, ownFeed, peers)
		time.Sleep(20 * time.Second)
		g.Expect(ownFeed.Calls()).To(BeNumerically("<=", 2), "only the first listing goes to the store")
		g.Expect(s.proof.Within(3 * time.Second)).To(BeTrue())
		readerFeed.Put("s/b", []byte(serverText))
		time.Sleep(100 * time.Millisecond)
		g.Expect(s.has("b")).To(BeTrue())
		readerFeed.SetDown(true)
		ownFeed.SetDown(true)
		time.Sleep(5 * time.Second)
		g.Expect(s.proof.Within(4 * time.Second)).To(BeFalse())
		ownFeed.SetDown(false)
		time.Sleep(2 * time.Second)
		g.Expect(s.proof.Within(3*time.Second)).To(BeTrue(), "the store itself serves when the reader lost it")
	})
}
