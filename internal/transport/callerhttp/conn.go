package callerhttp

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"

	"gooseberrytide.example/gooseberrytide/internal/transport/sockopt"
)

// callerConn is the connection of a caller. Closing it resets it unless all responses on it are complete, so that a caller
// whose response ends with the connection cannot take a part for the whole.
type callerConn struct {
	net.Conn
	// incomplete is set while a response is not complete that looks complete if the connection is closed in order.
	incomplete atomic.Bool
	// writeFailed is set once a write has failed.
	writeFailed atomic.Bool
}

// NetConn returns the wrapped connection.
func (c *callerConn) NetConn() net.Conn { return c.Conn }

// Write implements net.Conn.
func (c *callerConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		c.writeFailed.Store(true)
	}
	return n, err
}

func (c *callerConn) isBroken() bool { return c.incomplete.Load() || c.writeFailed.Load() }

// start marks the response as incomplete. Until Close, the system also resets the connection if this process is killed.
func (c *callerConn) start() {
	c.incomplete.Store(true)
	sockopt.SetResetOnClose(c.Conn, true)
}

// CloseWrite closes the sending side, which tells the caller that the response is complete.
func (c *callerConn) CloseWrite() error {
	tcp, ok := sockopt.As[*net.TCPConn](c.Conn)
	if !ok || c.isBroken() {
		return nil
	}
	return tcp.CloseWrite()
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	sockopt.SetResetOnClose(c.Conn, c.isBroken())
	return c.Conn.Close()
}

// callerListener is a listener whose connections are of type *callerConn.
type callerListener struct{ net.Listener }

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: conn}, nil
}

type connKey struct{}

// withConn implements http.Server.ConnContext.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// markIncomplete wraps a handler. While the handler runs, and if it panics, the response to a caller of HTTP/1.0 is marked as
// incomplete: it has no chunks, so it may end with the connection.
func markIncomplete(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, ok := r.Context().Value(connKey{}).(*callerConn)
		if !ok || r.ProtoAtLeast(1, 1) {
			next.ServeHTTP(w, r)
			return
		}
		conn.start()
		next.ServeHTTP(w, r)
		conn.incomplete.Store(false)
	})
}
