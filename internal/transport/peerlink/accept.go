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

// acceptPause spaces attempts after a failed accept, such as for lack of file descriptors.
const acceptPause = 50 * time.Millisecond

// acceptAll accepts connections until the listener closes.
func (n *Network) acceptAll() {
	for {
		conn, err := n.listener.Accept()
		if n.ctx.Err() != nil {
			return
		}
		if err != nil {
			n.opts.Logger.Warn("peerlink: accept failed", zap.Error(err))
			time.Sleep(acceptPause)
			continue
		}
		n.acceptOne(conn)
	}
}

// acceptOne starts the handshake of a connection unless too many are going on.
func (n *Network) acceptOne(conn net.Conn) {
	select {
	case n.handshakes <- struct{}{}:
	default:
		n.counters.refused.Add(1)
		_ = conn.Close()
		return
	}
	if !n.spawn(func() { n.serve(conn) }) {
		_ = conn.Close()
	}
}

// serve handles an accepted connection to its end.
func (n *Network) serve(conn net.Conn) {
	if !n.track(conn, "") {
		<-n.handshakes
		_ = conn.Close()
		return
	}
	defer n.release(conn)
	g := &greeter{key: n.opts.Key, self: n.self(), conn: conn}
	s, err := withDeadline(conn, func() (*session, error) { return g.accept(n.judge) })
	<-n.handshakes
	n.countHandshake(g)
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

// judge decides on the name that a connecting peer claims.
func (n *Network) judge(id ident.RouterID) Reason {
	if n.cut(id) {
		return ReasonBlocked
	}
	if !n.opts.Known(id) {
		return ReasonUnknownPeer
	}
	return 0
}

// admit registers an authenticated connection. It fails when the peer was blocked or the incarnation changed meanwhile.
func (n *Network) admit(conn net.Conn, s *session) bool {
	sockopt.SetUserTimeout(conn, userTimeout)
	if !n.track(conn, s.peer.Router) {
		return false
	}
	return s.self == n.self() && !n.cut(s.peer.Router)
}

// countHandshake counts the bytes of a handshake.
func (n *Network) countHandshake(g *greeter) {
	n.counters.in[peer.ClassLink].add(1, g.in)
	n.counters.out[peer.ClassLink].add(1, g.out)
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

// dial connects to a peer and performs the handshake. The connection is tracked; the caller must release it.
func (n *Network) dial(ctx context.Context, to ident.RouterID, kind linkKind) (net.Conn, *session, error) {
	if n.cut(to) {
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
	g := &greeter{key: n.opts.Key, self: n.self(), conn: conn}
	s, err := withDeadline(conn, func() (*session, error) { return g.dial(to, kind) })
	n.countHandshake(g)
	if err == nil && !n.admit(conn, s) {
		err = ErrBlocked
	}
	if err != nil {
		n.logHandshake(address, err)
		n.release(conn)
		return nil, nil, err
	}
	return conn, s, nil
}
