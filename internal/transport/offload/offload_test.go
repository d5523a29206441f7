package offload

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"gooseberrytide.example/gooseberrytide/internal/state/routing"
	"gooseberrytide.example/gooseberrytide/internal/transport/clientconn"
	"gooseberrytide.example/gooseberrytide/internal/transport/sockopt"
)

// testPolicy takes one decision for all connections.
type testPolicy struct {
	inactive bool
	decision Decision
	// timeout is the time for a response. The default is a minute.
	timeout time.Duration
	// deciding is called before each decision, if it is set.
	deciding func()
	counts   [Drop + 1]atomic.Int64
}

func (p *testPolicy) Active() bool    { return !p.inactive }
func (p *testPolicy) Record(a Action) { p.counts[a].Add(1) }

func (p *testPolicy) Decide(*http.Request) Decision {
	if p.deciding != nil {
		p.deciding()
	}
	d := p.decision
	d.Deadline = time.Now().Add(cmp.Or(p.timeout, time.Minute))
	return d
}

func (p *testPolicy) Refuse(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
	w.Header().Set("Retry-After", "1.000")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (p *testPolicy) Fail(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
	w.WriteHeader(http.StatusBadGateway)
}

// start starts an HTTP server behind an inspector, and returns its address.
func start(t testing.TB, p *testPolicy, h http.Handler) (string, *Inspector) {
	t.Helper()
	return startWithDial(t, p, h, sockopt.DialFunc(time.Second))
}

// startWithDial is start with connections to other routers that dial opens.
func startWithDial(
	t testing.TB, p *testPolicy, h http.Handler, dial func(context.Context, string, string) (net.Conn, error),
) (string, *Inspector) {
	t.Helper()
	return startWithOptions(t, h, Options{Policy: p, Dial: dial, HeaderTimeout: 2 * time.Second, Track: newTracker().Track})
}

// startWithOptions is start with an inspector with the given options.
func startWithOptions(t testing.TB, h http.Handler, opts Options) (string, *Inspector) {
	t.Helper()
	i := New(opts)
	address := "127.0.0.1:0"
	direct, inspected, err := i.Listen(func() (*sockopt.PlainListener, error) {
		return sockopt.ListenPlain(context.Background(), address)
	})
	if err != nil {
		t.Fatal(err)
	}
	address = direct.Addr().String()
	s := &http.Server{Handler: h, ConnContext: clientconn.Context, ConnState: clientconn.OnState}
	go func() { _ = s.Serve(direct) }()
	go func() { _ = s.Serve(inspected) }()
	t.Cleanup(func() { _ = s.Close() })
	return address, i
}

// startRouter starts the HTTP server of another router, and returns its address.
func startRouter(t testing.TB, h http.HandlerFunc) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Connection", "close")
		h(w, r)
	}))
	t.Cleanup(s.Close)
	t.Cleanup(s.CloseClientConnections)
	return s.Listener.Addr().String()
}

func echo(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	fmt.Fprintf(w, "%s %s %s %s", r.Method, r.RequestURI, r.Header.Get("Attempt-Id"), body)
}

func requestText(body string) string {
	return fmt.Sprintf("POST /a/b?c=d HTTP/1.1\r\nHost: x.example\r\nAttempt-Id: 7\r\nContent-Length: %d\r\n\r\n%s",
		len(body), body)
}

