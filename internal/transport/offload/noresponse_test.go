package offload

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"gooseberrytide.example/gooseberrytide/internal/transport/sockopt"
	"gooseberrytide.example/gooseberrytide/test/standin/connend"
	"gooseberrytide.example/gooseberrytide/test/standin/endless"
)

// Guards against a client that gets a closed connection because the other router closed its own without a response, as
// one that stops or is killed does.
func TestForwardedRequestWithoutAResponseFails(t *testing.T) {
	g := NewWithT(t)
	other := startRouter(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		panic(http.ErrAbortHandler)
	})
	address, i := start(t, &testPolicy{decision: Decision{Action: Forward, Target: other}}, http.HandlerFunc(echo))
	resp, _ := exchange(t, address, requestText("x"))
	g.Expect(resp.StatusCode).To(Equal(http.StatusBadGateway), "the other router may have run the request")
	g.Expect(resp.Header.Get("Attempt-Id")).To(Equal("7"))
	g.Expect(resp.Close).To(BeTrue())
	g.Eventually(i.Forwarded, "2s").Should(BeZero())
}

// Guards against a router that stops and closes the connections of requests that it passed on, without a response.
func TestForwardedRequestsGetAResponseWhenTheRouterStops(t *testing.T) {
	g := NewWithT(t)
	arrived, left := make(chan struct{}), make(chan struct{})
	other := startRouter(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		close(arrived)
		<-r.Context().Done()
		close(left)
	})
	address, i := start(t, &testPolicy{decision: Decision{Action: Forward, Target: other}}, http.HandlerFunc(echo))
	go func() {
		<-arrived
		i.EndForwarding()
	}()
	resp, _ := exchange(t, address, requestText("x"))
	g.Expect(resp.StatusCode).To(Equal(http.StatusBadGateway))
	g.Eventually(left, "500ms").Should(BeClosed())
	g.Eventually(i.Forwarded, "2s").Should(BeZero())
}

// Guards against a client that waits for a router which accepts its request and does not respond, and against its request
// being told not to have run.
func TestForwardedRequestEndsAtItsDeadline(t *testing.T) {
	g := NewWithT(t)
	suspended, err := net.Listen("tcp4", "127.0.0.1:0") // its system accepts connections
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = suspended.Close() })
	p := &testPolicy{decision: Decision{Action: Forward, Target: suspended.Addr().String()}, timeout: time.Second}
	address, _ := start(t, p, http.HandlerFunc(echo))
	begin := time.Now()
	for _, body := range []string{"x", strings.Repeat("long", 2<<20)} {
		g.Expect(statusOf(t, address, requestText(body))).To(Equal(http.StatusBadGateway))
	}
	g.Expect(time.Since(begin)).To(BeNumerically("<", 2*(p.timeout+2*deadlineMargin)))
}

// statusOf sends a request while it reads the response, and returns its status.
func statusOf(t *testing.T, address, text string) int {
	t.Helper()
	conn := dial(t, address)
	go func() { _, _ = io.WriteString(conn, text) }()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode
}

// Guards against a response without a length that the other router has broken off with a reset, and that looks complete.
func TestResetOfTheOtherRouterReachesTheClient(t *testing.T) {
	g := NewWithT(t)
	other := startRouter(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.0 200 OK\r\n\r\nhalf")
		time.Sleep(100 * time.Millisecond) // the half arrives before the reset
		sockopt.Reset(conn)
	})
	address, _ := start(t, &testPolicy{decision: Decision{Action: Forward, Target: other}}, http.HandlerFunc(echo))
	conn := dial(t, address)
	_, err := io.WriteString(conn, requestText("x"))
	g.Expect(err).NotTo(HaveOccurred())
	text, err := io.ReadAll(conn)
	g.Expect(string(text)).To(HaveSuffix("half"))
	g.Expect(err).To(MatchError(syscall.ECONNRESET))
}

// lateReader is a connection whose errors another call than that of the reader sees first.
type lateReader struct {
	*net.TCPConn
	t testing.TB
}

// Read implements net.Conn.
func (c lateReader) Read(b []byte) (int, error) {
	time.Sleep(50 * time.Millisecond)
	connend.TakeError(c.t, c.TCPConn)
	return c.TCPConn.Read(b)
}

// NetConn returns the wrapped connection.
func (c lateReader) NetConn() net.Conn { return c.TCPConn }

// Guards against a passed-on response without a length that looks complete because the writer of the request was told of the
// reset, and against a whole one that looks broken off because a reset followed its end.
func TestResetThatTheRequestsWriterHasSeenReachesTheClient(t *testing.T) {
	for way, want := range map[connend.Way]error{
		connend.Close: nil, connend.CloseThenReset: nil, connend.Reset: syscall.ECONNRESET,
	} {
		t.Run(string(way), func(t *testing.T) {
			g := NewWithT(t)
			other := endless.Serve(t, func(c net.Conn) {
				_, _ = c.Read(make([]byte, 4<<10))
				_, _ = io.WriteString(c, "HTTP/1.0 200 OK\r\n\r\nbody")
				way.End(c)
			})
			dialLate := func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := sockopt.DialFunc(time.Second)(ctx, network, address)
				if err != nil {
					return nil, err
				}
				tcp, _ := sockopt.As[*net.TCPConn](conn)
				return lateReader{TCPConn: tcp, t: t}, nil
			}
			p := &testPolicy{decision: Decision{Action: Forward, Target: other}}
			address, _ := startWithDial(t, p, http.HandlerFunc(echo), dialLate)
			conn := dial(t, address)
			_, err := io.WriteString(conn, requestText("x"))
			g.Expect(err).NotTo(HaveOccurred())
			text, err := io.ReadAll(conn)
			g.Expect(string(text)).To(HaveSuffix("body"))
			if want == nil {
				g.Expect(err).NotTo(HaveOccurred())
			} else {
				g.Expect(err).To(MatchError(want))
			}
		})
	}
}

// Guards against a response that the client loses because its connection is reset while it still sends the body.
func TestEarlyResponseOfTheOtherRouterReachesTheClient(t *testing.T) {
	g := NewWithT(t)
	other := startRouter(t, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	})
	address, _ := start(t, &testPolicy{decision: Decision{Action: Forward, Target: other}}, http.HandlerFunc(echo))
	conn := dial(t, address)
	// Small buffers make the client's writes wait for the router's reads.
	g.Expect(conn.(*net.TCPConn).SetWriteBuffer(4 << 10)).To(Succeed())
	go func() { _, _ = io.WriteString(conn, requestText(strings.Repeat("b", 4<<20))) }()
	time.Sleep(100 * time.Millisecond) // the response arrives while the body is being sent
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.StatusCode).To(Equal(http.StatusRequestEntityTooLarge))
}

// Guards against an inspected request that is dropped because the HTTP server has been shut down meanwhile.
func TestInspectedRequestIsRefusedAfterTheShutdown(t *testing.T) {
	g := NewWithT(t)
	address, i := start(t, &testPolicy{decision: Decision{Action: Serve}}, http.HandlerFunc(echo))
	conn := dial(t, address)
	text := requestText("x")
	_, err := io.WriteString(conn, text[:10])
	g.Expect(err).NotTo(HaveOccurred())
	time.Sleep(50 * time.Millisecond) // the inspection has begun
	g.Expect(i.served.Close()).To(Succeed())
	_, err = io.WriteString(conn, text[10:])
	g.Expect(err).NotTo(HaveOccurred())
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
}
