package sockopt

import (
	"context"
	"io"
	"net"
	"os"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"gooseberrytide.example/gooseberrytide/test/standin/slowpeer"
)

const (
	// responseBytes is more than the window of a slow peer holds.
	responseBytes = 100_000
	// noticeTimeout bounds the time in which a peer that is gone is noticed: the user timeout and a check.
	noticeTimeout = userTimeout + 2*checkPeriod
)

// connect returns the two ends of a connection. The window of the client is small.
func connect(t *testing.T) (server, client net.Conn) {
	t.Helper()
	l, err := Listen(context.Background(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	client = slowpeer.Dial(t, l.Addr().String())
	if server, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = server.Close() })
	return server, client
}

// write writes in the background.
func write(conn net.Conn, bytes int) {
	go func() { _, _ = conn.Write(make([]byte, bytes)) }()
}

// Guards against a connection that is reset although its peer is alive, because the peer reads nothing for longer than the
// user timeout, or because its short pauses add up to that.
func TestSlowPeerKeepsItsConnection(t *testing.T) {
	for name, pauses := range map[string][]time.Duration{
		"two long pauses":   {2*userTimeout + checkPeriod, 2*userTimeout + checkPeriod},
		"many short pauses": {time.Second, time.Second, time.Second, time.Second, time.Second, time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			server, client := connect(t)
			for _, pause := range pauses {
				write(server, responseBytes)
				time.Sleep(pause)
				_, err := io.ReadFull(client, make([]byte, responseBytes))
				g.Expect(err).NotTo(HaveOccurred())
			}
			g.Eventually(func() int { return Unsent(server) }).Should(BeZero())
		})
	}
}

// Guards against a peer that is gone and noticed late: with a closed window at once and after it has been slow for long,
// with data in flight, and idle.
func TestGonePeerIsNoticed(t *testing.T) {
	for name, c := range map[string]struct {
		bytes int
		after time.Duration
		// readBefore makes the client read a part before it vanishes, so that its window opens.
		readBefore bool
	}{
		"window closed":              {bytes: responseBytes, after: 100 * time.Millisecond},
		"window closed for long":     {bytes: responseBytes, after: 8 * time.Second},
		"window open after a stall":  {bytes: responseBytes, after: 5 * time.Second, readBefore: true},
		"all read":                   {bytes: 100, after: 100 * time.Millisecond},
		"nothing sent, before write": {after: 100 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			server, client := connect(t)
			write(server, c.bytes)
			time.Sleep(c.after)
			if c.readBefore {
				go func() { _, _ = io.ReadFull(client, make([]byte, responseBytes/4)) }()
			}
			slowpeer.Vanish(t, client)
			if c.bytes == 0 {
				write(server, 1)
			}
			gone := time.Now()
			_, err := server.Read(make([]byte, 1))
			g.Expect(err).To(HaveOccurred())
			t.Logf("noticed after %v: %v", time.Since(gone).Round(time.Millisecond), err)
			g.Expect(time.Since(gone)).To(BeNumerically("<", noticeTimeout))
		})
	}
}

// lateConn gives its bytes to the system some time after the call.
type lateConn struct{ net.Conn }

func (c lateConn) NetConn() net.Conn { return c.Conn }

func (c lateConn) Write(b []byte) (int, error) {
	time.Sleep(2 * checkPeriod)
	return c.Conn.Write(b)
}

// Guards against a peer that is gone and not noticed, because it was checked between the call of a write and the write.
func TestWriteAfterACheckIsWatched(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	server, client := connect(t)
	late := newConn(lateConn{server.(*Conn).Conn})
	Apply(late)
	slowpeer.Vanish(t, client)
	write(late, 1)
	_ = server.SetReadDeadline(time.Now().Add(2*checkPeriod + noticeTimeout))
	_, err := server.Read(make([]byte, 1))
	g.Expect(err).To(HaveOccurred())
	g.Expect(err).NotTo(MatchError(os.ErrDeadlineExceeded))
}
