package clientconn

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"gooseberrytide.example/gooseberrytide/internal/coordination/memory"
	"gooseberrytide.example/gooseberrytide/internal/transport/sockopt"
)

// connectionBytes is the memory of a connection: its goroutine's stack and the two buffers of the HTTP server.
const connectionBytes = 20 << 10

// errEnded reports a connection that was ended for a limit.
var errEnded = errors.New("client connection ended for a limit")

// Conn is a connection of a client. Reads are used by one goroutine at a time, as are writes.
type Conn struct {
	net.Conn
	tracker    *Tracker
	address    string
	acceptedAt time.Time
	holder     *memory.Holder
	// silent is the place among the connections that have sent nothing. The tracker's lock guards it.
	silent *list.Element
	// running is set while a request whose header has been read is in progress.
	running atomic.Bool
	// started is set while a header is being read of which some bytes have arrived.
	started atomic.Bool
	// header is the header that is being read, received is set once anything was read. Only the reading goroutine uses them.
	header   header
	received bool

	mu sync.Mutex
	// ended is set once the connection was ended for a limit, or closed.
	ended bool
	// unread is the part of responses that the client has not read. draining is set while a goroutine sends it.
	unread   blockQueue
	draining bool
	// closing and closingWrite are set if the connection, or its sending side, is to be closed once all has been sent.
	closing, closingWrite bool
	// incomplete is set while a response is not complete that looks complete if the connection is closed in order.
	incomplete bool
	// writeFailed is set once a write has failed.
	writeFailed atomic.Bool
	// resetOnClose is set if the system resets the connection when this process ends.
	resetOnClose bool
	// readUntil is the end of the time that the client has to read the response of its last request.
	readUntil time.Time
	// writeErr is the error of further writes.
	writeErr error
	writer   *sockopt.Writer
}

// NetConn returns the wrapped connection.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// From returns the tracked connection that conn is or wraps, or nil.
func From(conn net.Conn) *Conn {
	c, _ := sockopt.As[*Conn](conn)
	return c
}

type contextKey struct{}

// Context implements http.Server.ConnContext. FromContext returns the connection.
func Context(ctx context.Context, conn net.Conn) context.Context {
	if c := From(conn); c != nil {
		return context.WithValue(ctx, contextKey{}, c)
	}
	return ctx
}

// FromContext returns the tracked connection of a request, or nil.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(contextKey{}).(*Conn)
	return c
}

// OnState implements http.Server.ConnState. It ends the limits of a header when the header has been read, and starts them
// when the next one is expected.
func OnState(conn net.Conn, state http.ConnState) {
	c := From(conn)
	switch {
	case c == nil:
	case state == http.StateActive:
		c.StartRequest()
	case state == http.StateIdle:
		c.endRequest()
	}
}

// StartRequest ends the limits of the header: what is read from now on is not a part of it.
func (c *Conn) StartRequest() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running.Store(true)
	c.setMayEnd()
}

// endRequest starts the limits of the next request's header.
func (c *Conn) endRequest() {
	c.holder.Shrink(c.header.charged)
	c.header = header{}
	c.started.Store(false)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running.Store(false)
	c.setMayEnd()
}

// setMayEnd records whether the connection may be ended for memory: while the client has not read a response, and while no
// request is in progress. The connection must be locked.
func (c *Conn) setMayEnd() {
	if !c.draining && !c.running.Load() {
		c.holder.SetIdle()
		return
	}
	c.holder.SetMayEnd(c.draining)
}

// SetTeam charges the connection to a team. It returns false if the connection has been ended, so that its request must
// not run.
func (c *Conn) SetTeam(team string) bool {
	if c == nil {
		return true
	}
	c.holder.Move(team)
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.ended
}

// Charge charges more memory to the connection until it is closed. It returns false if that is refused.
func (c *Conn) Charge(bytes int64) bool { return c == nil || c.holder.Grow(bytes) }

