package discovery

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"gooseberrytide.example/gooseberrytide/internal/state/backends"
	"gooseberrytide.example/gooseberrytide/internal/state/kv"
	"gooseberrytide.example/gooseberrytide/internal/state/routing"
)

// restoreTime is enough time to notice that the store came back from an older copy.
const restoreTime = 200 * time.Millisecond

// Guards against changes that are missed because the revision has passed its old value when the follower asks again.
func TestMissesNothingAfterARestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		feed := kv.NewFakeFeed()
		feed.Put("s/a", []byte(serverJSON))
		f := newTestFollower(t, feed, nil)
		time.Sleep(time.Second)
		older := feed.Copy()
		feed.Put("s/lost", []byte(serverJSON))
		time.Sleep(time.Second)
		feed.SetDown(true)
		time.Sleep(time.Second)
		feed.Restore(older)
		for range 5 {
			feed.Put("s/new", []byte(serverJSON))
		}
		feed.SetDown(false)
		time.Sleep(longestRetryDelay + restoreTime)
		g.Expect(f.hasServer("new")).To(BeTrue())
		g.Expect(f.hasServer("lost")).To(BeTrue(), "the server may write its entry again")
		time.Sleep(removalGrace + gracePollWait)
		g.Expect(f.hasServer("lost")).To(BeFalse())
		g.Expect(f.hasServer("a")).To(BeTrue())
	})
}

// Guards against requests to servers that were known to drain or to have left, and that an older copy shows as ready.
func TestLeavingServersStayOutOfUseAfterARestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		feed := kv.NewFakeFeed()
		const draining = `{"Service":"app","Address":"10.0.0.1:80","Draining":true}`
		const restarted = `{"Service":"app","Address":"10.0.0.1:80","StartedAt":9}`
		for _, id := range []string{"drains", "left", "restarts"} {
			feed.Put("s/"+id, []byte(serverJSON))
		}
		f := newTestFollower(t, feed, nil)
		time.Sleep(time.Second)
		older := feed.Copy()
		feed.Put("s/drains", []byte(draining))
		feed.Remove("s/left")
		feed.Remove("s/restarts")
		time.Sleep(time.Second)
		g.Expect(f.hasServer("left")).To(BeFalse())
		feed.Restore(older)
		time.Sleep(restoreTime)
		g.Expect(f.servers.Load().Get("drains").Draining).To(BeTrue())
		g.Expect(f.hasServer("left")).To(BeFalse())
		feed.Put("s/restarts", []byte(restarted))
		time.Sleep(restoreTime)
		g.Expect(f.hasServer("restarts")).To(BeTrue(), "a later start of the server")
	})
}

// Guards against a configuration that goes back to that of an older copy, and against keys that are accepted while the
// operators may have to write a removal again.
func TestConfigurationAfterARestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		feed := kv.NewFakeFeed()
		feed.Put("config", []byte(`{"Version":3}`))
		f := newTestFollower(t, feed, nil)
		time.Sleep(time.Second)
		older := feed.Copy()
		feed.Put("config", []byte(`{"Version":4}`))
		time.Sleep(time.Second)
		feed.Restore(older)
		restoredAt := f.proof.Now()
		time.Sleep(restoreTime)
		g.Expect(f.routing.Load().Version).To(BeEquivalentTo(4))
		age, _ := f.proof.Age()
		g.Expect(f.proof.Now()-age).To(BeNumerically("<=", restoredAt), "not confirmed by the copy")
		feed.Put("config", []byte(`{"Version":5}`))
		time.Sleep(restoreTime)
		g.Expect(f.routing.Load().Version).To(BeEquivalentTo(5))
		g.Expect(f.proof.Within(restoreTime)).To(BeTrue(), "confirmed with the configuration that was written again")
		feed.Restore(older)
		time.Sleep(settlePeriod + 2*gracePollWait)
		g.Expect(f.proof.Within(4*gracePollWait)).To(BeTrue(), "confirmed after the operators had time")
	})
}

// Guards against freshness that a router of another era confirms: its revision may be higher although it lacks the
// removal of a key.
func TestAnotherEraConfirmsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		feed := kv.NewFakeFeed()
		feed.Put("s/a", []byte(serverJSON))
		f := newTestFollower(t, feed, nil)
		time.Sleep(time.Second)
		feed.SetDown(true)
		time.Sleep(10 * time.Second)
		position := f.Position()
		for _, era := range []kv.Era{position.Era - 1, position.Era + 1} {
			for _, revision := range []kv.Revision{position.Revision - 1, position.Revision + 1} {
				f.ConfirmPosition(kv.Position{Era: era, Revision: revision}, f.proof.Now())
				g.Expect(f.proof.Within(5 * time.Second)).To(BeFalse())
			}
		}
	})
}

