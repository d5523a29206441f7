package sockopt

import (
	"context"
	"net"
	"time"
)

// Settings that determine when a connection to an unresponsive peer is considered broken. An idle connection is closed
// after three missed probes, one second apart.
const (
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
	userTimeout       = 3 * time.Second
)

// KeepAlive is the keep-alive configuration of all connections.
var KeepAlive = net.KeepAliveConfig{
	Enable:   true,
	Idle:     keepAliveIdle,
	Interval: keepAliveInterval,
	Count:    keepAliveCount,
}

// DialFunc returns a function that opens TCP connections which are closed when their peer stops responding. The timeout
// bounds the time to open a connection.
func DialFunc(timeout time.Duration) func(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout, KeepAliveConfig: KeepAlive}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		SetUserTimeout(conn, userTimeout)
		return conn, nil
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

// ListenPlain opens a TCP listener. Apply sets the options on those of its connections that last.
func ListenPlain(ctx context.Context, address string) (*PlainListener, error) {
	config := net.ListenConfig{KeepAlive: -1}
	listener, err := config.Listen(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	return &PlainListener{Listener: listener}, nil
}

// tcpConn returns the TCP connection of conn, which may be wrapped: a wrapper has a method NetConn.
func tcpConn(conn net.Conn) (tcp *net.TCPConn, ok bool) {
	for {
		wrapper, wrapped := conn.(interface{ NetConn() net.Conn })
		if !wrapped {
			tcp, ok = conn.(*net.TCPConn)
			return tcp, ok
		}
		conn = wrapper.NetConn()
	}
}

// Apply sets the options that close a connection whose peer stops responding. Errors are ignored: they occur only if the
// connection is closed already.
func Apply(conn net.Conn) {
	if tcp, ok := tcpConn(conn); ok {
		_ = tcp.SetKeepAliveConfig(KeepAlive)
	}
	SetUserTimeout(conn, userTimeout)
}
