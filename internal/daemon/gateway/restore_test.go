package gateway

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a fleet that falls apart, routers that stay without an entry, a herd of registrations, and removed API
// keys that work again when the store comes back from an older copy.
func TestFleetAfterTheStoreIsRestored(t *testing.T) {
	g := NewWithT(t)
	f := newTestFleet(t, 2)
	var nodes []*testNode
	for i := range 4 {
		nodes = append(nodes, f.startRouter(fmt.Sprintf("r-%d", i)))
	}
	for _, n := range nodes {
		g.Eventually(n.readinessStatus, "5s").Should(Equal(http.StatusOK))
	}
	g.Eventually(func() []string { return f.store.Keys("gooseberrytide/routers/") }, "3s").Should(HaveLen(len(nodes)))
	older := f.store.Copy()
	f.configure(2, "other-key")
	for _, n := range nodes {
		g.Eventually(func() int {
			status, _ := n.call("/callout/x", "removed", "farm-key")
			return status
		}, "2s").Should(Equal(http.StatusUnauthorized))
	}
	leasesBefore := f.store.Calls()["kv-lease"]
	f.store.SetDown(true)
	time.Sleep(300 * time.Millisecond)
	f.store.Restore(older)
	f.store.SetDown(false)
	for i := range 20 {
		status, _ := nodes[i%len(nodes)].call("/callout/x", fmt.Sprintf("old-%d", i), "farm-key")
		g.Expect(status).To(Equal(http.StatusUnauthorized))
		status, _ = nodes[i%len(nodes)].call("/callout/x", fmt.Sprintf("new-%d", i), "other-key")
		g.Expect(status).To(Equal(http.StatusOK))
		time.Sleep(20 * time.Millisecond)
	}
	f.configure(2, "other-key")
	g.Eventually(func() []string { return f.store.Keys("gooseberrytide/routers/") }, "5s").Should(HaveLen(len(nodes)))
	g.Expect(f.store.Calls()["kv-lease"] - leasesBefore).To(BeNumerically("<=", 2*len(nodes)))
	for _, n := range nodes {
		g.Expect(n.peers.Live(time.Now())).To(HaveLen(len(nodes) - 1))
		g.Eventually(n.follower.Position, "3s").Should(HaveField("Era", BeEquivalentTo(1)))
		g.Eventually(n.readinessStatus, "5s").Should(Equal(http.StatusOK))
	}
}

// Guards against a router that starts after the store came back from an older copy, and accepts an API key that was
// removed since.
func TestRouterStartedAfterARestoreRefusesRemovedKeys(t *testing.T) {
	g := NewWithT(t)
	f := newTestFleet(t, 2)
	running := f.startRouter("r-running")
	g.Eventually(running.readinessStatus, "5s").Should(Equal(http.StatusOK))
	g.Eventually(func() []string { return f.store.Keys("gooseberrytide/routers/") }, "3s").Should(HaveLen(1))
	older := f.store.Copy()
	f.configure(2, "other-key")
	g.Eventually(func() int64 { return running.routing.Load().Version }, "2s").Should(BeEquivalentTo(2))
	f.store.Restore(older)
	started := f.startRouter("r-started")
	g.Eventually(func() int64 {
		if table := started.routing.Load(); table != nil {
			return table.Version
		}
		return 0
	}, "2s").Should(BeEquivalentTo(1))
	for i := range 200 {
		status, _ := started.call("/callout/x", fmt.Sprintf("old-%d", i), "farm-key")
		g.Expect(status).NotTo(Equal(http.StatusOK))
		time.Sleep(20 * time.Millisecond)
	}
	f.configure(2, "other-key")
	g.Eventually(started.readinessStatus, "5s").Should(Equal(http.StatusOK))
	status, _ := started.call("/callout/x", "new", "other-key")
	g.Expect(status).To(Equal(http.StatusOK))
}

// Guards against routers that all start after the store came back from an older copy, take each other for witnesses of its
// state, and accept an API key that was removed since. They must serve within a few seconds all the same.
func TestRoutersStartedTogetherAfterARestoreRefuseRemovedKeys(t *testing.T) {
	g := NewWithT(t)
	f := newTestFleet(t, 2)
	older := f.store.Copy()
	f.configure(2, "other-key")
	f.store.Restore(older)
	var nodes []*testNode
	for i := range 3 {
		nodes = append(nodes, f.startRouter(fmt.Sprintf("r-%d", i)))
	}
	for i := range 75 {
		for _, n := range nodes {
			status, _ := n.call("/callout/x", fmt.Sprint(n.settings.Router, i), "farm-key")
			g.Expect(status).To(Or(BeZero(), Equal(http.StatusServiceUnavailable)), "0: not listening yet")
		}
		time.Sleep(20 * time.Millisecond)
	}
	f.configure(2, "other-key")
	for _, n := range nodes {
		g.Eventually(n.readinessStatus, "5s").Should(Equal(http.StatusOK))
		status, _ := n.call("/callout/x", "new", "other-key")
		g.Expect(status).To(Equal(http.StatusOK))
		status, _ = n.call("/callout/x", "removed", "farm-key")
		g.Expect(status).To(Equal(http.StatusUnauthorized))
	}
}