// Guards against a router that stays behind, or goes back, because its reader is in another era.
func TestReadersOfBothEras(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		readerFeed, ownFeed := kv.NewFakeFeed(), kv.NewFakeFeed()
		for _, feed := range []*kv.FakeFeed{readerFeed, ownFeed} {
			feed.Put("s/a", []byte(serverJSON))
		}
		reader := newTestFollower(t, readerFeed, nil)
		time.Sleep(10 * time.Millisecond)
		f := newTestFollower(t, ownFeed, &fakePeers{readers: []*Follower{reader.Follower}})
		time.Sleep(2 * time.Second)
		older := readerFeed.Copy()
		readerFeed.Restore(older)
		time.Sleep(restoreTime)
		ownFeed.Restore(ownFeed.Copy())
		ownFeed.Put("s/b", []byte(serverJSON))
		time.Sleep(3 * time.Second)
		g.Expect(f.hasServer("b")).To(BeTrue(), "the router lists the store itself")
		g.Expect(f.Position().Era).To(BeEquivalentTo(1))
		ownFeed.Restore(ownFeed.Copy()) // the reader stays in the earlier era
		readerFeed.SetDown(true)
		time.Sleep(5 * time.Second)
		g.Expect(f.Position().Era).To(BeEquivalentTo(2))
		readerFeed.SetDown(false)
		readerFeed.Put("s/stale", []byte(serverJSON))
		time.Sleep(3 * time.Second)
		g.Expect(f.Position().Era).To(BeEquivalentTo(2))
		g.Expect(f.hasServer("stale")).To(BeFalse(), "a change of an earlier era")
		g.Expect(f.proof.Within(4 * time.Second)).To(BeTrue())
	})
}

// Guards against routers that lose one another because an older copy lacks their entries.
func TestRoutersStayKnownAfterARestore(t *testing.T) {
	g := NewWithT(t)
	var known map[string]Router
	s := NewState(StateOptions{
		Schema: testSchema{}, Routing: &routing.Holder{}, Servers: &backends.Holder{}, Log: zap.NewNop(),
		OnRouters: func(r map[string]Router) { known = r },
	})
	entry := func(id string, revision kv.Revision) kv.Entry {
		return kv.Entry{Key: "r/" + id, Value: []byte("10.0.0.1:7400"), Revision: revision}
	}
	now := time.Now()
	s.Replace([]kv.Entry{entry("back", 11), entry("gone", 12)}, now, time.Time{})
	graceEnd := now.Add(removalGrace)
	s.Restore(nil, now, graceEnd)
	g.Expect(known).To(HaveLen(2))
	s.Apply([]kv.Change{{Entry: entry("back", 5)}}, now.Add(time.Second), graceEnd)
	s.Expire(graceEnd)
	g.Expect(known).To(HaveLen(1))
	g.Expect(known).To(HaveKey("back"))
}

// Guards against requests to a server that drains and whose earlier entry is written again: the store may execute a write
// seconds late.
func TestServerThatDrainsIsNotReadyAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		feed := kv.NewFakeFeed()
		const ready = `{"Service":"app","Address":"10.0.0.1:80","StartedAt":7}`
		feed.Put("s/a", []byte(ready))
		f := newTestFollower(t, feed, nil)
		time.Sleep(3 * time.Second)
		write := func(entry string) bool {
			feed.Put("s/a", []byte(entry))
			time.Sleep(restoreTime)
			return f.servers.Load().Get("a").Draining
		}
		g.Expect(write(`{"Service":"app","Address":"10.0.0.1:80","StartedAt":7,"Draining":true}`)).To(BeTrue())
		g.Expect(write(ready)).To(BeTrue())
		feed.Remove("s/a")
		time.Sleep(restoreTime)
		g.Expect(f.hasServer("a")).To(BeFalse())
		g.Expect(write(ready)).To(BeTrue(), "after the removal of its entry")
		g.Expect(write(`{"Service":"app","Address":"10.0.0.1:80","StartedAt":8}`)).To(BeFalse(), "the next incarnation")
	})
}
