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

// Times and limits of links.
const (
	// MinKey is the least length of the shared key in bytes.
	MinKey = 16
	// DefaultIdleTimeout closes links that carry nothing. Failure detection at 400 members uses most links more often.
	DefaultIdleTimeout = 60 * time.Second

	// batchDelay is the longest time a message waits for others to share its frame.
	batchDelay = time.Millisecond
	// queueLimit bounds the messages that wait for one peer.
	queueLimit = 4096
	// handshakeTimeout bounds dialing and the handshake.
	handshakeTimeout = 2 * time.Second
	// writeTimeout bounds a blocked write; the link is closed then.
	writeTimeout = 5 * time.Second
	// userTimeout bounds unacknowledged data, so that a silent peer does not swallow messages for minutes.
	userTimeout = 5 * time.Second
	// backoffFirst and backoffMax bound the time between dials. The latter is below the detection time of members.
	backoffFirst = 50 * time.Millisecond
	backoffMax   = time.Second
	// maxHandshakes bounds the accepted connections that are not yet authenticated.
	maxHandshakes = 64
	// maxCalls bounds the calls of one connection that run at once.
	maxCalls = 16
)

// Method serves a JSON-RPC method. The peer is authenticated. A *jsonrpc2.Error is passed to the caller as it is.
type Method func(ctx context.Context, from peer.Endpoint, params json.RawMessage) (any, error)

// Options configure a Network.
type Options struct {
	Self        ident.RouterID
	Incarnation ident.Incarnation
	// Listen is the address of the listener, such as "127.0.0.1:0".
	Listen string
	// Key is the shared key of the fleet, at least MinKey bytes.
	Key []byte
	// Resolve returns a peer's address, and false if there is none.
	Resolve func(id ident.RouterID) (string, bool)
	// Known reports whether a router may connect. Nil lets in every router that proves the shared key, so that a VM list
	// that lags shuts nobody out.
	Known func(id ident.RouterID) bool
	// OnMessage handles a message from an authenticated peer. Calls for one link come in order; it must not block.
	OnMessage func(from peer.Endpoint, e peer.Envelope)
	// OnLink reports that the first link to a process is up, or the last one is down. Calls come in order.
	OnLink func(id ident.RouterID, incarnation ident.Incarnation, up bool)
	// Methods are the JSON-RPC methods by name.
	Methods map[string]Method
	Logger  *zap.Logger
	// Clock stamps frames, so that events on different routers can be put into causal order. Nil sends no stamps.
	Clock Clock
	// Filter cuts links in tests: nothing is exchanged with a peer for which it returns false.
	Filter func(to ident.RouterID) bool
	// IdleTimeout closes links that carry nothing. 0 means DefaultIdleTimeout.
	IdleTimeout time.Duration
}

// Clock is a logical clock. *timeline.Ring implements it.
type Clock interface {
	// Stamp returns a new stamp for an outgoing frame.
	Stamp() timeline.Stamp
	// Observe takes in the stamp of a received frame, before its messages are handled.
	Observe(s timeline.Stamp)
}

// complete checks the options and fills in defaults.
func (o *Options) complete() error {
	if o.Self == "" {
		return errors.New("peerlink: no router name")
	}
	if len(o.Key) < MinKey {
		return errors.Errorf("peerlink: the shared key has %d bytes, fewer than %d", len(o.Key), MinKey)
	}
	if o.Resolve == nil {
		o.Resolve = func(ident.RouterID) (string, bool) { return "", false }
	}
	if o.Known == nil {
		o.Known = func(ident.RouterID) bool { return true }
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
	o.Logger = limitRate(o.Logger.Named("peerlink"))
	return nil
}

// limitRate keeps a peer that connects in a loop from filling the log: 5 equal lines a second, then each 100th.
func limitRate(l *zap.Logger) *zap.Logger {
	return l.WithOptions(zap.WrapCore(func(core zapcore.Core) zapcore.Core {
		return zapcore.NewSamplerWithOptions(core, time.Second, 5, 100)
	}))
}
