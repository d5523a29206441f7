package backend

import (
	"context"
	"net"
	"time"

	"go.uber.org/zap"
)

// Defaults of Options.
const (
	defaultDialTimeout      = 2 * time.Second
	defaultIdleTimeout      = 10 * time.Second
	defaultControlTimeout   = 2 * time.Second
	defaultReconnectMin     = 200 * time.Millisecond
	defaultReconnectMax     = 5 * time.Second
	defaultResyncInterval   = 5 * time.Second
	defaultMaxHeaderBytes   = 64 << 10
	defaultMaxResponseBytes = 8 << 20
	// pooledIdleTimeout is shorter than the keep-alive timeout of common servers (60 s and more), so that a server
	// rarely closes a pooled connection at the moment when it is used.
	pooledIdleTimeout = 20 * time.Second
	// maxIdleConnsPerHost is the number of requests that an engine usually runs concurrently.
	maxIdleConnsPerHost = 16
)

// Options configure a Client. The zero value of a field selects its default.
type Options struct {
	// Dial opens a connection. Default: TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// DialTimeout is the maximum time to open a connection. Default 2 s.
	DialTimeout time.Duration
	// IdleTimeout is the maximum time without received data while a stream is read. Default 10 s.
	IdleTimeout time.Duration
	// ControlTimeout is the maximum duration of a cancellation, an order or a read of an engine's state. Default 2 s.
	ControlTimeout time.Duration
	// ReconnectMin and ReconnectMax are the smallest and the largest backoff before an event stream is opened again.
	// Defaults 200 ms and 5 s.
	ReconnectMin, ReconnectMax time.Duration
	// ResyncInterval is the minimum time from a full cache snapshot to a reconnection because of lost cache events.
	// Default 5 s.
	ResyncInterval time.Duration
	// MaxHeaderBytes is the maximum size of a response header. Default 64 KiB.
	MaxHeaderBytes int64
	// MaxResponseBytes is the maximum size of a call's response body if the call sets no limit. Default 8 MiB.
	MaxResponseBytes int64
	// MaxEventBytes and MaxStreamBytes limit a completion stream. Their defaults are those of protocol/engine.
	MaxEventBytes  int
	MaxStreamBytes int64
	// Logger receives the connection errors of event streams. Default: no log.
	Logger *zap.Logger
}

func (o Options) withDefaults() Options {
	setDefault(&o.DialTimeout, defaultDialTimeout)
	setDefault(&o.IdleTimeout, defaultIdleTimeout)
	setDefault(&o.ControlTimeout, defaultControlTimeout)
	setDefault(&o.ReconnectMin, defaultReconnectMin)
	setDefault(&o.ReconnectMax, defaultReconnectMax)
	setDefault(&o.ResyncInterval, defaultResyncInterval)
	setDefault(&o.MaxHeaderBytes, defaultMaxHeaderBytes)
	setDefault(&o.MaxResponseBytes, defaultMaxResponseBytes)
	if o.Dial == nil {
		o.Dial = (&net.Dialer{}).DialContext
	}
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	return o
}

func setDefault[T time.Duration | int64](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}
