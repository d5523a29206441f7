//go:build linux

package sockopt

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"gooseberrytide.example/gooseberrytide/test/standin/connend"
)

// connPair returns both sides of a connection on loopback.
func connPair(t *testing.T) (client, server net.Conn) {
	t.Helper()
	g := NewWithT(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = listener.Close() }()
	client, err = net.Dial("tcp4", listener.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	server, err = listener.Accept()
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() {
		_ = client.Close()
		_ = server.Close()
	})
	return client, server
}

// Guards against a look at a connection that takes the error of a reset away from its reader, which then sees an orderly
// end.
func TestLooksDoNotTakeTheErrorOfAReset(t *testing.T) {
	for name, look := range map[string]func(net.Conn) bool{
		"HasUnread":  HasUnread,
		"PeerClosed": PeerClosed,
		"PeerEnded":  PeerEnded,
		"not IsOpen": func(c net.Conn) bool { return !IsOpen(c) },
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			client, server := connPair(t)
			g.Expect(look(client)).To(BeFalse(), "nothing has arrived")
			connend.Reset.End(server)
			g.Eventually(look).WithArguments(client).Should(BeTrue())
			g.Expect(look(client)).To(BeTrue(), "again")
			_, err := client.Read(make([]byte, 1))
			g.Expect(err).To(MatchError(syscall.ECONNRESET))
		})
	}
}

// Guards against a peer that is taken for gone while it waits for a response, or for present because a part of what it sent has
// not been read.
func TestPeerEndedBesideUnreadData(t *testing.T) {
	g := NewWithT(t)
	client, server := connPair(t)
	_, err := io.WriteString(server, "part")
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(HasUnread).WithArguments(client).Should(BeTrue())
	g.Expect(PeerEnded(client)).To(BeFalse())
	connend.Close.End(server)
	g.Eventually(PeerEnded).WithArguments(client).Should(BeTrue())
	g.Expect(PeerClosed(client)).To(BeFalse(), "not all has been read")
}

// Guards against a time in which data waited that is not counted, or that counts the time of the peer's end.
func TestSinceReceived(t *testing.T) {
	g := NewWithT(t)
	const wait = 200 * time.Millisecond
	client, server := connPair(t)
	sent := time.Now()
	_, err := io.WriteString(server, "part")
	g.Expect(err).NotTo(HaveOccurred())
	time.Sleep(wait)
	connend.Close.End(server)
	g.Eventually(PeerEnded).WithArguments(client).Should(BeTrue())
	g.Expect(SinceReceived(client)).To(And(BeNumerically(">", wait-sendTime), BeNumerically("<=", time.Since(sent)+clockStep)))
}

const (
	// sendTime is the time in which data reaches the other side, with time for a busy machine.
	sendTime = 100 * time.Millisecond
	// clockStep is the resolution of the system's times.
	clockStep = 10 * time.Millisecond
)

// Guards against the end of a connection that is told apart by who has seen it.
func TestEndOf(t *testing.T) {
	for way, want := range map[connend.Way]End{
		connend.Close: EndOrderly, connend.Reset: EndBroken, connend.CloseThenReset: EndOrderly,
	} {
		t.Run(string(way), func(t *testing.T) {
			g := NewWithT(t)
			client, server := connPair(t)
			_, err := io.WriteString(server, "part")
			g.Expect(err).NotTo(HaveOccurred())
			way.End(server)
			received, _ := io.Copy(io.Discard, client)
			connend.TakeError(t, client.(*net.TCPConn))
			g.Expect(received).To(Equal(int64(4)))
			g.Expect(EndOf(client, received)).To(Equal(want))
		})
	}
}
