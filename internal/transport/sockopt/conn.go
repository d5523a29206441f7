package sockopt

import "net"

// Conn is a TCP connection that stays open while its peer is alive, also if the peer reads slowly.
type Conn struct {
	net.Conn
	peer peer
}

// newConn returns a Conn. Apply starts to watch its peer.
func newConn(conn net.Conn) *Conn {
	c := &Conn{Conn: conn}
	c.peer.conn = conn
	return c
}

// NetConn returns the wrapped connection.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Write implements net.Conn. It may wait for the peer, and the peer may have been checked before the system had the bytes.
func (c *Conn) Write(b []byte) (int, error) {
	c.peer.recordWrite()
	defer c.peer.recordWrite()
	return c.Conn.Write(b)
}

// CloseWrite closes the sending side.
func (c *Conn) CloseWrite() error {
	if tcp, ok := As[*net.TCPConn](c.Conn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// Reset closes a connection with a reset, so that its peer cannot take what it has received for complete.
func Reset(conn net.Conn) {
	SetResetOnClose(conn, true)
	_ = conn.Close()
}

// systemLinger is the argument of SetLinger for a close in order.
const systemLinger = -1

// SetResetOnClose sets whether the system resets a connection that is closed, also at the end of the process.
func SetResetOnClose(conn net.Conn, reset bool) {
	tcp, ok := As[*net.TCPConn](conn)
	if !ok {
		return
	}
	linger := systemLinger
	if reset {
		linger = 0
	}
	_ = tcp.SetLinger(linger) // the only error is that the connection is closed already
}

// As returns the first connection of type T among conn and those that it wraps: a wrapper has a method NetConn.
func As[T net.Conn](conn net.Conn) (found T, ok bool) {
	for conn != nil {
		if found, ok = conn.(T); ok {
			return found, true
		}
		wrapper, wrapped := conn.(interface{ NetConn() net.Conn })
		if !wrapped {
			break
		}
		conn = wrapper.NetConn()
	}
	return found, false
}

// peerOf returns the peer of the Conn that conn is or wraps, or nil.
func peerOf(conn net.Conn) *peer {
	if c, ok := As[*Conn](conn); ok {
		return &c.peer
	}
	return nil
}
