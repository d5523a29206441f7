package clientconn

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"gooseberrytide.example/gooseberrytide/internal/coordination/memory"
	"gooseberrytide.example/gooseberrytide/test/standin/slowpeer"
)

const (
	// queuedBytes is the size of a response that the system accepts at once, keptBytes of one of which the rest is kept.
	queuedBytes = 20 << 10
	keptBytes   = 12 << 20
	// readTime is the time that a client has to read its response.
	readTime = 25 * time.Second
	// pause is longer than three writes may take: the first two may end with a part accepted.
	pause = 3*writeTimeout + 2*time.Second
)

// responseSizes are the sizes of the tests' responses by the value of the request's Connection header.
var responseSizes = map[string][]int{"keep-alive": {queuedBytes, keptBytes}, "close": {queuedBytes, keptBytes}}

// startPausePort starts a server of responses with the size that the path names. Its clients have readTime to read them, and
// may hold accountBytes.
func startPausePort(t *testing.T, readTime time.Duration, accountBytes int64) *port {
	t.Helper()
	return startPort(t, func(w http.ResponseWriter, r *http.Request) {
		var size int
		_, _ = fmt.Sscanf(r.URL.Path, "/%d", &size)
		c := FromContext(r.Context())
		c.SetTeam("farm")
		c.SetReadUntil(time.Now().Add(readTime))
		_, _ = w.Write(make([]byte, size))
	}, func(o *Options) { o.Account = memory.NewAccount(accountBytes) })
}

// request sends a request with a window that closes before the response has been received.
func (p *port) request(size int, connection string) net.Conn {
	p.t.Helper()
	conn := slowpeer.Dial(p.t, p.address)
	if _, err := fmt.Fprintf(conn, "GET /%d HTTP/1.1\r\nHost: h\r\nConnection: %s\r\n\r\n", size, connection); err != nil {
		p.t.Fatal(err)
	}
	return conn
}

// Guards against a response that is cut off because its client pauses for longer than the time for a write, although the
// time for the response has not passed, also if the connection was to be closed.
func TestPausingClientGetsItsResponse(t *testing.T) {
	t.Parallel()
	p := startPausePort(t, readTime, 4*keptBytes)
	for connection, sizes := range responseSizes {
		for _, size := range sizes {
			t.Run(fmt.Sprintf("%s, %d bytes", connection, size), func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				conn := p.request(size, connection)
				time.Sleep(pause)
				resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
				g.Expect(err).NotTo(HaveOccurred())
				n, err := io.Copy(io.Discard, resp.Body)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(n).To(BeEquivalentTo(size))
			})
		}
	}
}

// Guards against a client that reads nothing and holds memory and a descriptor after the time for its response has passed.
func TestUnreadResponseIsEndedAfterItsTime(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p := startPausePort(t, time.Second, 4*keptBytes)
	sizes := responseSizes["close"]
	for _, size := range sizes {
		p.request(size, "close")
	}
	g.Eventually(p.tracker.Unread, "2s").Should(Equal(len(sizes)), "a response is unread, also if the system has accepted it")
	g.Eventually(p.count(ResponseTime), 2*writeTimeout+time.Second).Should(Equal(len(sizes)))
	g.Eventually(p.tracker.Unread).Should(BeZero())
	g.Eventually(p.tracker.opts.Account.Used).Should(BeZero())
}

// closing returns the number of connections that are to be closed once all has been sent.
func (p *port) closing() int {
	p.tracker.mu.Lock()
	defer p.tracker.mu.Unlock()
	n := 0
	for c := range p.tracker.conns {
		c.mu.Lock()
		if c.closing {
			n++
		}
		c.mu.Unlock()
	}
	return n
}

// Guards against a connection that is to be closed and whose unread response cannot be ended for the memory of others.
func TestUnreadResponseOfAClosingConnectionIsEndedForMemory(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p := startPausePort(t, readTime, keptBytes)
	p.request(keptBytes, "close")
	g.Eventually(p.closing, "5s").Should(Equal(1), "all has been written")
	account := p.tracker.opts.Account
	holder, ok := account.Open("alarms", account.Limit()-account.Used()+1<<20, nil)
	g.Expect(ok).To(BeTrue())
	defer holder.Close()
	g.Eventually(p.count(ResponseMemory)).Should(Equal(1))
	g.Eventually(p.tracker.Unread).Should(BeZero())
}