func dial(t testing.TB, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// exchange sends bytes on a connection of its own and returns the response.
func exchange(t testing.TB, address, text string) (*http.Response, string) {
	t.Helper()
	conn := dial(t, address)
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, string(body)
}

// Guards against requests that are changed, cut off or mixed up on the way through another router or through the
// inspection.
func TestRequestsPassUnchanged(t *testing.T) {
	other := startRouter(t, echo)
	for _, body := range []string{"", "short", strings.Repeat("long", 50_000)} {
		for _, d := range []Decision{{Action: Serve}, {Action: Forward, Target: other}} {
			g := NewWithT(t)
			p := &testPolicy{decision: d}
			address, _ := start(t, p, http.HandlerFunc(echo))
			resp, got := exchange(t, address, requestText(body))
			g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
			g.Expect(got).To(Equal("POST /a/b?c=d 7 " + body))
			g.Expect(p.counts[d.Action].Load()).To(BeEquivalentTo(1))
		}
	}
}

// Guards against an inspection that costs time or connections while the policy is not active.
func TestInactivePolicyServesDirectly(t *testing.T) {
	g := NewWithT(t)
	p := &testPolicy{inactive: true, decision: Decision{Action: Refuse}}
	address, _ := start(t, p, http.HandlerFunc(echo))
	resp, _ := exchange(t, address, requestText("x"))
	g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
	g.Expect(p.counts[Serve].Load()).To(BeZero())
}

// Guards against a refusal that is lost because the connection is reset while the client sends a long body.
func TestRefusalReachesTheClient(t *testing.T) {
	g := NewWithT(t)
	address, _ := start(t, &testPolicy{decision: Decision{Action: Refuse}}, http.HandlerFunc(echo))
	for _, size := range []int{0, 100, 60_000} {
		resp, _ := exchange(t, address, requestText(strings.Repeat("x", size)))
		g.Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
		g.Expect(resp.Header.Get("Attempt-Id")).To(Equal("7"))
		g.Expect(resp.Header.Get("Retry-After")).To(Equal("1.000"))
		g.Expect(resp.Close).To(BeTrue())
	}
}

// Guards against a client that gets no answer, or an unclear one, when the other router cannot be reached.
func TestUnreachableRouterLeadsToARefusal(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	target := l.Addr().String()
	g.Expect(l.Close()).To(Succeed())
	address, _ := start(t, &testPolicy{decision: Decision{Action: Forward, Target: target}}, http.HandlerFunc(echo))
	resp, _ := exchange(t, address, requestText("x"))
	g.Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
}

// Guards against requests that run on although their client has left.
func TestClientDisconnectReachesTheOtherRouter(t *testing.T) {
	g := NewWithT(t)
	arrived, left := make(chan struct{}), make(chan struct{})
	other := startRouter(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		close(arrived)
		<-r.Context().Done()
		close(left)
	})
	address, i := start(t, &testPolicy{decision: Decision{Action: Forward, Target: other}}, http.HandlerFunc(echo))
	conn := dial(t, address)
	_, err := io.WriteString(conn, requestText("x"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(arrived, "2s").Should(BeClosed())
	g.Expect(i.Forwarded()).To(Equal(1))
	g.Expect(conn.Close()).To(Succeed())
	g.Eventually(left, "500ms").Should(BeClosed())
	g.Eventually(i.Forwarded, "1s").Should(BeZero())
}

// Guards against a response that breaks off at the other router and looks complete to the client.
func TestBrokenResponseIsIncomplete(t *testing.T) {
	g := NewWithT(t)
	other := startRouter(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "data: 1\n\n")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})
	address, _ := start(t, &testPolicy{decision: Decision{Action: Forward, Target: other}}, http.HandlerFunc(echo))
	conn := dial(t, address)
	_, err := io.WriteString(conn, requestText(""))
	g.Expect(err).NotTo(HaveOccurred())
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = io.ReadAll(resp.Body)
	g.Expect(err).To(HaveOccurred())
}

// Guards against a second request on a forwarded connection, which would run without an inspection and would delay a
// graceful stop.
func TestForwardedConnectionCarriesOneRequest(t *testing.T) {
	g := NewWithT(t)
	var requests atomic.Int64
	other := startRouter(t, func(w http.ResponseWriter, r *http.Request) {
		requests.Add(1)
		echo(w, r)
	})
	address, _ := start(t, &testPolicy{decision: Decision{Action: Forward, Target: other}}, http.HandlerFunc(echo))
	conn := dial(t, address)
	_, err := io.WriteString(conn, requestText("a")+requestText("b"))
	g.Expect(err).NotTo(HaveOccurred())
	responses, err := io.ReadAll(conn)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(strings.Count(string(responses), "HTTP/1.1 200")).To(Equal(1))
	g.Expect(requests.Load()).To(BeEquivalentTo(1))
}

