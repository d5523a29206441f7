package upstream

import (
	"context"
	"io"
	"slices"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"gooseberrytide.example/gooseberrytide/internal/state/periodic"
	"gooseberrytide.example/gooseberrytide/internal/transport/sockopt"
)

// closeDelay is the time within which a process that ends has closed all of its connections and its port.
const closeDelay = 5 * time.Millisecond

// closingConnections is the number of new connections in a row that are closed at once after which a port counts as
// closing.
const closingConnections = 3

// PortState is what new connections to a server show.
type PortState uint8

const (
	// PortUnknown means that no connection could be opened before the context ended.
	PortUnknown PortState = iota
	// PortServing means that a connection is open.
	PortServing
	// PortRefusing means that the port is closed.
	PortRefusing
	// PortClosing means that each new connection is accepted and closed at once. Something else than the server may hold the
	// port, or the server may have too many connections.
	PortClosing
)

// Probe returns the state of a server's port after a connection to the server broke. A server to which an idle connection
// is open is serving. A new connection is kept for later requests.
func (p *Pool) Probe(ctx context.Context, key, address string) PortState {
	if !periodic.Sleep(ctx, closeDelay) {
		return PortUnknown
	}
	if p.hasOpen(key) {
		return PortServing
	}
	for range closingConnections {
		c, err := p.open(ctx, key, address)
		switch {
		case errors.Is(err, syscall.ECONNREFUSED):
			return PortRefusing
		case err != nil:
			return PortUnknown
		}
		// The port may have been closed just after it had accepted the connection.
		if !periodic.Sleep(ctx, closeDelay) || sockopt.IsOpen(c.Conn) {
			p.put(c, defaultIdleTimeout)
			return PortServing
		}
		_ = c.Close()
	}
	return PortClosing
}

// hasOpen reports whether an idle connection to a server is open.
func (p *Pool) hasOpen(key string) bool {
	p.mu.Lock()
	list := slices.Clone(p.idle[key])
	p.mu.Unlock()
	return slices.ContainsFunc(list, func(c *conn) bool { return sockopt.IsOpen(c.Conn) })
}

// ConnectionLost reports whether an error means that the server, or something on the way to it, closed the connection.
func ConnectionLost(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) ||
		errors.Is(err, syscall.EPIPE)
}
