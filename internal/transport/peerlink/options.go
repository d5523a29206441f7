package peerlink

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"gooseberrytide.example/gooseberrytide/internal/protocol/peer"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/state/timeline"
)

// Timeouts and limits of connections.
const (
	// MinKeyBytes is the minimum length of the shared key.
	MinKeyBytes = 16
	// DefaultIdleTimeout is the default time after which idle links are closed. With 400 members, failure detection
	// uses most links more often than that.
	DefaultIdleTimeout = 60 * time.Second

	// batchDelay is the maximum time that a message waits for other messages to share its frame.
	batchDelay = time.Millisecond
	// maxQueuedMessages is the maximum number of messages in the queue of one peer.
	maxQueuedMessages = 4096
	// handshakeTimeout is the maximum duration of a handshake, including the dial at the dialing end.
	handshakeTimeout = 2 * time.Second
	// writeTimeout is the maximum duration of a write, after which the connection is closed. It also bounds the time to
	// receive the rest of a frame.
	writeTimeout = 5 * time.Second
	// tcpUserTimeout is the maximum time that sent data may stay unacknowledged before the connection fails. Otherwise
	// messages to a peer that is down would be lost for minutes.
	tcpUserTimeout = 5 * time.Second
	// minDialBackoff and maxDialBackoff are the smallest and the largest delay between dials. The maximum is below the
	// time in which a failed member is detected.
	minDialBackoff = 50 * time.Millisecond
	maxDialBackoff = time.Second
	// maxHandshakes is the maximum number of accepted connections that are not authenticated yet.
	maxHandshakes = 64
	// maxConcurrentCalls is the maximum number of calls of one connection that are served concurrently.
	maxConcurrentCalls = 16
)

// Method serves a JSON-RPC method for an authenticated peer. A *jsonrpc2.Error is sent to the caller unchanged.
type Method func(ctx context.Context, from peer.Endpoint, params json.RawMessage) (any, error)

// Options configure a Network.
type Options struct {
	Self        ident.RouterID
	Incarnation ident.Incarnation
	// Listen is the address of the listener, such as "127.0.0.1:0".
	Listen string
	// Key is the shared key of the fleet, at least MinKeyBytes long.
	Key []byte
	// Resolve returns the address of a peer, and false if it is unknown.
	Resolve func(id ident.RouterID) (string, bool)
	// AllowPeer reports whether the router with a name may connect. Nil allows every router that has the shared key, so
	// that a stale VM list excludes no router.
	AllowPeer func(id ident.RouterID) bool
	// OnMessage handles a message from an authenticated peer. It is called in the order of the messages of one link and
	// must not block.
	OnMessage func(from peer.Endpoint, e peer.Envelope)
	// OnLink is called in order when the first link to a process of a peer is up and when its last link is down.
	OnLink func(id ident.RouterID, incarnation ident.Incarnation, up bool)
	// Methods are the JSON-RPC methods by name.
	Methods map[string]Method
	Logger  *zap.Logger
	// Clock stamps frames, so that events on different routers can be ordered causally. Nil means no stamps.
	Clock Clock
	// Filter blocks peers in tests: nothing is exchanged with a peer for which it returns false.
	Filter func(to ident.RouterID) bool
	// IdleTimeout is the time after which idle links and RPC connections are closed. 0 means DefaultIdleTimeout.
	IdleTimeout time.Duration
}

// Clock is a logical clock. *timeline.Ring implements it.
type Clock interface {
	// Stamp returns a new stamp for an outgoing frame.
	Stamp() timeline.Stamp
	// Observe merges the stamp of a received frame into the clock, before the frame's messages are handled.
	Observe(s timeline.Stamp)
}

// setDefaults validates the options and sets the defaults.
func (o *Options) setDefaults() error {
	if o.Self == "" {
		return errors.New("peerlink: no router name")
	}
	if len(o.Key) < MinKeyBytes {
		return errors.Errorf("peerlink: the shared key has %d bytes, want at least %d", len(o.Key), MinKeyBytes)
	}
	if o.Resolve == nil {
		o.Resolve = func(ident.RouterID) (string, bool) { return "", false }
	}
	if o.AllowPeer == nil {
		o.AllowPeer = func(ident.RouterID) bool { return true }
	}
	if o.OnMessage == nil {
		o.OnMessage = func(peer.Endpoint, peer.Envelope) {}
	}
	if o.OnLink == nil {
		o.OnLink = func(ident.RouterID, ident.Incarnation, bool) {}
	}
	if o.Filter == nil {
		o.Filter = func(ident.RouterID) bool { return true }
	}
	if o.IdleTimeout == 0 {
		o.IdleTimeout = DefaultIdleTimeout
	}
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	o.Logger = limitLogRate(o.Logger.Named("peerlink"))
	return nil
}

// limitLogRate limits equal log lines to 5 a second and then every 100th, so that a peer that connects in a loop does
// not flood the log.
func limitLogRate(l *zap.Logger) *zap.Logger {
	return l.WithOptions(zap.WrapCore(func(core zapcore.Core) zapcore.Core {
		return zapcore.NewSamplerWithOptions(core, time.Second, 5, 100)
	}))
}
