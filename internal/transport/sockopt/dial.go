package sockopt

import (
	"context"
	"net"
	"time"
)

// Settings that determine when a connection to an unresponsive peer is considered broken.
const (
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	// keepAliveCount is the number of missed probes. The user timeout ends an idle connection after the first one, too.
	keepAliveCount = 3
	// watchedKeepAliveCount is that of a connection without a user timeout.
	watchedKeepAliveCount = 1
	// userTimeout is the time in which a peer must acknowledge data or a probe.
	userTimeout = 3 * time.Second
)

// keepAlive returns the keep-alive configuration with a number of missed probes.
func keepAlive(count int) net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: count}
}

// DialFunc returns a function that opens TCP connections which are closed when their peer stops responding. The timeout
// bounds the time to open a connection.
func DialFunc(timeout time.Duration) func(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout, KeepAlive: -1}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		c := newConn(conn)
		Apply(c)
		return c, nil
	}
}

// Listener is a listener that sets the options on accepted connections.
type Listener struct {
	*PlainListener
}

// Listen opens a TCP listener whose connections are closed when their peer stops responding.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	plain, err := ListenPlain(ctx, address)
	if err != nil {
		return nil, err
	}
	return &Listener{PlainListener: plain}, nil
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	conn, err := l.PlainListener.Accept()
	if err != nil {
		return nil, err
	}
	Apply(conn)
	return conn, nil
}

// PlainListener is a listener that sets no options on accepted connections. Each option takes a system call, which a
// connection that is closed at once does not need.
type PlainListener struct {
	net.Listener
}

// Accept implements net.Listener.
func (l *PlainListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newConn(conn), nil
}

// ListenPlain opens a TCP listener. Apply sets the options on those of its connections that last.
func ListenPlain(ctx context.Context, address string) (*PlainListener, error) {
	config := net.ListenConfig{KeepAlive: -1}
	listener, err := config.Listen(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	return &PlainListener{Listener: listener}, nil
}

// Apply makes sure that a connection whose peer stops responding is closed. Errors are ignored: they occur only if the
// connection is closed already.
func Apply(conn net.Conn) {
	tcp, ok := As[*net.TCPConn](conn)
	switch p := peerOf(conn); {
	case !ok:
	case p != nil && p.startWatch():
		_ = tcp.SetKeepAliveConfig(keepAlive(watchedKeepAliveCount))
	default:
		_ = tcp.SetKeepAliveConfig(keepAlive(keepAliveCount))
		SetUserTimeout(conn, userTimeout)
	}
}
