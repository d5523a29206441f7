package peerlink

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"gooseberrytide.example/gooseberrytide/internal/protocol/peer"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/transport/sockopt"
)

// acceptRetryDelay is the delay after a failed accept, for example when the process has no free file descriptors.
const acceptRetryDelay = 50 * time.Millisecond

// acceptLoop accepts connections until the listener is closed.
func (n *Network) acceptLoop() {
	for {
		conn, err := n.listener.Accept()
		if n.ctx.Err() != nil {
			return
		}
		if err != nil {
			n.opts.Logger.Warn("peerlink: accept failed", zap.Error(err))
			time.Sleep(acceptRetryDelay)
			continue
		}
		n.startHandshake(conn)
	}
}

// startHandshake handles an accepted connection on a new goroutine. It closes the connection if too many handshakes are
// in progress.
func (n *Network) startHandshake(conn net.Conn) {
	select {
	case n.handshakeSlots <- struct{}{}:
	default:
		n.counters.refused.Add(1)
		_ = conn.Close()
		return
	}
	if !n.spawn(func() { n.serveConn(conn) }) {
		_ = conn.Close()
	}
}

// serveConn performs the handshake of an accepted connection and serves the connection until it ends.
func (n *Network) serveConn(conn net.Conn) {
	if !n.track(conn, "") {
		<-n.handshakeSlots
		_ = conn.Close()
		return
	}
	defer n.closeConn(conn)
	h := &handshaker{key: n.opts.Key, self: n.self(), conn: conn}
	s, err := withDeadline(conn, func() (*session, error) { return h.accept(n.checkPeer) })
	<-n.handshakeSlots
	n.countHandshake(h)
	if err != nil {
		n.logHandshake(conn.RemoteAddr().String(), err)
		return
	}
	if !n.admit(conn, s) {
		return
	}
	if s.kind == kindRPC {
		n.serveCalls(conn, s)
		return
	}
	if l := newLink(n, conn, s); n.attach(l) {
		n.runLink(l)
	}
}

// checkPeer returns why a connecting peer with the claimed name is refused, or 0.
func (n *Network) checkPeer(id ident.RouterID) Reason {
	if n.isBlocked(id) {
		return ReasonBlocked
	}
	if !n.opts.AllowPeer(id) {
		return ReasonUnknownPeer
	}
	return 0
}

// admit registers an authenticated connection. It returns false if the network was closed, the peer was blocked or the
// own incarnation changed during the handshake.
func (n *Network) admit(conn net.Conn, s *session) bool {
	sockopt.SetUserTimeout(conn, tcpUserTimeout)
	if !n.track(conn, s.peer.Router) {
		return false
	}
	return s.self == n.self() && !n.isBlocked(s.peer.Router)
}

// countHandshake adds the bytes of a handshake to the statistics.
func (n *Network) countHandshake(h *handshaker) {
	n.counters.in[peer.ClassLink].add(1, h.bytesIn)
	n.counters.out[peer.ClassLink].add(1, h.bytesOut)
}

// logHandshake counts and logs a failed handshake.
func (n *Network) logHandshake(address string, err error) {
	if n.ctx.Err() != nil {
		return
	}
	var refused *RefusedError
	if !errors.As(err, &refused) {
		n.opts.Logger.Info("peerlink: handshake failed", zap.String("address", address), zap.Error(err))
		return
	}
	n.counters.refused.Add(1)
	n.opts.Logger.Warn("peerlink: connection refused", zap.String("address", address),
		zap.String("peer", string(refused.Peer)), zap.Stringer("reason", refused.Reason), zap.Bool("by_peer", refused.ByPeer))
}

// dial connects to a peer and performs the handshake. It registers the connection, which the caller must close with
// closeConn.
func (n *Network) dial(ctx context.Context, to ident.RouterID, kind connKind) (net.Conn, *session, error) {
	if n.isBlocked(to) {
		return nil, nil, ErrBlocked
	}
	address, ok := n.opts.Resolve(to)
	if !ok {
		return nil, nil, ErrUnresolved
	}
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, nil, errors.Wrap(err, "peerlink: dial")
	}
	if !n.track(conn, to) {
		_ = conn.Close()
		return nil, nil, ErrClosed
	}
	h := &handshaker{key: n.opts.Key, self: n.self(), conn: conn}
	s, err := withDeadline(conn, func() (*session, error) { return h.dial(to, kind) })
	n.countHandshake(h)
	if err == nil && !n.admit(conn, s) {
		err = ErrBlocked
	}
	if err != nil {
		n.logHandshake(address, err)
		n.closeConn(conn)
		return nil, nil, err
	}
	return conn, s, nil
}
