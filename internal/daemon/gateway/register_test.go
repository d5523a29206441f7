package gateway

import (
	"context"
	"net/http"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"gooseberrytide.example/gooseberrytide/internal/coordination/discovery"
	"gooseberrytide.example/gooseberrytide/internal/coordination/gossip"
	"gooseberrytide.example/gooseberrytide/platform"
)

const routersKeys = "gooseberrytide/routers/"

// Guards against leases that are left behind by writes without a response: one of these writes may be executed seconds
// later, and take the entry away with the end of its lease.
func TestLeaseOfAFailedWriteIsUsedAgain(t *testing.T) {
	g := NewWithT(t)
	f := newTestFleet(t, 2)
	f.store.SetLoseWriteResponses(true)
	n := f.startRouter("r-0")
	g.Eventually(func() int { return f.store.Calls()["kv-txn"] }, "3s").Should(BeNumerically(">=", 3))
	f.store.SetLoseWriteResponses(false)
	g.Eventually(n.readinessStatus, "5s").Should(Equal(http.StatusOK))
	g.Expect(f.store.Calls()["kv-lease"]).To(Equal(1))
	g.Expect(f.store.Keys(routersKeys)).To(HaveLen(1))
}

// Guards against a router that renews its lease and has no entry: a late write had put the entry under another lease, which
// has ended, or has put the entry of an earlier start in its place. The others would no longer send it datagrams, and it
// would be the owner of all servers beside them.
func TestRouterRegistersAgainWhenItsEntryIsLost(t *testing.T) {
	for name, incarnationBefore := range map[string]uint64{"lease ended": 0, "entry of an earlier start": 1} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f := newTestFleet(t, 2)
			n, other := f.startRouter("r-0"), f.startRouter("r-1")
			registered := func() discovery.Router {
				if list := other.routers.Load(); list != nil {
					return (*list)["r-0"]
				}
				return discovery.Router{}
			}
			g.Eventually(registered, "5s").Should(Equal(n.ownEntry()))
			time.Sleep(entryReadTime)
			late := n.ownEntry()
			late.Incarnation -= incarnationBefore
			f.writeLate(late, incarnationBefore == 0)
			g.Eventually(registered, "2s", "5ms").ShouldNot(Equal(n.ownEntry()))
			g.Eventually(registered, maxUnregistered).Should(Equal(n.ownEntry()))
		})
	}
}

// Guards against a router that routers which start later do not know, because another writer has overwritten its entry
// with a value that cannot be decoded.
func TestRouterRegistersAgainWhenItsEntryIsOverwritten(t *testing.T) {
	g := NewWithT(t)
	f := newTestFleet(t, 2)
	n := f.startRouter("r-0")
	g.Eventually(n.readinessStatus, "5s").Should(Equal(http.StatusOK))
	time.Sleep(entryReadTime)
	f.store.Put(routersKeys+"r-0", []byte(`{"peer_address":"nowhere"}`))
	g.Eventually(func() int { return f.store.Calls()["kv-txn"] }, maxUnregistered).Should(Equal(2))
	later := f.startRouter("r-1")
	g.Eventually(func() discovery.Router {
		if list := later.routers.Load(); list != nil {
			return (*list)["r-0"]
		}
		return discovery.Router{}
	}, "3s").Should(Equal(n.ownEntry()))
}

// writeLate writes a router's entry under a lease of its own, as a write does that is executed late. The lease may end.
func (f *testFleet) writeLate(entry discovery.Router, leaseEnds bool) {
	f.t.Helper()
	g := NewWithT(f.t)
	ctx := context.Background()
	store := platform.NewStore(f.storeAddress, http.DefaultTransport, nil)
	lease, _, err := store.Grant(ctx, registrationTTL)
	g.Expect(err).NotTo(HaveOccurred())
	key, value, err := platform.EncodeRouter(entry)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(store.PutLeased(ctx, key, value, lease)).To(Succeed())
	if leaseEnds {
		g.Expect(store.Revoke(ctx, lease)).To(Succeed())
	}
}

// Guards against two owners of one server for as long as a router cannot write its entry again: the others, which do not
// hear from it, have replaced it.
func TestRouterWithoutAnEntryOwnsNothing(t *testing.T) {
	g := NewWithT(t)
	f := newTestFleet(t, 2)
	n := f.startRouter("r-0")
	g.Eventually(n.readinessStatus, "5s").Should(Equal(http.StatusOK))
	now := time.Now()
	own := n.ownEntry()
	other := discovery.Router{ID: "r-0", PeerAddress: netip.MustParseAddrPort("10.0.0.1:7400"), Incarnation: 1}
	watch := newEntryWatch()
	watch.compare(now, own, other)
	g.Expect(watch.lostFor(now)).To(BeZero(), "not written yet")
	watch.written.Store(true)
	watch.compare(now, own, other)
	g.Expect(watch.lostFor(now.Add(time.Second))).To(Equal(time.Second))
	watch.compare(now, own, own)
	g.Expect(watch.lostFor(now)).To(BeZero())
	n.entry.lostAt.Store(time.Now().UnixNano())
	g.Expect(n.owners.candidates([]gossip.Peer{})).To(HaveLen(1))
	n.entry.lostAt.Store(time.Now().Add(-maxUnregistered).UnixNano())
	g.Expect(n.owners.candidates([]gossip.Peer{})).To(BeEmpty())
}
