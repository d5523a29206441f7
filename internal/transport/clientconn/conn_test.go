package clientconn

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"gooseberrytide.example/gooseberrytide/internal/coordination/memory"
	"gooseberrytide.example/gooseberrytide/internal/state/routing"
	"gooseberrytide.example/gooseberrytide/internal/transport/sockopt"
)

// port is an HTTP server with limited clients.
type port struct {
	t       *testing.T
	address string
	tracker *Tracker
	account *memory.Account

	mu      sync.Mutex
	limits  routing.Limits
	reasons map[Reason]int
}

// startPort starts an HTTP server on loopback. change may change the options.
func startPort(t *testing.T, h http.HandlerFunc, change func(*Options)) *port {
	t.Helper()
	p := &port{
		t: t, account: memory.NewAccount(4 << 20), reasons: make(map[Reason]int),
		limits: routing.Limits{MaxHeaderBytes: 8 << 10, HeaderTimeout: 10 * time.Second, IdleTimeout: 10 * time.Second},
	}
	opts := Options{Limits: p.limitsInForce, Account: p.account, Record: p.record, Log: zap.NewNop()}
	if change != nil {
		change(&opts)
	}
	p.tracker = NewTracker(opts)
	listener, err := sockopt.Listen(t.Context(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p.address = listener.Addr().String()
	s := &http.Server{
		Handler: h, ConnContext: Context, ConnState: OnState, ReadHeaderTimeout: time.Minute, IdleTimeout: time.Minute,
	}
	go func() { _ = s.Serve(p.tracker.Listener(listener)) }()
	t.Cleanup(func() { _ = s.Close() })
	return p
}

func (p *port) limitsInForce() routing.Limits {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.limits
}

func (p *port) setLimits(change func(*routing.Limits)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(&p.limits)
}

func (p *port) record(r Reason) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reasons[r]++
}

func (p *port) count(r Reason) func() int {
	return func() int {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.reasons[r]
	}
}

func (p *port) dial() net.Conn {
	p.t.Helper()
	conn, err := net.Dial("tcp4", p.address)
	if err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// exchange sends a request on a connection and returns the status of the response, or 0.
func exchange(conn net.Conn, reader *bufio.Reader, header string) int {
	if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n"+header+"\r\n"); err != nil {
		return 0
	}
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

func respondOK(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }

// Guards against a limit of headers that counts a connection's earlier requests, that a change of the configuration does
// not put in force, or that cuts off a header within it.
func TestHeaderLimitFollowsTheConfiguration(t *testing.T) {
	g := NewWithT(t)
	p := startPort(t, respondOK, nil)
	conn := p.dial()
	reader := bufio.NewReader(conn)
	within := "X: " + strings.Repeat("x", 8<<10-100) + "\r\n"
	for range 5 {
		g.Expect(exchange(conn, reader, within)).To(Equal(http.StatusOK))
	}
	p.setLimits(func(l *routing.Limits) { l.MaxHeaderBytes = 1 << 10 })
	g.Expect(exchange(conn, reader, "X: "+strings.Repeat("x", 1<<10-100)+"\r\n")).To(Equal(http.StatusOK))
	g.Expect(exchange(conn, reader, within)).To(BeElementOf(http.StatusRequestHeaderFieldsTooLarge, 0))
	g.Eventually(p.count(HeaderBytes)).Should(Equal(1))
	g.Eventually(p.account.Used).Should(BeZero())
}

// Guards against clients that hold a connection with a header that does not end, and against an idle connection that is
// closed although it is within the limit.
func TestHeaderAndIdleTimes(t *testing.T) {
	g := NewWithT(t)
	p := startPort(t, respondOK, nil)
	p.setLimits(func(l *routing.Limits) { l.HeaderTimeout = -headerMargin + 100*time.Millisecond })
	slow := p.dial()
	_, err := io.WriteString(slow, "GET / HT")
	g.Expect(err).NotTo(HaveOccurred())
	_, err = io.ReadAll(slow)
	g.Expect(err).NotTo(HaveOccurred(), "closed by the router")
	g.Eventually(p.count(HeaderTime)).Should(Equal(1))
	idle := p.dial()
	reader := bufio.NewReader(idle)
	g.Expect(exchange(idle, reader, "")).To(Equal(http.StatusOK))
	time.Sleep(300 * time.Millisecond)
	g.Expect(exchange(idle, reader, "")).To(Equal(http.StatusOK), "the time for a header begins with its first byte")
	p.setLimits(func(l *routing.Limits) { l.IdleTimeout = 100 * time.Millisecond })
	g.Expect(exchange(idle, reader, "")).To(Equal(http.StatusOK))
	_, err = io.ReadAll(reader)
	g.Expect(err).NotTo(HaveOccurred(), "closed by the router")
}

// Guards against silent connections that take all descriptors, and against an ordinary connection that is closed for them.
func TestOldestSilentConnectionIsClosed(t *testing.T) {
	g := NewWithT(t)
	p := startPort(t, respondOK, func(o *Options) { o.MaxSilent, o.MaxSilentPerAddress = 8, 4 })
	ordinary := p.dial()
	reader := bufio.NewReader(ordinary)
	g.Expect(exchange(ordinary, reader, "")).To(Equal(http.StatusOK))
	first := p.dial()
	for range 4 {
		p.dial()
	}
	_, err := io.ReadAll(first)
	g.Expect(err).NotTo(HaveOccurred(), "closed by the router")
	g.Eventually(p.count(SilentCount)).Should(Equal(1))
	g.Expect(exchange(ordinary, reader, "")).To(Equal(http.StatusOK))
}

// Guards against a handler that waits for a client that reads slowly, so that the backend server's response stays unread,
// and against a response that is cut off although its client reads on.
func TestSlowReaderDoesNotDelayTheHandler(t *testing.T) {
	g := NewWithT(t)
	const size = 16 << 20
	written := make(chan error, 1)
	p := startPort(t, func(w http.ResponseWriter, _ *http.Request) {
		_, err := w.Write(make([]byte, size))
		written <- err
	}, func(o *Options) { o.Account = memory.NewAccount(64 << 20) })
	conn := p.dial()
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(written, "2s").Should(Receive(BeNil()))
	g.Expect(p.tracker.Unread()).To(Equal(1))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	g.Expect(err).NotTo(HaveOccurred())
	n, err := io.Copy(io.Discard, resp.Body)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(n).To(BeEquivalentTo(size))
	g.Eventually(p.tracker.Unread).Should(BeZero())
}

// Guards against a response that is ended although its client reads it steadily but slowly: the system accepts further bytes
// only once a third of its buffer is free, which took such a client more than the time for a write.
func TestSteadySlowReaderIsNotEnded(t *testing.T) {
	g := NewWithT(t)
	const size = 8 << 20
	p := startPort(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, size))
	}, func(o *Options) { o.Account = memory.NewAccount(64 << 20) })
	conn := p.dial()
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
	g.Expect(err).NotTo(HaveOccurred())
	buf := make([]byte, 8<<10)
	for begin := time.Now(); time.Since(begin) < writeTimeout+2*time.Second; time.Sleep(80 * time.Millisecond) {
		_, err := io.ReadFull(conn, buf)
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Expect(p.count(ResponseTime)()).To(BeZero())
}