// Guards against a port that stays open during a pause, stays closed after it, or cannot be closed for good meanwhile,
// and against requests in progress that a pause cuts off.
func TestPauseClosesThePort(t *testing.T) {
	g := NewWithT(t)
	release := make(chan struct{})
	p := &testPolicy{decision: Decision{Action: Serve}}
	address, i := start(t, p, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		<-release
		echo(w, r)
	}))
	conn := dial(t, address)
	_, err := io.WriteString(conn, requestText("x"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(p.counts[Serve].Load, "1s").Should(BeEquivalentTo(1))
	const pause = 300 * time.Millisecond
	g.Expect(i.Pause(pause)).To(BeTrue())
	g.Expect(i.Pause(pause)).To(BeFalse())
	begin := time.Now()
	_, err = net.Dial("tcp4", address)
	g.Expect(err).To(HaveOccurred())
	g.Expect(time.Since(begin)).To(BeNumerically("<", pause/2), "refused at once")
	close(release)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
	g.Expect(i.Paused()).To(BeTrue())
	g.Eventually(i.Paused, 2*pause).Should(BeFalse())
	resp, _ = exchange(t, address, requestText("y"))
	g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
	g.Expect(i.Pause(pause)).To(BeTrue())
	g.Expect(i.port.Close()).To(Succeed())
	_, err = i.port.Accept()
	g.Expect(err).To(MatchError(net.ErrClosed))
	time.Sleep(2 * pause)
	_, err = net.Dial("tcp4", address)
	g.Expect(err).To(HaveOccurred())
}

// Guards against clients without a response because the inspection does not understand their request.
func TestInvalidHeadersAreServed(t *testing.T) {
	g := NewWithT(t)
	address, _ := start(t, &testPolicy{decision: Decision{Action: Refuse}}, http.HandlerFunc(echo))
	resp, _ := exchange(t, address, "nonsense\r\n\r\n")
	g.Expect(resp.StatusCode).To(Equal(http.StatusBadRequest))
	long := "GET / HTTP/1.1\r\nHost: x\r\nLong: " + strings.Repeat("x", 2*bufferBytes) + "\r\n\r\n"
	resp, _ = exchange(t, address, long)
	g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
}

// Guards against connections that are kept open for ever by clients that send no request.
func TestSilentClientsAreDisconnected(t *testing.T) {
	g := NewWithT(t)
	address, _ := start(t, &testPolicy{decision: Decision{Action: Refuse}}, http.HandlerFunc(echo))
	conn := dial(t, address)
	g.Expect(conn.SetReadDeadline(time.Now().Add(4 * time.Second))).To(Succeed())
	_, err := conn.Read(make([]byte, 1))
	g.Expect(err).To(MatchError(io.EOF))
}

// Measures the cost of one request on a new connection, client included, for each action.
func BenchmarkActions(b *testing.B) {
	unavailable := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	other := startRouter(b, unavailable)
	for name, d := range map[string]Decision{
		"serve": {Action: Serve}, "refuse": {Action: Refuse}, "forward": {Action: Forward, Target: other},
	} {
		b.Run(name, func(b *testing.B) {
			address, _ := start(b, &testPolicy{decision: d}, unavailable)
			text := requestText(strings.Repeat("x", 6000))
			b.ReportAllocs()
			for b.Loop() {
				conn, err := net.Dial("tcp4", address)
				if err != nil {
					b.Fatal(err)
				}
				if _, err := io.WriteString(conn, text); err != nil {
					b.Fatal(err)
				}
				resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
				if err != nil || resp.StatusCode != http.StatusServiceUnavailable {
					b.Fatal("no refusal", err)
				}
				_ = conn.Close()
			}
		})
	}
}

// newTracker returns a tracker with wide limits.
func newTracker() *clientconn.Tracker {
	limits := routing.Limits{MaxHeaderBytes: 1 << 20, HeaderTimeout: time.Minute, IdleTimeout: time.Minute}
	return clientconn.NewTracker(clientconn.Options{
		Limits: func() routing.Limits { return limits }, Record: func(clientconn.Reason) {}, Log: zap.NewNop(),
	})
}
