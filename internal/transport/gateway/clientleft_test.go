package gateway

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"gooseberrytide.example/gooseberrytide/internal/coordination/memory"
	"gooseberrytide.example/gooseberrytide/internal/state/routing"
	"gooseberrytide.example/gooseberrytide/internal/transport/clientconn"
	"gooseberrytide.example/gooseberrytide/internal/transport/sockopt"
)

// Guards against a request that reaches a server after its client has left, because a router without a processor reads the
// request and the end of its connection at the same moment.
func TestRequestOfAClientThatHasLeftIsNotSent(t *testing.T) {
	const requests = 40
	g := NewWithT(t)
	h := newHarness(t, 1)
	listener, err := sockopt.Listen(t.Context(), "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	tracker := clientconn.NewTracker(clientconn.Options{
		Limits: func() routing.Limits {
			return routing.Limits{MaxHeaderBytes: 8 << 10, HeaderTimeout: time.Second, IdleTimeout: time.Second}
		},
		Account: memory.NewAccount(8 << 20), Record: func(clientconn.Reason) {}, Log: zap.NewNop(),
	})
	clientsLeft := make(chan struct{})
	server := &http.Server{ConnContext: clientconn.Context, ConnState: clientconn.OnState, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		<-clientsLeft
		h.gateway.ServeHTTP(w, r)
	})}
	go func() { _ = server.Serve(tracker.Listener(listener)) }()
	t.Cleanup(func() { _ = server.Close() })
	for i := range requests {
		conn, err := net.Dial("tcp4", listener.Addr().String())
		g.Expect(err).NotTo(HaveOccurred())
		r := h.request(http.MethodPost, "/callout/x", fmt.Sprint("left-", i), "body")
		g.Expect(r.Write(conn)).To(Succeed())
		g.Expect(conn.Close()).To(Succeed())
	}
	close(clientsLeft)
	g.Eventually(func() int { return h.logs.FilterMessage("client-left").Len() }, "5s").Should(Equal(requests))
	for i := range requests {
		g.Expect(h.totalRuns(fmt.Sprint("left-", i))).To(BeZero())
	}
}
