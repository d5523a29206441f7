package peerlink

import (
	"context"
	"maps"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"gooseberrytide.example/gooseberrytide/internal/protocol/peer"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
)

// Network holds a router's links and call connections to its peers. It is safe for concurrent use.
type Network struct {
	opts      Options
	listener  net.Listener
	counters  counters
	callbacks callbackQueue
	// incarnation is the incarnation sent in new handshakes.
	incarnation atomic.Uint64
	// blocked is the set of peers blocked by SetBlocked. The map is never modified.
	blocked atomic.Pointer[map[ident.RouterID]bool]
	// handshakeSlots is a semaphore that limits the accepted connections in a handshake.
	handshakeSlots chan struct{}

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu         sync.RWMutex
	closed     bool
	remotes    map[ident.RouterID]*remotePeer
	rpcClients map[ident.RouterID]*rpcClient
	// conns holds all open connections with the peer's name, which is empty for accepted ones until the handshake ends.
	conns map[net.Conn]ident.RouterID
}

// New opens the listener and starts to accept connections.
func New(opts Options) (*Network, error) {
	if err := opts.setDefaults(); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", opts.Listen)
	if err != nil {
		return nil, errors.Wrap(err, "peerlink: listen")
	}
	n := &Network{
		opts: opts, listener: listener, handshakeSlots: make(chan struct{}, maxHandshakes),
		remotes: map[ident.RouterID]*remotePeer{}, rpcClients: map[ident.RouterID]*rpcClient{},
		conns: map[net.Conn]ident.RouterID{},
	}
	n.incarnation.Store(uint64(opts.Incarnation))
	n.blocked.Store(&map[ident.RouterID]bool{})
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.callbacks.init()
	n.spawn(func() { n.callbacks.run(n.ctx) })
	n.spawn(n.acceptLoop)
	n.spawn(n.removeIdleLoop)
	return n, nil
}

// Addr returns the listener's address.
func (n *Network) Addr() net.Addr { return n.listener.Addr() }

// Stats returns the statistics since the network was created.
func (n *Network) Stats() Stats { return n.counters.stats() }

// Send queues a message for a peer and never blocks. The message is dropped and counted if the queue is full, the link
// fails, or the peer is blocked or unreachable.
func (n *Network) Send(to ident.RouterID, e peer.Envelope) {
	if n.isBlocked(to) || !n.enqueue(to, e) {
		n.counters.dropped.Add(1)
	}
}

// enqueue appends a message to the peer's queue. It returns false if the queue is full or the network is closed.
func (n *Network) enqueue(to ident.RouterID, e peer.Envelope) bool {
	n.mu.RLock()
	r := n.remotes[to]
	if r != nil {
		defer n.mu.RUnlock()
		return r.enqueue(e)
	}
	n.mu.RUnlock()
	n.mu.Lock()
	defer n.mu.Unlock()
	r = n.remoteLocked(to)
	return r != nil && r.enqueue(e)
}

// remoteLocked returns the entry of a peer, creating it if needed. It returns nil if the network is closed or the peer
// is this router. The caller holds n.mu.
func (n *Network) remoteLocked(id ident.RouterID) *remotePeer {
	if n.closed || id == n.opts.Self {
		return nil
	}
	r := n.remotes[id]
	if r == nil {
		r = newRemotePeer(n, id)
		n.remotes[id] = r
		n.wg.Add(1)
		go r.run()
	}
	return r
}

// SetIncarnation changes the incarnation of this process and closes all connections, so that peers learn the new one.
func (n *Network) SetIncarnation(i ident.Incarnation) {
	if n.incarnation.Swap(uint64(i)) == uint64(i) {
		return
	}
	n.closeMatching(func(ident.RouterID) bool { return true })
}

// self returns the name and incarnation that this router sends in handshakes.
func (n *Network) self() peer.Endpoint {
	return peer.Endpoint{Router: n.opts.Self, Incarnation: ident.Incarnation(n.incarnation.Load())}
}

// SetBlocked blocks exactly the given peers until the next call. Fault tests with separate processes use it.
func (n *Network) SetBlocked(list []ident.RouterID) {
	blocked := make(map[ident.RouterID]bool, len(list))
	for _, id := range list {
		blocked[id] = true
	}
	n.blocked.Store(&blocked)
	n.opts.Logger.Info("peerlink: blocked peers changed", zap.Int("count", len(blocked)))
	n.closeMatching(func(id ident.RouterID) bool { return blocked[id] })
}

// isBlocked reports whether a test has blocked the peer, by SetBlocked or by Options.Filter.
func (n *Network) isBlocked(id ident.RouterID) bool {
	return (*n.blocked.Load())[id] || !n.opts.Filter(id)
}

// closeMatching closes the connections of the peers for which match returns true.
func (n *Network) closeMatching(match func(ident.RouterID) bool) {
	n.mu.RLock()
	conns := maps.Clone(n.conns)
	n.mu.RUnlock()
	for conn, id := range conns {
		if match(id) {
			_ = conn.Close()
		}
	}
}

// track registers an open connection with the peer's name. It returns false if the network is closed.
func (n *Network) track(conn net.Conn, id ident.RouterID) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return false
	}
	n.conns[conn] = id
	return true
}

// closeConn closes a connection and removes its registration.
func (n *Network) closeConn(conn net.Conn) {
	_ = conn.Close()
	n.mu.Lock()
	delete(n.conns, conn)
	n.mu.Unlock()
}

// spawn starts a goroutine that Close waits for. It returns false if the network is closed.
func (n *Network) spawn(f func()) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return false
	}
	n.wg.Go(f)
	return true
}

// Close waits up to 250 ms for queued messages to be sent on open links. Then it closes the listener and all
// connections and waits for the goroutines of the network.
func (n *Network) Close() error {
	n.drain()
	n.mu.Lock()
	if n.closed {
		n.mu.Unlock()
		return nil
	}
	n.closed = true
	n.mu.Unlock()
	n.cancel()
	err := n.listener.Close()
	n.closeMatching(func(ident.RouterID) bool { return true })
	n.wg.Wait()
	return errors.Wrap(err, "peerlink: close listener")
}

// drain waits until the queues of peers with open links are empty, so that the last messages of this router are sent.
func (n *Network) drain() {
	const limit, step = 250 * time.Millisecond, time.Millisecond
	for range int(limit / step) {
		if !n.hasPending() {
			return
		}
		time.Sleep(step)
	}
}

// hasPending reports whether a peer with an open link has unsent messages.
func (n *Network) hasPending() bool {
	n.mu.RLock()
	defer n.mu.RUnlock()
	for _, r := range n.remotes {
		if r.hasPending() {
			return true
		}
	}
	return false
}

// removeIdleLoop removes idle peers and RPC clients until the network is closed.
func (n *Network) removeIdleLoop() {
	ticker := time.NewTicker(n.opts.IdleTimeout / 4)
	defer ticker.Stop()
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-ticker.C:
			n.removeIdle()
		}
	}
}

// removeIdle removes idle peers and RPC clients. No message is lost, because Send holds the lock while it queues a
// message.
func (n *Network) removeIdle() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for id, r := range n.remotes {
		if r.stopIfIdle() {
			delete(n.remotes, id)
		}
	}
	for id, c := range n.rpcClients {
		if c.closeIdle() {
			delete(n.rpcClients, id)
		}
	}
}
