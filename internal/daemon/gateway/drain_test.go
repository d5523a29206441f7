package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"gooseberrytide.example/gooseberrytide/test/standin/platformengine"
)

// Guards against a graceful stop that closes the connections of requests whose server has not responded, so that their
// clients get no response.
func TestGracefulStopAnswersUnfinishedRequests(t *testing.T) {
	g := NewWithT(t)
	f := newTestFleet(t, 2)
	n := f.startRouter("r-a")
	g.Eventually(n.readinessStatus, "5s").Should(Equal(http.StatusOK))
	for _, e := range f.engines {
		e.SetMode(platformengine.Hang)
	}
	statuses := make(chan int, 2)
	for _, path := range []string{"/callout/x", "/digest/x"} {
		go func() {
			status, _ := n.call(path, "unfinished"+path, "farm-key")
			statuses <- status
		}()
	}
	g.Eventually(n.gateway.Active, "1s").Should(Equal(2))
	n.stop()
	g.Consistently(statuses, "1s").ShouldNot(Receive(), "requests end late in the grace period")
	g.Eventually(n.done, "2s").Should(Receive(BeNil()))
	g.Expect(n.gateway.Active()).To(BeZero(), "requests in progress when the process ends")
	for range 2 {
		g.Eventually(statuses, "100ms").Should(Receive(Equal(http.StatusBadGateway)))
	}
}

// Guards against a stream that is cut at the end of a graceful stop and looks complete, or is not counted.
func TestGracefulStopCountsTheStreamsItCuts(t *testing.T) {
	g := NewWithT(t)
	f := newTestFleet(t, 2)
	n := f.startRouter("r-a")
	g.Eventually(n.readinessStatus, "5s").Should(Equal(http.StatusOK))
	f.engines[0].Events, f.engines[0].Pause = 100, 40*time.Millisecond
	bodies := make(chan string, 1)
	go func() {
		_, body := n.call("/digest/x", "long", "farm-key")
		bodies <- body
	}()
	g.Eventually(n.gateway.Active, "1s").Should(Equal(1))
	n.stop()
	g.Eventually(n.done, "3s").Should(Receive(BeNil()))
	g.Expect(n.gateway.Active()).To(BeZero(), "requests in progress when the process ends")
	g.Eventually(bodies, "100ms").Should(Receive(ContainSubstring("unexpected EOF")))
	g.Expect(n.cutResponses()).To(Equal(map[string]float64{"stopping": 1}))
}

// Guards against a graceful stop that closes the connections of requests that were forwarded and have no response.
func TestGracefulStopAnswersUnfinishedPassedRequests(t *testing.T) {
	g := NewWithT(t)
	f := newTestFleet(t, 2)
	small, large := f.startOverloaded()
	f.engines[0].SetMode(platformengine.Hang)
	statuses := make(chan int, 1)
	before := large.gateway.TotalRequests()
	go func() {
		status, _ := small.call("/digest/x", "unfinished", "farm-key")
		statuses <- status
	}()
	g.Eventually(func() int64 { return large.gateway.TotalRequests() - before }, "1s").Should(BeEquivalentTo(1))
	small.stop()
	g.Eventually(small.done, "3s").Should(Receive(BeNil()))
	g.Expect(small.activeRequests()).To(BeZero(), "requests in progress when the process ends")
	g.Eventually(statuses, "100ms").Should(Receive(Equal(http.StatusBadGateway)))
	g.Eventually(f.engines[0].Cancelled, "1s").Should(Equal(1), "the server is told")
}

// Guards against a request that arrives on an accepted connection after the listeners were closed, and is read and gets
// no response.
func TestRequestOnAnAcceptedConnectionGetsAResponse(t *testing.T) {
	g := NewWithT(t)
	f := newTestFleet(t, 2)
	n, err := New(f.startRouter("r-a").settings, zap.NewNop())
	g.Expect(err).NotTo(HaveOccurred())
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	servers := []*server{n.newServer(callersListener, listener, n.gateway)}
	accepted := make(chan http.ConnState, 10)
	servers[0].http.ConnState = func(_ net.Conn, s http.ConnState) { accepted <- s }
	done := make(chan error, 1)
	go func() { done <- servers[0].run() }()
	conn, err := net.Dial("tcp4", listener.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(accepted, "1s").Should(Receive(Equal(http.StateNew)))
	n.closeListeners(servers)
	g.Eventually(done, "1s").Should(Receive(BeNil()), "a closed listener is no error")
	_, err = io.WriteString(conn, "POST /callout/x HTTP/1.1\r\nHost: shed.example\r\nContent-Length: 0\r\n\r\n")
	g.Expect(err).NotTo(HaveOccurred())
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
	n.shutdown(servers, time.Second)
	g.Eventually(accepted, "1s").Should(Receive(Equal(http.StateClosed)))
}
