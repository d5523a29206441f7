package discovery

import (
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

// evacuationTest is a state with what it has reported.
type evacuationTest struct {
	*State
	domains []string
	// calls lists the callbacks in order.
	calls   []string
	invalid int
}

func newEvacuationTest() *evacuationTest {
	e := &evacuationTest{}
	e.State = NewState(StateOptions{
		Schema: testSchema{}, Routing: &routing.Holder{}, Servers: &backends.Holder{}, Log: zap.NewNop(),
		OnEvacuations: func(domains []string) { e.domains, e.calls = domains, append(e.calls, "evacuations") },
		OnServers:     func(*backends.Set) { e.calls = append(e.calls, "servers") },
		OnInvalid:     func() { e.invalid++ },
	})
	return e
}

func evacuationEntry(domain string, revision kv.Revision) kv.Entry {
	return kv.Entry{Key: "e/" + domain, Value: []byte("not interpreted"), Revision: revision}
}

// Guards against servers that are used for a moment because they are known before the evacuation of their domain, and
// against a key without a domain that counts.
func TestEvacuationsAreKnownBeforeServers(t *testing.T) {
	g := NewWithT(t)
	e := newEvacuationTest()
	server := kv.Entry{Key: "s/a", Value: []byte(serverJSON), Revision: 1}
	e.Replace([]kv.Entry{server, evacuationEntry("mid-a", 2), evacuationEntry("", 3)}, time.Now(), time.Time{})
	g.Expect(e.calls).To(Equal([]string{"evacuations", "servers"}))
	g.Expect(e.domains).To(Equal([]string{"mid-a"}))
	g.Expect(e.invalid).To(Equal(1))
	e.Apply([]kv.Change{{Entry: evacuationEntry("", 4), Deleted: true}}, time.Now(), time.Time{})
	g.Expect(e.calls).To(HaveLen(2), "nothing has changed")
}

// Guards against an older change of a key that starts or ends an evacuation, and against an end that is missed because
// the key is absent from a listing.
func TestEvacuationsFollowTheirKeys(t *testing.T) {
	g := NewWithT(t)
	e := newEvacuationTest()
	now := time.Now()
	apply := func(domain string, revision kv.Revision, deleted bool) {
		c := kv.Change{Entry: evacuationEntry(domain, revision), Deleted: deleted}
		e.Apply([]kv.Change{c}, now, now.Add(removalGrace))
	}
	apply("a", 5, false)
	g.Expect(e.domains).To(Equal([]string{"a"}))
	apply("a", 4, true)
	g.Expect(e.domains).To(Equal([]string{"a"}), "an older change")
	apply("a", 6, true)
	g.Expect(e.domains).To(BeEmpty(), "operators delete the keys, so there is no grace period")
	e.Replace([]kv.Entry{evacuationEntry("b", 7)}, now, now.Add(removalGrace))
	g.Expect(e.domains).To(Equal([]string{"b"}))
	e.Replace(nil, now, now.Add(removalGrace))
	g.Expect(e.domains).To(BeEmpty())
}

// Guards against requests to an evacuated domain because the store came back from a copy that is older than the
// evacuation, once and again, and against an evacuation that never ends.
func TestEvacuationsOutlastAnOlderCopy(t *testing.T) {
	g := NewWithT(t)
	e := newEvacuationTest()
	now := time.Now()
	e.Replace([]kv.Entry{evacuationEntry("lost", 7), evacuationEntry("kept", 3)}, now, time.Time{})
	older := []kv.Entry{evacuationEntry("kept", 3), evacuationEntry("ended", 2)}
	e.Restore(older, now, now.Add(removalGrace))
	g.Expect(e.domains).To(Equal([]string{"ended", "kept", "lost"}), "a key in the copy is obeyed")
	now = now.Add(evacuationGrace - time.Millisecond)
	e.Expire(now)
	e.Restore(older, now, now.Add(removalGrace))
	now = now.Add(evacuationGrace - time.Millisecond)
	e.Expire(now)
	g.Expect(e.domains).To(ContainElement("lost"))
	e.Expire(now.Add(time.Millisecond))
	g.Expect(e.domains).To(Equal([]string{"ended", "kept"}))
}

// Guards against an evacuation that ends after the grace period although operators wrote its key again.
func TestEvacuationIsWrittenAgainAfterARestore(t *testing.T) {
	g := NewWithT(t)
	e := newEvacuationTest()
	now := time.Now()
	e.Replace([]kv.Entry{evacuationEntry("a", 7)}, now, time.Time{})
	e.Restore(nil, now, now.Add(removalGrace))
	e.Apply([]kv.Change{{Entry: evacuationEntry("a", 4)}}, now, now.Add(removalGrace))
	e.Expire(now.Add(time.Minute))
	g.Expect(e.domains).To(Equal([]string{"a"}))
	e.Apply([]kv.Change{{Entry: evacuationEntry("a", 5), Deleted: true}}, now, time.Time{})
	g.Expect(e.domains).To(BeEmpty())
}

// Guards against an evacuation that is forgotten during an outage of the store, and one that a follower learns of late.
func TestFollowerLearnsOfEvacuations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		feed := kv.NewFakeFeed()
		e := newEvacuationTest()
		f := New(Options{
			Feed: feed, Sink: e.State, Log: zap.NewNop(),
			Proof: freshness.NewProof(func() time.Duration { return time.Since(time.Time{}) }),
		})
		go f.Run(t.Context())
		feed.Put("e/a", nil)
		time.Sleep(time.Second)
		synctest.Wait()
		g.Expect(e.domains).To(Equal([]string{"a"}))
		feed.SetDown(true)
		time.Sleep(time.Minute)
		synctest.Wait()
		g.Expect(e.domains).To(Equal([]string{"a"}))
		feed.Remove("e/a")
		feed.SetDown(false)
		time.Sleep(longestRetryDelay + restoreTime)
		synctest.Wait()
		g.Expect(e.domains).To(BeEmpty())
	})
}
