package discovery

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"gooseberrytide.example/gooseberrytide/internal/state/kv"
)

// Guards against a router that starts just after the store came back from an older copy, and accepts keys that were
// removed since, or serves with a configuration that the others have replaced.
func TestRouterThatStartsFromAnOlderCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		feed := kv.NewFakeFeed()
		feed.Put("config", []byte(`{"Version":3}`))
		var newest atomic.Int64
		newest.Store(4)
		f := newStartingFollower(t, feed, func(own int64) FleetConfig {
			return FleetConfig{Own: own, Newest: newest.Load(), Heard: true}
		})
		time.Sleep(2 * time.Second)
		g.Expect(f.routing.Load().Version).To(BeEquivalentTo(3))
		g.Expect(f.proof.Within(time.Hour)).To(BeFalse())
		feed.Put("config", []byte(`{"Version":4}`))
		time.Sleep(time.Second)
		g.Expect(f.proof.Within(2*time.Second)).To(BeTrue(), "the operators have written it again")
		newest.Store(5)
		time.Sleep(10 * time.Second)
		g.Expect(f.proof.Within(2*maxPollWait)).To(BeTrue(), "a router that runs is not held back")
	})
}

// Guards against routers that start together after the store came back from an older copy, take each other for witnesses
// of its state, and accept keys that were removed since. They must serve within a few seconds all the same, and at once
// if the store was never restored or a router that serves confirms the state.
func TestRoutersThatStartTogetherAreNoWitnesses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		feed := kv.NewFakeFeed()
		feed.Put("config", []byte(`{"Version":3}`))
		started := func(own int64) FleetConfig { return FleetConfig{Own: own, Newest: own, Heard: true} }
		fresh := newStartingFollower(t, feed, started)
		time.Sleep(startReportWait / 2)
		g.Expect(fresh.proof.Within(time.Hour)).To(BeTrue(), "the store was never restored")

		feed.SetDown(true)
		together := newStartingFollower(t, feed, started)
		time.Sleep(2 * startReportWait)
		feed.Restore(feed.Copy())
		feed.SetDown(false)
		witnessed := newStartingFollower(t, feed, func(own int64) FleetConfig {
			return FleetConfig{Own: own, Newest: own, Heard: true, Witnesses: map[kv.Era]int{1: 1}}
		})
		unsettled := newStartingFollower(t, feed, func(own int64) FleetConfig {
			return FleetConfig{Own: own, Newest: own, Heard: true, Witnesses: map[kv.Era]int{0: 1}}
		})
		time.Sleep(startReportWait - startBatchDelay)
		g.Expect(together.routing.Load().Version).To(BeEquivalentTo(3))
		g.Expect(together.proof.Within(time.Hour)).To(BeFalse(), "the operators may have to write again")
		g.Expect(unsettled.proof.Within(time.Hour)).To(BeFalse(), "the witness has served before the store came back only")
		g.Expect(witnessed.proof.Within(time.Hour)).To(BeTrue())
		g.Expect(witnessed.ConfirmedEra()).To(BeEquivalentTo(1))
		time.Sleep(longestRetryDelay + 2*startBatchDelay)
		g.Expect(together.proof.Within(time.Hour)).To(BeTrue())
	})
}

// Guards against a router that never serves because others report a version that the store does not have, or because it
// reaches none of them, and against one that serves before it could hear of the others.
func TestStartCheckIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		feed := kv.NewFakeFeed()
		feed.Put("config", []byte(`{"Version":3}`))
		behind := newStartingFollower(t, feed, func(own int64) FleetConfig {
			return FleetConfig{Own: own, Newest: 9, Heard: true}
		})
		unheard := newStartingFollower(t, feed, func(own int64) FleetConfig { return FleetConfig{Own: own} })
		alone := newStartingFollower(t, feed, func(own int64) FleetConfig { return FleetConfig{Own: own, Heard: true} })
		time.Sleep(startReportWait / 2)
		g.Expect(alone.proof.Within(time.Hour)).To(BeTrue())
		g.Expect(unheard.proof.Within(time.Hour)).To(BeFalse())
		time.Sleep(startReportWait)
		g.Expect(unheard.proof.Within(time.Hour)).To(BeTrue())
		g.Expect(behind.proof.Within(time.Hour)).To(BeFalse())
		time.Sleep(startLimit)
		g.Expect(behind.proof.Within(time.Hour)).To(BeTrue())
	})
}