// Guards against a client that reads nothing and takes the memory of others: its response is ended, and no other.
func TestUnreadResponseIsEndedForLackOfMemory(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	p := startPort(t, func(w http.ResponseWriter, r *http.Request) {
		FromContext(r.Context()).SetTeam("farm")
		for block := make([]byte, 64<<10); r.URL.Path == "/endless" && ctx.Err() == nil; {
			if _, err := w.Write(block); err != nil {
				panic(http.ErrAbortHandler)
			}
		}
	}, nil)
	other := p.dial()
	reader := bufio.NewReader(other)
	g.Expect(exchange(other, reader, "")).To(Equal(http.StatusOK))
	conn := p.dial()
	_, err := io.WriteString(conn, "GET /endless HTTP/1.1\r\nHost: h\r\n\r\n")
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(p.count(ResponseMemory), "5s").Should(Equal(1))
	g.Expect(exchange(other, reader, "")).To(Equal(http.StatusOK))
	g.Eventually(p.tracker.Unread).Should(BeZero())
	g.Eventually(p.account.Used).Should(BeEquivalentTo(connectionBytes))
}

// Guards against responses that make garbage faster than it is collected, which no account of memory sees: the
// memory of a response that has been ended is used again.
func TestMemoryOfUnreadResponsesIsUsedAgain(t *testing.T) {
	g := NewWithT(t)
	const rounds = 20
	response := make([]byte, 12<<20)
	p := startPort(t, func(w http.ResponseWriter, r *http.Request) {
		FromContext(r.Context()).SetTeam("farm")
		_, _ = w.Write(response)
	}, nil)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for ended := 1; ended <= rounds; ended++ {
		conn := p.dial()
		_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		g.Expect(err).NotTo(HaveOccurred())
		g.Eventually(p.count(ResponseMemory), "5s", "5ms").Should(Equal(ended))
		g.Eventually(p.account.Used, "5s", "5ms").Should(BeZero())
	}
	runtime.ReadMemStats(&after)
	g.Expect(int64(after.TotalAlloc - before.TotalAlloc)).To(BeNumerically("<", rounds*p.account.Limit()/2))
}

// FuzzHeaderLimit guards against a panic in the reader before the HTTP server, and against a header above the limit that
// reaches a handler.
func FuzzHeaderLimit(f *testing.F) {
	for _, text := range []string{
		"GET / HTTP/1.1\r\nHost: h\r\n\r\n", "\r\n\r\n\r\n\r\nGET / HTTP/1.1\r\n", strings.Repeat("\n", 9000), strings.Repeat("A: b\r\n", 3000),
	} {
		f.Add(text, 7)
	}
	f.Fuzz(func(t *testing.T, text string, piece int) {
		account := memory.NewAccount(1 << 20)
		tracker := NewTracker(Options{
			Limits:  func() routing.Limits { return routing.Limits{MaxHeaderBytes: 100, HeaderTimeout: time.Second} },
			Account: account, Record: func(Reason) {}, Log: zap.NewNop(),
		})
		client, server := net.Pipe()
		conn := tracker.Track(server)
		go func() {
			defer func() { _ = client.Close() }()
			for rest := text; rest != ""; {
				n := min(max(piece, 1), len(rest))
				if _, err := io.WriteString(client, rest[:n]); err != nil {
					return
				}
				rest = rest[n:]
			}
		}()
		var read strings.Builder
		for buf := make([]byte, readAhead); ; {
			n, err := conn.Read(buf)
			read.Write(buf[:n])
			if err != nil {
				break
			}
		}
		if !strings.HasPrefix(text, read.String()) {
			t.Fatalf("read %q of %q", read.String(), text)
		}
		if before, _, _ := strings.Cut(text, "\r\n\r\n"); before == text && read.Len() > 100+2*readAhead {
			t.Fatalf("%d bytes of a header were read", read.Len())
		}
		_ = conn.Close()
		if used := account.Used(); used != 0 {
			t.Fatalf("%d bytes are left in the account", used)
		}
	})
}
