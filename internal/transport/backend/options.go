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
	// pooledIdleTimeout is below the keep-alive time of common servers (60 s and more), so that a pooled connection
	// is rarely closed by the server at the moment of its use.
	pooledIdleTimeout = 20 * time.Second
	// maxIdlePerHost keeps one pooled connection for each request that an engine usually runs at once.
	maxIdlePerHost = 16
)

// Options configure a Client. A zero field means its default.
type Options struct {
	// Dial opens a connection. Default: TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// DialTimeout bounds the opening of a connection. Default 2 s.
	DialTimeout time.Duration
	// IdleTimeout bounds the time without a byte while a stream is read. Default 10 s.
	IdleTimeout time.Duration
	// ControlTimeout bounds a cancellation, an order and a read of an engine's state. Default 2 s.
	ControlTimeout time.Duration
	// ReconnectMin and ReconnectMax bound the pause before an event stream is opened again. Default 200 ms and 5 s.
	ReconnectMin, ReconnectMax time.Duration
	// ResyncInterval is the shortest time between two reconnections because of lost cache events. Default 5 s.
	ResyncInterval time.Duration
	// MaxHeaderBytes bounds the header of an answer. Default 64 KiB.
	MaxHeaderBytes int64
	// MaxResponseBytes bounds the body of a call's answer when the call names no bound. Default 8 MiB.
	MaxResponseBytes int64
	// MaxEventBytes and MaxStreamBytes bound a completion stream. Defaults as in protocol/engine.
	MaxEventBytes  int
	MaxStreamBytes int64
	// Logger gets connection problems of event streams. Default: none.
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
