package discovery

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"gooseberrytide.example/gooseberrytide/internal/state/kv"
)

// cutFeed is the store as seen by a router whose link to it can be cut: calls get no answer until they are given up.
type cutFeed struct {
	kv.Feed
	cut atomic.Bool
}

func (f *cutFeed) Changes(
	ctx context.Context, prefix string, after kv.Position, wait time.Duration,
) ([]kv.Change, kv.Position, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+headerTimeout)
	defer cancel()
	if !f.cut.Load() {
		changes, position, err := f.Feed.Changes(ctx, prefix, after, wait)
		if !f.cut.Load() {
			return changes, position, err
		}
	}
	<-ctx.Done()
	return nil, kv.Position{}, ctx.Err()
}

// headerTimeout is how long the client of the store waits for an answer, beyond the wait that it asks for.
const headerTimeout = 800 * time.Millisecond

// newCutFollower returns a follower with a server that has run for a while, and its link to the store.
func newCutFollower(t *testing.T, age time.Duration) (*testFollower, *cutFeed, *kv.FakeFeed) {
	t.Helper()
	feed := kv.NewFakeFeed()
	feed.Put("s/a", []byte(serverJSON))
	link := &cutFeed{Feed: feed}
	f := newTestFollower(t, link, nil)
	time.Sleep(age)
	return f, link, feed
}

// Guards against requests to a server that left while this router was cut off from the store: the router may use it until it
// counts as in touch again, 3 s after the cut.
func TestServerThatLeftDuringACutIsDroppedInTime(t *testing.T) {
	const touchTime = 3 * time.Second
	for phase := range 40 {
		t.Run(fmt.Sprint(phase), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, link, feed := newCutFollower(t, 3*time.Second+time.Duration(phase)*50*time.Millisecond)
				link.cut.Store(true)
				time.Sleep(3*time.Second + time.Duration(phase)*70*time.Millisecond)
				feed.Remove("s/a")
				link.cut.Store(false)
				time.Sleep(touchTime - 100*time.Millisecond)
				NewWithT(t).Expect(f.hasServer("a")).To(BeFalse())
			})
		})
	}
}

// Guards against a server that stays in use beyond its grace because the router waits for an answer of the store.
func TestGraceEndsWhileACallHangs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f, link, feed := newCutFollower(t, 3*time.Second)
		feed.SetDown(true)
		time.Sleep(3 * time.Second)
		feed.Remove("s/a")
		feed.SetDown(false)
		time.Sleep(longestRetryDelay)
		synctest.Wait()
		end := f.contact.graceEnd()
		time.Sleep(time.Until(end) - 50*time.Millisecond)
		g.Expect(f.hasServer("a")).To(BeTrue())
		link.cut.Store(true)
		time.Sleep(time.Until(end) + 50*time.Millisecond)
		g.Expect(f.hasServer("a")).To(BeFalse())
	})
}

// Guards against servers that are dropped after an outage of the store, in which their entries lapsed, on the word of a router that
// had no contact itself or has not noticed the outage yet.
func TestOnlyContactDuringTheLossEndsTheGrace(t *testing.T) {
	const loss = 4 * time.Second
	for name, c := range map[string]struct {
		other    Contact
		restored bool
		// lostAgain is set if contact is lost once more in the grace after the first loss.
		lostAgain bool
		ended     bool
	}{
		"had contact":                      {other: Contact{Began: loss + time.Second, Answered: 1900 * time.Millisecond}, ended: true},
		"lost contact too":                 {other: Contact{Began: loss / 2}},
		"has not noticed it":               {other: Contact{Began: loss + time.Second, Answered: loss - time.Second}},
		"the store was restored":           {other: Contact{Began: loss + time.Second}, restored: true},
		"contact began meanwhile":          {other: Contact{Began: loss - time.Millisecond}},
		"contact began between two losses": {other: Contact{Began: 3 * time.Second}, lostAgain: true},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			now := time.Now()
			var contact storeContact
			contact.recordAnswer(now.Add(-2 * removalGrace)) // the start of the router
			contact.recordAnswer(now)
			g.Expect(contact.recordFailure()).To(BeTrue())
			now = now.Add(loss)
			contact.recordAnswer(now)
			if c.restored {
				contact.recordRestore(now)
			}
			if c.lostAgain {
				contact.recordAnswer(now.Add(removalGrace / 2))
				contact.recordFailure()
				now = now.Add(removalGrace)
				contact.recordAnswer(now)
			}
			g.Expect(contact.hear(now, c.other)).To(Equal(c.ended))
			g.Expect(contact.graceEnd().IsZero()).To(Equal(c.ended))
		})
	}
}

// Guards against requests to a server that leaves just after the readers of a large fleet were cut off: the routers that read
// through them are in touch.
func TestRemovalIsLearntWhileReadersAreCutOff(t *testing.T) {
	const drainTime = 3 * time.Second
	for phase := range 20 {
		t.Run(fmt.Sprint(phase), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				feed := kv.NewFakeFeed()
				feed.Put("s/a", []byte(serverJSON))
				var links []*cutFeed
				peers := &fakePeers{}
				for range 2 {
					link := &cutFeed{Feed: feed}
					links = append(links, link)
					peers.readers = append(peers.readers, newTestFollower(t, link, nil).Follower)
				}
				time.Sleep(time.Second)
				f := newTestFollower(t, feed, peers)
				time.Sleep(10*time.Second + time.Duration(phase)*37*time.Millisecond)
				for _, link := range links {
					link.cut.Store(true)
				}
				feed.Remove("s/a")
				time.Sleep(drainTime - 200*time.Millisecond)
				NewWithT(t).Expect(f.hasServer("a")).To(BeFalse())
			})
		})
	}
}
