package gateway

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"gooseberrytide.example/gooseberrytide/internal/state/logfield"
	"gooseberrytide.example/gooseberrytide/internal/transport/clientconn"
	"gooseberrytide.example/gooseberrytide/internal/transport/gateway"
	"gooseberrytide.example/gooseberrytide/internal/transport/relayhttp"
	"gooseberrytide.example/gooseberrytide/internal/transport/sockopt"
)

// Timeouts of the listeners. The connections of clients have shorter ones, which follow the operators' limits.
const (
	maxHeaderTimeout = time.Minute
	maxIdleTimeout   = 10 * time.Minute
	// bodyTimeout bounds the time to read a request of the ports on which requests have no bodies, and responseTimeout the
	// time until the client has read the response.
	bodyTimeout     = 10 * time.Second
	responseTimeout = 10 * time.Second
	// idleTimeout is how long idle connections to the store are kept.
	idleTimeout = 90 * time.Second
)

// Names of listeners. Those of the connections that were inspected for lack of processor time have their own name.
const (
	callersListener   = "callers"
	inspectedListener = "inspected callers"
	metricsListener   = "metrics"
	relayListener     = "relay"
	offloadListener   = "offload"
)

// server is a listener with its handler.
type server struct {
	name     string
	listener net.Listener
	http     *http.Server
}

func (s *server) run() error {
	err := s.http.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return errors.Wrap(err, s.name)
}

// listen opens the listeners whose address is set. A metrics listener that cannot be opened is logged and left out; any
// other error is returned.
func (n *Node) listen(ctx context.Context) ([]*server, error) {
	directory := &gateway.Directory{
		Addresses: n.addresses,
		Lifetime:  n.addressLifetime(),
		Log:       n.log.Named("directory"),
	}
	endpoints := []struct {
		name, address string
		handler       http.Handler
	}{
		{callersListener, n.settings.CallerListen, n.gateway},
		{"readiness", n.settings.ReadinessListen, &gateway.Readiness{Ready: n.ready}},
		{"directory", n.settings.DirectoryListen, directory},
		{metricsListener, n.peerAddress(metricsPortOffset), n.operatorHandler()},
		{relayListener, n.peerAddress(0), &relayhttp.Handler{Relayer: n.follower}},
		{offloadListener, n.peerAddress(offloadPortOffset), n.offload.handler()},
	}
	var servers []*server
	for _, e := range endpoints {
		if e.address == "" {
			continue
		}
		opened, err := n.open(ctx, e.name, e.address, e.handler)
		if err != nil && e.name == metricsListener {
			n.log.Error("metrics not served", logfield.Error(err)) // requests are served nevertheless
			continue
		}
		if err != nil {
			return nil, errors.Wrapf(err, "listen for %s", e.name)
		}
		servers = append(servers, opened...)
	}
	return servers, nil
}

// open opens a listener. The callers' listener is one for direct and one for inspected connections.
func (n *Node) open(ctx context.Context, name, address string, h http.Handler) ([]*server, error) {
	if name != callersListener {
		listener, err := sockopt.Listen(ctx, address)
		if err != nil {
			return nil, err
		}
		return []*server{n.newServer(name, n.trackerOf(name).Listener(listener), h)}, nil
	}
	direct, inspected, err := n.offload.inspector.Listen(func() (*sockopt.PlainListener, error) {
		return sockopt.ListenPlain(ctx, address)
	})
	if err != nil {
		return nil, err
	}
	return []*server{n.newServer(name, direct, h), n.newServer(inspectedListener, inspected, h)}, nil
}

// trackerOf returns the tracker of the connections of a listener other than the callers'.
func (n *Node) trackerOf(name string) *clientconn.Tracker {
	if name == offloadListener {
		return n.clients.passed
	}
	return n.clients.internal
}

func (n *Node) newServer(name string, l net.Listener, h http.Handler) *server {
	s := &http.Server{
		Handler:           clientconn.MarkIncomplete(h),
		BaseContext:       func(net.Listener) context.Context { return n.serving },
		ConnContext:       clientconn.Context,
		ConnState:         clientconn.OnState,
		ReadHeaderTimeout: maxHeaderTimeout,
		IdleTimeout:       maxIdleTimeout,
		ErrorLog:          zap.NewStdLog(n.log.Named("http")),
	}
	switch name {
	case callersListener, inspectedListener, offloadListener:
	case relayListener:
		s.WriteTimeout = responseTimeout // it is longer than the wait for changes
	default:
		s.ReadTimeout, s.WriteTimeout = bodyTimeout, responseTimeout
	}
	return &server{name: name, listener: l, http: s}
}

// peerAddress returns the address for other routers whose port is offset above the first internal port.
func (n *Node) peerAddress(offset int) string {
	return net.JoinHostPort(n.settings.IP.String(), strconv.Itoa(n.settings.PeerPort+offset))
}
