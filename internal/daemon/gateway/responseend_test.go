package gateway

import (
	"context"
	"io"
	"net"
	"net/netip"
	"testing"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"gooseberrytide.example/gooseberrytide/internal/coordination/poison"
	"gooseberrytide.example/gooseberrytide/internal/state/backends"
	"gooseberrytide.example/gooseberrytide/platform"
	"gooseberrytide.example/gooseberrytide/test/standin/endless"
)

// newIdleNode returns a node that does not run, with entries of servers.
func newIdleNode(t *testing.T, servers ...*backends.Server) *Node {
	t.Helper()
	n, err := New(&platform.Settings{Router: "own", IP: netip.MustParseAddr("127.0.0.1"), MemoryBytes: 1 << 28}, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	n.servers.Store(backends.NewSet(servers))
	return n
}

// Guards against half a response that looks whole because its server is back at the same port, and against restarts that count
// as crashes of the request's server.
func TestServerThatIsBackHasNotOutlivedItsResponse(t *testing.T) {
	address := endless.Serve(t, holdOpen)
	const startedAt = 1000
	server := &backends.Server{ID: "i-1", Service: "app", Address: address, StartedAt: startedAt}
	for name, c := range map[string]struct {
		startedAt int64
		outlived  bool
	}{
		"same start":    {startedAt, true},
		"late write":    {startedAt - 1, true},
		"started again": {startedAt + 1, false},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			entry := *server
			entry.StartedAt = c.startedAt
			n := newIdleNode(t, &entry)
			g.Expect(n.probeServer(t.Context(), server)).To(Equal(poison.ServerAlive))
			g.Expect(n.outlivedResponse(t.Context(), server)).To(Equal(c.outlived))
		})
	}
}

// holdOpen keeps a connection open until the other side closes it.
func holdOpen(c net.Conn) { _, _ = io.Copy(io.Discard, c) }

// Guards against half a response that looks whole because its server leaves and is taken away, and against the responses of
// leaving servers that are taken for broken while the servers go on. Neither is a crash.
func TestLeavingServerThatEndsWithItsResponse(t *testing.T) {
	for port, c := range map[string]struct {
		address  func(t *testing.T) string
		outlived bool
	}{
		"serving":  {func(t *testing.T) string { return endless.Serve(t, holdOpen) }, true},
		"closing":  {func(t *testing.T) string { return endless.Serve(t, func(net.Conn) {}) }, false},
		"refusing": {refusingAddress, false},
	} {
		server := &backends.Server{ID: "i-1", Service: "app", Address: c.address(t), StartedAt: 1000}
		draining := *server
		draining.Draining = true
		for entry, servers := range map[string][]*backends.Server{"draining": {&draining}, "gone": nil} {
			t.Run(port+", entry "+entry, func(t *testing.T) {
				g := NewWithT(t)
				n := newIdleNode(t, servers...)
				g.Expect(n.probeServer(t.Context(), server)).To(Equal(poison.ServerAlive))
				g.Expect(n.outlivedResponse(t.Context(), server)).To(Equal(c.outlived))
			})
		}
	}
}

// Guards against half a response that looks whole because the time to ask its server's port has passed: the request has ended, or
// this process did not run.
func TestUnansweredProbeProvesNothing(t *testing.T) {
	g := NewWithT(t)
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	server := &backends.Server{ID: "i-1", Service: "app", Address: refusingAddress(t), StartedAt: 1000}
	n := newIdleNode(t, server)
	g.Expect(n.probeServer(ended, server)).To(Equal(poison.ServerAlive), "no evidence of a crash")
	g.Expect(n.outlivedResponse(ended, server)).To(BeFalse())
	serving := &backends.Server{ID: "i-2", Service: "app", Address: endless.Serve(t, holdOpen), StartedAt: 1000}
	g.Expect(n.outlivedResponse(ended, serving)).To(BeTrue())
}

// refusingAddress returns an address whose port refuses connections.
func refusingAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = listener.Close()
	return listener.Addr().String()
}
