package offload

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"gooseberrytide.example/gooseberrytide/internal/transport/sockopt"
	"gooseberrytide.example/gooseberrytide/test/standin/connend"
	"gooseberrytide.example/gooseberrytide/test/standin/endless"
)

// noticeTime is the time in which a request that was passed on reaches the other router.
const noticeTime = 300 * time.Millisecond

// startCounting starts another router that counts the requests of which it has read the header.
func startCounting(t testing.TB) (address string, requests *atomic.Int64) {
	t.Helper()
	requests = new(atomic.Int64)
	return startRouter(t, func(_ http.ResponseWriter, r *http.Request) {
		requests.Add(1)
		_, _ = io.ReadAll(r.Body)
	}), requests
}

// dialAfter returns a function that calls before, and then opens a connection.
func dialAfter(before func()) func(context.Context, string, string) (net.Conn, error) {
	open := sockopt.DialFunc(time.Second)
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		before()
		return open(ctx, network, address)
	}
}

// Guards against a request that a router without a processor reads together with the end of its client's connection, and
// passes on although nobody waits for the response.
func TestRequestOfAClientThatHasLeftIsNotPassedOn(t *testing.T) {
	for name, body := range map[string]string{"short": "x", "longer than the buffer": strings.Repeat("b", 4*bufferBytes)} {
		for _, way := range []connend.Way{connend.Close, connend.Reset} {
			for _, dialling := range []bool{false, true} {
				when := "before the decision"
				if dialling {
					when = "while the other router is dialled"
				}
				t.Run(name+", "+string(way)+", "+when, func(t *testing.T) {
					expectNotPassedOn(t, body, way, dialling)
				})
			}
		}
	}
}

// expectNotPassedOn sends a request, ends its connection before the decision or while the other router is dialled, and
// expects that the other router gets no request.
func expectNotPassedOn(t *testing.T, body string, way connend.Way, dialling bool) {
	t.Helper()
	g := NewWithT(t)
	other, requests := startCounting(t)
	reached, left := make(chan struct{}), make(chan struct{})
	wait := func() {
		close(reached)
		<-left
	}
	p := &testPolicy{decision: Decision{Action: Forward, Target: other}}
	dialOther := sockopt.DialFunc(time.Second)
	if dialling {
		dialOther = dialAfter(wait)
	} else {
		p.deciding = wait
	}
	address, i := startWithDial(t, p, http.HandlerFunc(echo), dialOther)
	conn := dial(t, address)
	_, err := io.WriteString(conn, requestText(body))
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(reached, "2s").Should(BeClosed())
	way.End(conn)
	time.Sleep(20 * time.Millisecond) // the end arrives
	close(left)
	g.Eventually(p.counts[Drop].Load, "2s").Should(BeEquivalentTo(1))
	g.Eventually(i.Forwarded, "2s").Should(BeZero())
	g.Consistently(requests.Load, noticeTime).Should(BeZero())
	g.Expect(p.counts[Forward].Load()).To(BeZero())
}

// Guards against a request that is passed on although its time passed in the run queue of this router, so that the other
// router starts it for nobody.
func TestRequestAfterItsDeadlineIsNotPassedOn(t *testing.T) {
	g := NewWithT(t)
	other, requests := startCounting(t)
	const timeout = 50 * time.Millisecond
	p := &testPolicy{decision: Decision{Action: Forward, Target: other}, timeout: timeout}
	address, i := startWithDial(t, p, http.HandlerFunc(echo), dialAfter(func() { time.Sleep(2 * timeout) }))
	resp, _ := exchange(t, address, requestText("x"))
	g.Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable), "the request has not run")
	g.Expect(p.counts[Refuse].Load()).To(BeEquivalentTo(1))
	g.Eventually(i.Forwarded, "2s").Should(BeZero())
	g.Consistently(requests.Load, noticeTime).Should(BeZero())
}

// lateRouter are the times after which a router without a processor accepts a connection, and has dialled another one.
type lateRouter struct{ accepts, dials time.Duration }

// start starts the router, and returns its address.
func (l lateRouter) start(t *testing.T, p *testPolicy) string {
	t.Helper()
	track := newTracker().Track
	address, _ := startWithOptions(t, http.HandlerFunc(echo), Options{
		Policy: p, HeaderTimeout: 2 * time.Second,
		Dial: dialAfter(func() { time.Sleep(l.dials) }),
		Track: func(c net.Conn) net.Conn {
			time.Sleep(l.accepts)
			return track(c)
		},
	})
	return address
}

// Guards against a request that the other router runs for a client whose time has passed, because it counts from when it read
// the request, and against a request that is changed otherwise.
func TestOtherRouterLearnsHowMuchTimeIsLeft(t *testing.T) {
	g := NewWithT(t)
	texts := make(chan string, 1)
	other := endless.Serve(t, func(c net.Conn) {
		buf := make([]byte, 4<<10)
		n, _ := c.Read(buf)
		texts <- string(buf[:n])
		connend.Close.End(c)
	})
	late := lateRouter{accepts: 300 * time.Millisecond, dials: 100 * time.Millisecond}
	p := &testPolicy{decision: Decision{Action: Forward, Target: other}, timeout: 2 * time.Second}
	const before, after = "POST /a HTTP/1.1\r\nHost: x.example\r\n", "Content-Length: 21\r\n\r\n\r\nDeadline-Ms: 2000\r\n"
	conn := dial(t, late.start(t, p))
	_, err := io.WriteString(conn, before+"Deadline-Ms: 2000\r\n"+after)
	g.Expect(err).NotTo(HaveOccurred())
	var text string
	g.Eventually(texts, "3s").Should(Receive(&text))
	g.Expect(text).To(And(HavePrefix(before), HaveSuffix(after)))
	var left int
	_, err = fmt.Sscanf(strings.TrimPrefix(text, before), "Deadline-Ms: %d", &left)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(left).To(And(BeNumerically(">", 0), BeNumerically("<=", 1650)), "2000 ms less 400, with the system's resolution")
}

// Guards against a request that is passed on although its time passed before this router had read it.
func TestRequestReadAfterItsDeadlineIsNotPassedOn(t *testing.T) {
	g := NewWithT(t)
	other, requests := startCounting(t)
	p := &testPolicy{decision: Decision{Action: Forward, Target: other}, timeout: 150 * time.Millisecond}
	address := lateRouter{accepts: 300 * time.Millisecond}.start(t, p)
	resp, _ := exchange(t, address, requestText("x"))
	g.Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable), "the request has not run")
	g.Consistently(requests.Load, noticeTime).Should(BeZero())
}
