package sockopt

import (
	"context"
	"net"
	"time"
)

// Times after which a silent connection is taken as broken. Three missed probes a second apart end an idle one.
const (
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
	userTimeout       = 3 * time.Second
)

// KeepAlive is the configuration of probes on all connections.
var KeepAlive = net.KeepAliveConfig{
	Enable:   true,
	Idle:     keepAliveIdle,
	Interval: keepAliveInterval,
	Count:    keepAliveCount,
}

// Dial returns a function that opens TCP connections which end when their peer falls silent.
func Dial(timeout time.Duration) func(ctx context.Context, network, address string) (net.Conn, error) {
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

// Listener sets the options on accepted connections.
type Listener struct {
	net.Listener
}

// Listen opens a TCP listener whose connections end when their peer falls silent.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: KeepAlive}
	listener, err := config.Listen(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	return &Listener{Listener: listener}, nil
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	SetUserTimeout(conn, userTimeout)
	return conn, nil
}
