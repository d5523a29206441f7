package gateway

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"gooseberrytide.example/gooseberrytide/internal/transport/adminhttp"
)

// evacuateTime is the operators' bound from the write of an evacuation to the last request (evacuateMs).
const evacuateTime = 5 * time.Second

// putDomains writes the servers' entries again with failure domains in turn: a, a, b, b.
func (f *testFleet) putDomains() {
	for i, e := range f.engines {
		f.store.Put("servers/"+e.ID, fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":%q,"slots":8,"state":"ready"}`,
			[]string{"pool", "app"}[i%2], f.addresses[i], []string{"a", "b"}[i/2%2]))
	}
}

// Guards against routers that send requests to an evacuated domain under load, do not use it again, or lose the evacuation
// while the store is down or back from an older copy, and against operators who do not see it.
func TestEvacuationReachesAllRouters(t *testing.T) {
	g := NewWithT(t)
	f := newTestFleet(t, 8)
	f.revokeMS = 30_000 // the outage below is shorter
	f.putDomains()
	for i := range 3 {
		f.startRouter(fmt.Sprintf("r-%d", i))
	}
	for _, n := range f.nodes {
		g.Eventually(n.readinessStatus, "8s").Should(Equal(http.StatusOK))
	}
	older := f.store.Copy()
	var load callers
	loaded := make(chan struct{})
	go func() {
		defer close(loaded)
		load.send(f.nodes, 60, 12*time.Second)
	}()
	time.Sleep(time.Second)
	f.store.Put("op/evacuate/a", []byte("{}"))
	evacuated := time.Now()
	for _, n := range f.nodes {
		g.Eventually(n.admission.Evacuations, evacuateTime).Should(HaveLen(1))
		list, err := adminhttp.NewClient(n.peerAddress(metricsPortOffset), "").Evacuations(t.Context())
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(list).To(HaveLen(1))
		g.Expect(list[0].Domain).To(Equal("a"))
		g.Expect(list[0].Servers).To(Equal(4))
	}
	t.Logf("in force at all routers after %v", time.Since(evacuated))
	time.Sleep(100 * time.Millisecond)
	for _, e := range f.engines {
		e.ResetArrivals()
	}
	f.store.SetDown(true)
	time.Sleep(time.Second)
	f.store.Restore(older)
	f.store.SetDown(false)
	f.putDomains() // the servers register again
	returned := time.Now()
	time.Sleep(evacuateTime - 500*time.Millisecond)
	for i, e := range f.engines {
		if i/2%2 == 0 {
			g.Expect(e.Arrivals()).To(BeZero(), "%s, %v after the store's return", e.ID, time.Since(returned))
		}
	}
	<-loaded
	load.wg.Wait()
	g.Expect(load.failed.Load()).To(BeZero())
	g.Expect(load.refused.Load()).To(BeZero())
	for _, n := range f.nodes {
		g.Eventually(n.admission.Evacuations, "5s").Should(BeEmpty(), "the copy lacks the key")
	}
	var after callers
	after.send(f.nodes, 60, time.Second)
	after.wg.Wait()
	g.Expect(f.engines[0].Arrivals()).To(BeNumerically(">", 0))
}
