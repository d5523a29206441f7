package platformengine

import (
	"net"
	"sync"
)

// gate holds back what passes the connections of a Host. The zero gate is open.
type gate struct {
	mu sync.Mutex
	// opened is closed when the gate opens. It is nil while the gate is open.
	opened chan struct{}
	// toClose are the connections that were closed while the gate was closed.
	toClose []net.Conn
	// waiting are the connections on which something is held back.
	waiting map[net.Conn]struct{}
}

func (g *gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.opened == nil {
		g.opened = make(chan struct{})
		g.waiting = make(map[net.Conn]struct{})
	}
}

func (g *gate) closed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.opened != nil
}

// open lets through what was held back, or drops it and closes its connections.
func (g *gate) open(drop bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.opened == nil {
		return
	}
	for _, c := range g.toClose {
		_ = c.Close()
	}
	if drop {
		for c := range g.waiting {
			_ = c.Close()
		}
	}
	close(g.opened)
	g.opened, g.toClose, g.waiting = nil, nil, nil
}

// pass waits until the gate is open.
func (g *gate) pass(c net.Conn) {
	g.mu.Lock()
	opened := g.opened
	if opened != nil {
		g.waiting[c] = struct{}{}
	}
	g.mu.Unlock()
	if opened != nil {
		<-opened
	}
}

// closeConn closes a connection once the gate is open.
func (g *gate) closeConn(c net.Conn) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.opened != nil {
		g.toClose = append(g.toClose, c)
		return nil
	}
	return c.Close()
}

// gatedConn is a connection behind a gate.
type gatedConn struct {
	net.Conn
	gate *gate
}

// Read implements net.Conn.
func (c *gatedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.gate.pass(c.Conn)
	return n, err
}

// Write implements net.Conn.
func (c *gatedConn) Write(b []byte) (int, error) {
	c.gate.pass(c.Conn)
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *gatedConn) Close() error { return c.gate.closeConn(c.Conn) }
