package offload

import (
	"net"
	"sync"
)

// prefixedConn is a connection of which some bytes were read already. They are returned first.
type prefixedConn struct {
	net.Conn
	prefix []byte
}

// Read implements net.Conn.
func (c *prefixedConn) Read(b []byte) (int, error) {
	if len(c.prefix) == 0 {
		return c.Conn.Read(b)
	}
	n := copy(b, c.prefix)
	c.prefix = c.prefix[n:]
	return n, nil
}

// NetConn returns the wrapped connection.
func (c *prefixedConn) NetConn() net.Conn { return c.Conn }

// queueListener is a net.Listener that returns the connections put into it.
type queueListener struct {
	address net.Addr
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

func newQueueListener(address net.Addr) *queueListener {
	return &queueListener{address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
}

// put waits until the connection is accepted. It returns false if the listener is closed.
func (l *queueListener) put(conn net.Conn) bool {
	select {
	case l.conns <- conn:
		return true
	case <-l.closed:
		return false
	}
}

// Accept implements net.Listener.
func (l *queueListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *queueListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *queueListener) Addr() net.Addr { return l.address }
