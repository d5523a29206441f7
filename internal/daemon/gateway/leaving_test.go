package gateway

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against requests to a server that has left, at a router that was cut off from the store while the others were not: the
// server's entry cannot have lapsed for an outage of the store.
func TestServerLeavesAfterTheCutOfOneRouter(t *testing.T) {
	g := NewWithT(t)
	f := newTestFleet(t, 2)
	other := f.startRouter("r-other")
	var cut atomic.Bool
	link := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if cut.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		f.store.ServeHTTP(w, r)
	}))
	defer link.Close()
	f.storeAddress = link.Listener.Addr().String()
	n := f.startRouter("r-cut")
	for _, router := range []*testNode{other, n} {
		g.Eventually(router.readinessStatus, "5s").Should(Equal(http.StatusOK))
	}
	time.Sleep(2 * time.Second) // the router relies on the state that it read at its start
	cut.Store(true)
	link.CloseClientConnections()
	time.Sleep(3 * time.Second)
	cut.Store(false)
	position := n.follower.Position()
	f.store.Put("servers/i-new", []byte(`{"service":"app","address":"127.0.0.1:1","zone":"a","slots":8,"state":"ready"}`))
	g.Eventually(n.follower.Position, "2s").ShouldNot(Equal(position))
	f.store.Remove("servers/i-new")
	g.Eventually(func() bool { return n.servers.Load().Get("i-new") == nil }, "1s").Should(BeTrue())
	g.Expect(other.servers.Load().Get("i-new")).To(BeNil())
}
