package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against routers that end, stop following the store, or send requests to servers that do not exist because another
// writer has left an odd entry among those of servers and routers, also after a restart.
func TestRouterServesBesideOddEntries(t *testing.T) {
	g := NewWithT(t)
	f := newTestFleet(t, 2)
	first := f.startRouter("r-first")
	g.Eventually(first.readinessStatus, "5s").Should(Equal(http.StatusOK))
	for i, odd := range []string{
		strings.Repeat("[", 100_000),
		strings.Repeat(`{"service":`, 20_000),
		`{"service":"app","address":"127.0.0.1:99999","zone":"a","slots":8,"state":"ready"}`,
		`{"service":"app","address":"127.0.0.1:0","zone":"a","slots":8,"state":"ready"}`,
		`{"service":"app","address":"127.0.0.1:9","zone":"a","slots":1000000000000000000,"state":"ready"}`,
		`{"service":"app","address":"127.0.0.1:9","zone":"a","slots":8,"state":"ready","born":1e300}`,
		`{"service":"app","address":"127.0.0.1:9","zone":"a","slots":1e999,"state":"ready"}`,
		"\xff\xfe\x00",
	} {
		f.store.Put(fmt.Sprintf("servers/odd-%d", i), []byte(odd))
		f.store.Put(fmt.Sprintf("gooseberrytide/routers/odd-%d", i), []byte(odd))
	}
	f.store.Put("gooseberrytide/routers/odd-address", []byte(`{"peer_address":"nowhere","incarnation":1}`))
	second := f.startRouter("r-second")
	g.Eventually(second.readinessStatus, "5s").Should(Equal(http.StatusOK))
	f.configure(2, "farm-key", "new-key")
	for _, n := range []*testNode{first, second} {
		g.Eventually(func() int {
			status, _ := n.call("/callout/x", "new-"+n.settings.Router, "new-key")
			return status
		}, "3s").Should(Equal(http.StatusOK), "the configuration that was written after the entries is in force")
		for i := range 20 {
			status, _ := n.call("/callout/x", fmt.Sprintf("%s-%d", n.settings.Router, i), "farm-key")
			g.Expect(status).To(Equal(http.StatusOK))
		}
		g.Expect(n.servers.Load().Len()).To(Equal(2))
		g.Expect(*n.routers.Load()).To(HaveLen(2))
		g.Eventually(func() int { return len(n.peers.Live(time.Now())) }, "3s").Should(Equal(1))
	}
}

// Guards against a router that is forgotten because another writer has overwritten its entry with an odd one for a moment,
// and against a server that stays in use after that.
func TestOddValueOfAKnownEntry(t *testing.T) {
	g := NewWithT(t)
	f := newTestFleet(t, 4)
	a := f.startRouter("r-a")
	b := f.startRouter("r-b")
	for _, n := range []*testNode{a, b} {
		g.Eventually(n.readinessStatus, "5s").Should(Equal(http.StatusOK))
		g.Eventually(func() int { return len(*n.routers.Load()) }, "3s").Should(Equal(2))
	}
	f.store.Put("gooseberrytide/routers/r-b", []byte(`{"peer_address":"127.0.0.1:0"}`))
	f.store.Put("servers/i-3", []byte(`{"service":"app","address":"127.0.0.1:0","zone":"a","slots":8,"state":"ready"}`))
	g.Eventually(func() int { return a.servers.Load().Len() }, "3s").Should(Equal(3))
	g.Expect(*a.routers.Load()).To(HaveLen(2))
	g.Expect((*a.routers.Load())["r-b"].PeerAddress.Port()).NotTo(BeZero())
}