// endForMemory ends the connection for lack of memory, unless a request is in progress whose response the client reads, or
// a request has arrived. It does not block.
func (c *Conn) endForMemory() bool {
	if !c.mu.TryLock() {
		return false
	}
	defer c.mu.Unlock()
	switch {
	case c.draining && c.writeErr == nil:
		c.failWrites(errEnded)
		c.tracker.record(ResponseMemory, c.address)
	case c.ended, c.running.Load(), !c.started.Load() && sockopt.HasUnread(c.Conn):
		return false
	default:
		c.tracker.record(ConnectionMemory, c.address)
	}
	go c.closeNow()
	c.ended = true
	return true
}

// endWith ends the connection for a limit.
func (c *Conn) endWith(reason Reason) {
	c.mu.Lock()
	c.ended = true
	c.mu.Unlock()
	c.tracker.record(reason, c.address)
	c.closeNow()
}

// endSilent ends the connection because there are too many that have sent nothing, unless something has arrived meanwhile. A
// request that is read later does not run (SetTeam).
func (c *Conn) endSilent() {
	c.mu.Lock()
	if c.ended || c.running.Load() || c.started.Load() || sockopt.HasUnread(c.Conn) {
		c.mu.Unlock()
		return
	}
	c.ended = true
	c.mu.Unlock()
	c.tracker.record(SilentCount, c.address)
	c.closeNow()
}

// closeNow closes the connection and releases its memory. If a response is incomplete, the client sees a reset: one without
// a length would look complete otherwise.
func (c *Conn) closeNow() {
	c.mu.Lock()
	broken, resetOnClose := c.isBroken(), c.resetOnClose
	c.mu.Unlock()
	if broken != resetOnClose {
		sockopt.SetResetOnClose(c.Conn, broken)
	}
	_ = c.Conn.Close()
	c.tracker.remove(c)
	c.holder.Close()
}

// isBroken reports whether a response is incomplete that might look complete. The connection must be locked.
func (c *Conn) isBroken() bool { return c.incomplete || c.writeErr != nil || c.writeFailed.Load() }

// Close implements net.Conn. If the client has not read all, the connection is closed once it has.
func (c *Conn) Close() error {
	c.mu.Lock()
	c.ended = true
	if !c.draining && c.writer != nil && c.writeErr == nil && sockopt.Unsent(c.Conn) > 0 {
		c.startDraining()
	}
	if c.draining {
		c.closing = true
		c.mu.Unlock()
		return nil
	}
	c.mu.Unlock()
	c.closeNow()
	return nil
}

// HasLeft reports whether the client has closed the connection, or its sending side, after a request. The HTTP server notices
// that too, but only when its goroutine gets a processor.
func (c *Conn) HasLeft() bool { return c != nil && sockopt.PeerClosed(c.Conn) }

// SetIncomplete sets whether the client sees a reset when the connection is closed. Once it does, the system also resets the
// connection if this process ends, until Close: the rest of a complete response may not have been sent.
func (c *Conn) SetIncomplete(incomplete bool) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.incomplete = incomplete
	if incomplete {
		c.resetOnClose = true
		sockopt.SetResetOnClose(c.Conn, true)
	}
}

// MarkIncomplete wraps a handler. While the handler runs, and if it panics, the response to a client of HTTP/1.0 is marked as
// incomplete: it has no chunks, so it may end with the connection.
func MarkIncomplete(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ProtoAtLeast(1, 1) {
			next.ServeHTTP(w, r)
			return
		}
		conn := FromContext(r.Context())
		conn.SetIncomplete(true)
		next.ServeHTTP(w, r)
		conn.SetIncomplete(false)
	})
}

// SetReadUntil sets until when the client may take its time to read the response of a request. Later, it must read a part
// of it now and then.
func (c *Conn) SetReadUntil(t time.Time) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readUntil = t
}

// CloseWrite closes the sending side once all has been sent, unless a response is incomplete.
func (c *Conn) CloseWrite() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.isBroken():
		return nil // the end of the sending side would make the response look complete
	case c.draining:
		c.closingWrite = true
		return nil
	}
	return closeWrite(c.Conn)
}

func closeWrite(conn net.Conn) error {
	if tcp, ok := conn.(interface{ CloseWrite() error }); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// isTimeout reports whether an error is that of a deadline.
func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
