package gateway

import (
	"fmt"
	"net/http"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"gooseberrytide.example/gooseberrytide/internal/coordination/reservation"
	"gooseberrytide.example/gooseberrytide/internal/coordination/serverdrain"
)

// Guards against requests that other routers send to a leaving server although one router knows that it leaves, also
// while the store is down and after it has come back from an older copy.
func TestRoutersTellEachOtherWhichServersLeave(t *testing.T) {
	g := NewWithT(t)
	f := newTestFleet(t, 4)
	a, b := f.startRouter("a"), f.startRouter("b")
	for _, n := range []*testNode{a, b} {
		g.Eventually(n.readinessStatus, "10s").Should(Equal(http.StatusOK))
	}
	g.Eventually(func() int { return len(b.peers.Live(time.Now())) }, "5s").Should(Equal(1))
	older := f.store.Copy()
	leaving := f.engines[1] // serves "app", as the fourth one does
	leaving.SetLeaving(true)
	for i := 0; !a.admission.Draining(leaving.ID); i++ {
		a.call("/callout/x", fmt.Sprint("a", i), "farm-key")
	}
	g.Eventually(func() bool { return b.admission.Draining(leaving.ID) }, "2s").Should(BeTrue())
	f.store.SetDown(true)
	time.Sleep(100 * time.Millisecond)
	f.store.Restore(older)
	f.store.SetDown(false)
	g.Eventually(b.readinessStatus, "5s").Should(Equal(http.StatusOK))
	leaving.ResetArrivals()
	for i := range 30 {
		status, _ := b.call("/callout/x", fmt.Sprint("b", i), "farm-key")
		g.Expect(status).To(Equal(http.StatusOK))
	}
	g.Expect(leaving.Arrivals()).To(BeZero())
}

// Guards against an owner of a server's load that grants capacity although another router has told it that the server
// leaves.
func TestOwnerAnswersWithADenial(t *testing.T) {
	g := NewWithT(t)
	f := newTestFleet(t, 2)
	n := f.startRouter("a")
	g.Eventually(n.readinessStatus, "10s").Should(Equal(http.StatusOK))
	request := reservation.Request{
		ID: 3, Router: "q", Server: "i-1", Limits: reservation.Limits{Running: 8, PendingTokens: -1},
	}
	g.Expect(n.answerReservation(request, netip.AddrPort{})).To(BeAssignableToTypeOf(reservation.Answer{}))
	server := serverdrain.IncarnationOf(n.servers.Load().Get("i-1"))
	n.handleDraining("q", []serverdrain.Incarnation{server})
	g.Expect(n.answerReservation(request, netip.AddrPort{})).To(Equal(reservation.Denial{ID: 3, Router: "a", Server: server}))
}

// Guards against a suspension that is not noticed, and against the drift of two clocks that is taken for one.
func TestSuspensionIsMeasured(t *testing.T) {
	g := NewWithT(t)
	s := &suspension{offset: time.Hour}
	g.Expect(s.since(time.Hour+time.Minute, time.Minute)).To(BeZero())
	g.Expect(s.since(time.Hour+time.Minute+minSuspension/2, time.Minute)).To(BeZero())
	g.Expect(s.since(time.Hour+2*time.Minute, time.Minute+55*time.Second)).To(Equal(5 * time.Second))
	g.Expect(s.since(time.Hour+3*time.Minute, 2*time.Minute+55*time.Second)).To(BeZero(), "counted once")
}
