package backend

import (
	"net"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/pkg/errors"
)

// errWritesDisabled is returned by writes after preventWrites has disabled them.
var errWritesDisabled = errors.New("writes were disabled before the first byte of the request")

// States of a trackedConn with respect to the request that uses it.
const (
	connUnwritten int32 = iota
	connWritten
	connWritesDisabled
)

// trackedConn records whether a write was started for the request that uses the connection. preventWrites makes all
// later writes fail if there was none, so that a request reported as not sent stays unsent.
type trackedConn struct {
	net.Conn
	state atomic.Int32
	// readFailed reports that a read returned an error, such as the end of the connection.
	readFailed atomic.Bool
}

// Read implements net.Conn.
func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil {
		c.readFailed.Store(true)
	}
	return n, err
}

// Write implements net.Conn.
func (c *trackedConn) Write(p []byte) (int, error) {
	c.state.CompareAndSwap(connUnwritten, connWritten)
	if c.state.Load() == connWritesDisabled {
		return 0, errWritesDisabled
	}
	return c.Conn.Write(p)
}

// preventWrites reports whether nothing was written for the request. In that case all later writes fail.
func (c *trackedConn) preventWrites() bool {
	return c.state.CompareAndSwap(connUnwritten, connWritesDisabled) || c.state.Load() == connWritesDisabled
}

// sendTracker records what the transport did with one request.
type sendTracker struct {
	// conn is the connection of the request, or nil before the transport has got one.
	conn atomic.Pointer[trackedConn]
	// untracked reports that the connection is not a trackedConn, so that nothing is known about its writes.
	untracked    atomic.Bool
	gotFirstByte atomic.Bool
}

func (s *sendTracker) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn:              s.gotConn,
		GotFirstResponseByte: func() { s.gotFirstByte.Store(true) },
	}
}

// gotConn is called before the transport writes to the connection. It resets the state of a pooled connection.
func (s *sendTracker) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*trackedConn)
	if !ok {
		s.untracked.Store(true)
		return
	}
	conn.state.Store(connUnwritten)
	s.conn.Store(conn)
}

// nothingWritten reports whether it is certain that no byte of the request was or will be written. It is called after
// the transport returned an error.
func (s *sendTracker) nothingWritten() bool {
	if s.untracked.Load() {
		return false
	}
	conn := s.conn.Load()
	return conn == nil || conn.preventWrites()
}

// invalidResponse reports whether the server sent at least one byte and no read from the connection failed.
func (s *sendTracker) invalidResponse() bool {
	return s.gotFirstByte.Load() && s.conn.Load() != nil && !s.readFailed()
}

// readFailed reports whether a read from the connection returned an error, such as its end.
func (s *sendTracker) readFailed() bool {
	conn := s.conn.Load()
	return conn != nil && conn.readFailed.Load()
}
