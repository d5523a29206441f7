package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"gooseberrytide.example/gooseberrytide/test/standin/endless"
)

// openBody sends a header, and a part of a chunked body that it does not end.
func (h *harness) openBody(attempt, deadline string, size int) (net.Conn, *bufio.Reader) {
	h.t.Helper()
	conn, err := net.Dial("tcp", h.server.Listener.Addr().String())
	if err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(func() { _ = conn.Close() })
	header := fmt.Sprintf("POST /callout/x HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %s\r\nAuthorization: Bearer %s\r\n",
		testHost, attempt, deadline, testKey)
	_, err = fmt.Fprintf(conn, "%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", header, size, strings.Repeat("x", size))
	if err != nil {
		h.t.Fatal(err)
	}
	return conn, bufio.NewReader(conn)
}

// Guards against bodies in chunks that are read before their memory is reserved: any number of them was in memory at once.
func TestChunkedBodiesAreReservedBeforeTheyAreRead(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t, 1)
	const body, bodies = 1 << 20, 20
	most := int64(0)
	for i := range bodies {
		h.openBody(fmt.Sprintf("held-%d", i), "5000", body-1)
		most = max(most, h.account.Used())
	}
	time.Sleep(200 * time.Millisecond)
	most = max(most, h.account.Used())
	g.Expect(most).To(BeNumerically(">=", body), "bodies are charged while they are read")
	g.Expect(most).To(BeNumerically("<=", h.account.Limit()+h.account.Limit()/4))
	resp := h.do(h.request(http.MethodPost, "/callout/x", "small", "body"))
	g.Expect(resp.status).To(Equal(http.StatusOK), "a small request goes before the largest body of its team")
	g.Eventually(h.account.Used, "8s").Should(BeZero(), "bodies that do not go on are given up")
	for i := range bodies {
		g.Expect(h.totalRuns(fmt.Sprintf("held-%d", i))).To(BeZero())
	}
}

// Guards against a body in chunks that is changed on its way through growing buffers, and against the limit of one body.
func TestChunkedBodyIsForwardedWhole(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t, 1)
	for size, status := range map[int]int{
		1: 200, firstChunkedBytes: 200, firstChunkedBytes + 1: 200, 1 << 20: 200, 1<<20 + 1: http.StatusRequestEntityTooLarge,
	} {
		body := strings.Repeat("0123456789", size/10+1)[:size]
		id := fmt.Sprintf("sized-%d", size)
		r := h.request(http.MethodPost, "/callout/x", id, "")
		r.Body, r.ContentLength = io.NopCloser(strings.NewReader(body)), -1
		resp := h.do(r)
		g.Expect(resp.status).To(Equal(status), id)
		if status == http.StatusOK {
			g.Expect(string(h.engines[0].Body(id))).To(Equal(body))
		}
	}
	g.Eventually(h.account.Used).Should(BeZero())
}

// Guards against a client that holds memory and a connection with a body that does not go on, after its deadline.
func TestBodyIsReadUntilTheDeadline(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t, 1)
	_, reader := h.openBody("slow", "300", 100)
	resp, err := http.ReadResponse(reader, nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
	g.Expect(resp.Header.Get("Attempt-Id")).To(Equal("slow"))
	g.Expect(h.totalRuns("slow")).To(BeZero())
	g.Eventually(h.account.Used).Should(BeZero())
}

// Guards against responses that are read completely before they are passed on, and whose memory is in no account: faulty
// servers that send many of them slowly took more memory than a small router has. Without memory they are passed on as they come.
func TestBufferedResponsesAreCharged(t *testing.T) {
	const requests, size = 40, maxBufferedBytes - 1
	for _, room := range []bool{true, false} {
		t.Run(fmt.Sprintf("room %v", room), func(t *testing.T) {
			g := NewWithT(t)
			begin, rest := make(chan struct{}), make(chan struct{})
			address := endless.Serve(t, func(c net.Conn) {
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				<-begin
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nInstance-Signature: s\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s",
					r.Header.Get("Attempt-Id"), size, strings.Repeat("b", size-1))
				<-rest
				_, _ = io.WriteString(c, "b")
			})
			h := newGatewayHarness(t, slices.Repeat([]string{address}, requests/4))
			bodies := make(chan int, requests)
			for i := range requests {
				go func() { bodies <- len(h.do(h.request(http.MethodGet, "/lookup/x", fmt.Sprintf("a-%d", i), "")).body) }()
			}
			g.Eventually(h.gateway.Active, "2s").Should(Equal(requests))
			if !room {
				filler, ok := h.account.Open("other", h.account.Limit()-h.account.Used(), nil)
				g.Expect(ok).To(BeTrue())
				defer filler.Close()
			}
			before := h.account.Used()
			close(begin)
			if room {
				g.Eventually(func() int64 { return h.account.Used() - before }, "2s").Should(BeNumerically(">", requests*size))
			}
			time.Sleep(200 * time.Millisecond)
			g.Expect(h.account.Used()).To(BeNumerically("<=", h.account.Limit()+h.account.Limit()/4))
			close(rest)
			for range requests {
				g.Eventually(bodies, "5s").Should(Receive(Equal(size)))
			}
			g.Eventually(h.account.Used).Should(Equal(before - requests*requestBytes))
		})
	}
}
