package earlyend

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"gooseberrytide.example/gooseberrytide/test/standin/routerprocess"
)

// mortalServer is a server that ends half way through its first response: its port and its connections close in order.
type mortalServer struct {
	listener net.Listener
	// onEnd is called after the end.
	onEnd func()

	mu    sync.Mutex
	conns []net.Conn
}

// startMortalServer starts a server that calls onEnd after its end, and returns its address.
func startMortalServer(t *testing.T, onEnd func()) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &mortalServer{listener: listener, onEnd: onEnd}
	t.Cleanup(s.end)
	go s.run()
	return listener.Addr().String()
}

func (s *mortalServer) run() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns = append(s.conns, c)
		s.mu.Unlock()
		go s.serve(c)
	}
}

func (s *mortalServer) serve(c net.Conn) {
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	attempt := r.Header.Get("Attempt-Id")
	fmt.Fprintf(c, "HTTP/1.1 200 X\r\nAttempt-Id: %s\r\nInstance-Signature: sig\r\n\r\n%s", attempt, wholeBody(attempt)[:wholeBytes/2])
	time.Sleep(20 * time.Millisecond) // the half reaches the router
	s.end()
	s.onEnd()
}

// end closes the port and the connections, as the system does for a process that is killed.
func (s *mortalServer) end() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		_ = c.Close()
	}
}

// Guards against half a response that looks whole because the router's process was stopped while it asked whether the server,
// which was killed, goes on.
func TestCrashOfAServerWhoseProbeIsStopped(t *testing.T) {
	g := NewWithT(t)
	store, address := newStore(t, "")
	var router *routerprocess.Router
	const crashes = 10
	for i := range crashes {
		server := startMortalServer(t, func() {
			time.Sleep(3 * time.Millisecond) // the router has begun to ask
			router.Signal(syscall.SIGSTOP)
			time.Sleep(300 * time.Millisecond)
			router.Signal(syscall.SIGCONT)
		})
		store.Put(fmt.Sprintf("servers/i-%d", i), fmt.Appendf(nil, `{"service":"faulty","address":%q,"zone":"a","slots":64,"state":"ready"}`, server))
	}
	router = startRouterAt(t, address)
	for i := range crashes {
		attempt := fmt.Sprintf("crash-%d", i)
		r, err := http.NewRequest(http.MethodPost, "http://"+router.Front+"/faulty/callout/x", strings.NewReader(attempt))
		g.Expect(err).NotTo(HaveOccurred())
		r.Host = host
		r.Header.Set("Attempt-Id", attempt)
		r.Header.Set("Deadline-Ms", "7000")
		resp, err := http.DefaultClient.Do(r)
		if err != nil {
			continue
		}
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		g.Expect(err != nil || resp.StatusCode >= http.StatusInternalServerError).To(BeTrue(), "status %d, length %d", resp.StatusCode, resp.ContentLength)
	}
}
