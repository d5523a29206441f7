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
	"gooseberrytide.example/gooseberrytide/internal/transport/gateway"
	"gooseberrytide.example/gooseberrytide/internal/transport/relayhttp"
	"gooseberrytide.example/gooseberrytide/internal/transport/sockopt"
)

// Timeouts of the listeners. They are above the operators' limits, which clients respect.
const (
	headerTimeout = 10 * time.Second
	idleTimeout   = 90 * time.Second
)

// metricsListener is the name of the listener for metrics.
const metricsListener = "metrics"

// server is a listener with its handler.
type server struct {
	name     string
	listener net.Listener
	http     *http.Server
}

func (s *server) run() error {
	err := s.http.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
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
		{"callers", n.settings.CallerListen, n.gateway},
		{"readiness", n.settings.ReadinessListen, &gateway.Readiness{Ready: n.ready}},
		{"directory", n.settings.DirectoryListen, directory},
		{metricsListener, n.peerAddress(metricsPortOffset), n.metricsHandler()},
		{"relay", n.peerAddress(0), &relayhttp.Handler{Relayer: n.follower}},
	}
	var servers []*server
	for _, e := range endpoints {
		if e.address == "" {
			continue
		}
		listener, err := sockopt.Listen(ctx, e.address)
		if err != nil && e.name == metricsListener {
			n.log.Error("metrics not served", logfield.Error(err)) // requests are served nevertheless
			continue
		}
		if err != nil {
			return nil, errors.Wrapf(err, "listen for %s", e.name)
		}
		servers = append(servers, &server{name: e.name, listener: listener, http: &http.Server{
			Handler:           e.handler,
			ReadHeaderTimeout: headerTimeout,
			IdleTimeout:       idleTimeout,
			ErrorLog:          zap.NewStdLog(n.log.Named("http")),
		}})
	}
	return servers, nil
}

// peerAddress returns the address for other routers whose port is offset above the first internal port.
func (n *Node) peerAddress(offset int) string {
	return net.JoinHostPort(n.settings.IP.String(), strconv.Itoa(n.settings.PeerPort+offset))
}
