package backend

import (
	"net"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/pkg/errors"
)

// errSealed is what a write to a sealed connection returns.
var errSealed = errors.New("connection sealed before the first write")

// States of a trackedConn in respect of the request that uses it.
const (
	connUntouched int32 = iota
	connWritten
	connSealed
)

// trackedConn knows whether a write was begun for the request that uses it. Sealing an untouched connection makes
// every later write fail, so that "nothing was written" stays true after it was reported.
type trackedConn struct {
	net.Conn
	state atomic.Int32
	// cut says that a read found the end or a failure of the connection.
	cut atomic.Bool
}

// Read implements net.Conn.
func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil {
		c.cut.Store(true)
	}
	return n, err
}

// Write implements net.Conn.
func (c *trackedConn) Write(p []byte) (int, error) {
	c.state.CompareAndSwap(connUntouched, connWritten)
	if c.state.Load() == connSealed {
		return 0, errSealed
	}
	return c.Conn.Write(p)
}

// seal reports whether nothing was written for the request, and prevents later writes in that case.
func (c *trackedConn) seal() bool {
	return c.state.CompareAndSwap(connUntouched, connSealed) || c.state.Load() == connSealed
}

// sending follows one request through the transport.
type sending struct {
	conn      atomic.Pointer[trackedConn]
	unknown   atomic.Bool
	firstByte atomic.Bool
}

func (s *sending) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn:              s.gotConn,
		GotFirstResponseByte: func() { s.firstByte.Store(true) },
	}
}

// gotConn runs before the transport writes to the connection. A pooled connection starts anew.
func (s *sending) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*trackedConn)
	if !ok {
		s.unknown.Store(true)
		return
	}
	conn.state.Store(connUntouched)
	s.conn.Store(conn)
}

// nothingWritten reports whether the request is certain to stay unsent. It is called when the transport has given up.
func (s *sending) nothingWritten() bool {
	if s.unknown.Load() {
		return false
	}
	conn := s.conn.Load()
	return conn == nil || conn.seal()
}

// invalidAnswer reports whether the server sent something on a connection that was not lost.
func (s *sending) invalidAnswer() bool {
	conn := s.conn.Load()
	return s.firstByte.Load() && conn != nil && !conn.cut.Load()
}
