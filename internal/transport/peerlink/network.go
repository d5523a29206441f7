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

// Network is a router's end of all links. Its methods are safe for concurrent use.
type Network struct {
	opts     Options
	listener net.Listener
	counters counters
	events   events
	// incarnation is the one that new handshakes carry.
	incarnation atomic.Uint64
	blocked     atomic.Pointer[map[ident.RouterID]bool]
	handshakes  chan struct{}

	ctx    context.Context
	cancel context.CancelFunc
	wait   sync.WaitGroup

	mu      sync.RWMutex
	closed  bool
	remotes map[ident.RouterID]*remote
	callers map[ident.RouterID]*caller
	// conns holds every open connection; the name is empty until the handshake is over.
	conns map[net.Conn]ident.RouterID
}

// New opens the listener and starts accepting links.
func New(opts Options) (*Network, error) {
	if err := opts.complete(); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", opts.Listen)
	if err != nil {
		return nil, errors.Wrap(err, "peerlink: listen")
	}
	n := &Network{
		opts: opts, listener: listener, handshakes: make(chan struct{}, maxHandshakes),
		remotes: map[ident.RouterID]*remote{}, callers: map[ident.RouterID]*caller{},
		conns: map[net.Conn]ident.RouterID{},
	}
	n.incarnation.Store(uint64(opts.Incarnation))
	n.blocked.Store(&map[ident.RouterID]bool{})
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.events.init()
	n.spawn(func() { n.events.run(n.ctx) })
	n.spawn(n.acceptAll)
	n.spawn(n.retireAll)
	return n, nil
}

// Addr returns the listener's address.
func (n *Network) Addr() net.Addr { return n.listener.Addr() }

// Stats returns what was exchanged so far.
func (n *Network) Stats() Stats { return n.counters.stats() }

// Send queues a message for a peer and never blocks. The message is dropped and counted when the queue is full, the link
// breaks, or the peer cannot be reached.
func (n *Network) Send(to ident.RouterID, e peer.Envelope) {
	if n.cut(to) || !n.push(to, e) {
		n.counters.dropped.Add(1)
	}
}

// push puts a message into the peer's queue.
func (n *Network) push(to ident.RouterID, e peer.Envelope) bool {
	n.mu.RLock()
	r := n.remotes[to]
	if r != nil {
		defer n.mu.RUnlock()
		return r.push(e)
	}
	n.mu.RUnlock()
	n.mu.Lock()
	defer n.mu.Unlock()
	r = n.remoteLocked(to)
	return r != nil && r.push(e)
}

// remoteLocked returns the peer's entry, new if needed. It returns nil when the network is closed. The caller holds n.mu.
func (n *Network) remoteLocked(id ident.RouterID) *remote {
	if n.closed || id == n.opts.Self {
		return nil
	}
	r := n.remotes[id]
	if r == nil {
		r = newRemote(n, id)
		n.remotes[id] = r
		n.wait.Add(1)
		go r.run()
	}
	return r
}

// SetIncarnation changes the incarnation of this process and closes all links, so that peers learn it.
func (n *Network) SetIncarnation(i ident.Incarnation) {
	if n.incarnation.Swap(uint64(i)) == uint64(i) {
		return
	}
	n.closeWhere(func(ident.RouterID) bool { return true })
}

// self returns the name and incarnation that handshakes carry.
func (n *Network) self() peer.Endpoint {
	return peer.Endpoint{Router: n.opts.Self, Incarnation: ident.Incarnation(n.incarnation.Load())}
}

// SetBlocked cuts off exactly the given peers until the next call. Fault tests of whole processes use it.
func (n *Network) SetBlocked(list []ident.RouterID) {
	blocked := make(map[ident.RouterID]bool, len(list))
	for _, id := range list {
		blocked[id] = true
	}
	n.blocked.Store(&blocked)
	n.opts.Logger.Info("peerlink: blocked peers changed", zap.Int("count", len(blocked)))
	n.closeWhere(func(id ident.RouterID) bool { return blocked[id] })
}

// cut reports whether a test cut the peer off.
func (n *Network) cut(id ident.RouterID) bool {
	return (*n.blocked.Load())[id] || !n.opts.Filter(id)
}

// closeWhere closes the connections of matching peers.
func (n *Network) closeWhere(match func(ident.RouterID) bool) {
	n.mu.RLock()
	conns := maps.Clone(n.conns)
	n.mu.RUnlock()
	for conn, id := range conns {
		if match(id) {
			_ = conn.Close()
		}
	}
}

// track registers an open connection. It returns false when the network is closed.
func (n *Network) track(conn net.Conn, id ident.RouterID) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return false
	}
	n.conns[conn] = id
	return true
}

// release closes a connection and forgets it.
func (n *Network) release(conn net.Conn) {
	_ = conn.Close()
	n.mu.Lock()
	delete(n.conns, conn)
	n.mu.Unlock()
}

// spawn runs a goroutine that Close waits for. It reports false when the network is closed.
func (n *Network) spawn(f func()) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return false
	}
	n.wait.Go(f)
	return true
}

// Close sends what is queued on open links, for at most a quarter second, and closes everything.
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
	n.closeWhere(func(ident.RouterID) bool { return true })
	n.wait.Wait()
	return errors.Wrap(err, "peerlink: close listener")
}

// drain waits until the queues of peers with open links are empty, so that a farewell gets out.
func (n *Network) drain() {
	const limit, step = 250 * time.Millisecond, time.Millisecond
	for range int(limit / step) {
		if !n.pending() {
			return
		}
		time.Sleep(step)
	}
}

// pending reports whether a peer with an open link has queued messages.
func (n *Network) pending() bool {
	n.mu.RLock()
	defer n.mu.RUnlock()
	for _, r := range n.remotes {
		if r.pending() {
			return true
		}
	}
	return false
}

// retireAll forgets peers and call connections that were not used for a while.
func (n *Network) retireAll() {
	ticker := time.NewTicker(n.opts.IdleTimeout / 4)
	defer ticker.Stop()
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-ticker.C:
			n.retire()
		}
	}
}

// retire removes idle entries. Send holds the lock while it queues, so no message is lost.
func (n *Network) retire() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for id, r := range n.remotes {
		if r.retire() {
			delete(n.remotes, id)
		}
	}
	for id, c := range n.callers {
		if c.retire() {
			delete(n.callers, id)
		}
	}
}
