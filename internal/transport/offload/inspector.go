package offload

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/transport/clientconn"
	"gooseberrytide.example/gooseberrytide/internal/transport/sockopt"
)

// Action is what a router does with an inspected connection.
type Action int

const (
	// Serve leaves the connection to this router's HTTP server.
	Serve Action = iota
	// Forward passes the connection on to another router.
	Forward
	// Refuse refuses the request and closes the connection.
	Refuse
	// Drop closes the connection without a response, because the client has left. It is recorded in place of Forward, and
	// is no decision of a policy.
	Drop
)

// Decision is the decision about one connection.
type Decision struct {
	Action Action
	// Target is the address to which a connection is forwarded, Deadline the end of the time for the response if the request
	// has just arrived.
	Target   string
	Deadline time.Time
}

// Policy decides about connections. It must be safe for concurrent use.
type Policy interface {
	// Active reports whether new connections are inspected. If not, this router serves them.
	Active() bool
	// Decide decides by the first request of a connection. The request's body must not be read.
	Decide(r *http.Request) Decision
	// Refuse writes a response with a status of 400 or above and no body.
	Refuse(w http.ResponseWriter, r *http.Request)
	// Fail writes a response with a status of 500 or above and no body, which says that the request may have run.
	Fail(w http.ResponseWriter, r *http.Request)
	// Record is called with the action that was taken.
	Record(a Action)
}

// Options holds the settings of an Inspector. All fields are required.
type Options struct {
	Policy Policy
	// Dial opens a connection to another router.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// HeaderTimeout is the longest time to wait for the first request's header.
	HeaderTimeout time.Duration
	// Track returns a connection with the limits of clients, or nil if it has refused and closed the connection.
	Track func(net.Conn) net.Conn
}

// Inspector inspects new connections while its policy is active.
type Inspector struct {
	opts Options
	// served holds the inspected connections that this router serves.
	served    *queueListener
	port      *portListener
	forwarded atomic.Int64
	// stopping ends the connections to other routers. EndForwarding ends it.
	stopping      context.Context
	endForwarding context.CancelFunc
}

// New returns an inspector.
func New(opts Options) *Inspector {
	i := &Inspector{opts: opts}
	i.stopping, i.endForwarding = context.WithCancel(context.Background())
	return i
}

// EndForwarding ends all forwarded connections. Clients that have received nothing get a response.
func (i *Inspector) EndForwarding() { i.endForwarding() }

// Forwarded returns the number of connections that are being forwarded.
func (i *Inspector) Forwarded() int { return int(i.forwarded.Load()) }

// Listen opens the port with listen, which is called again after each pause. It returns a listener with the connections
// that need no inspection, and one with the inspected connections that this router serves. It must be called once, and
// both listeners must be closed.
func (i *Inspector) Listen(listen func() (*sockopt.PlainListener, error)) (direct, inspected net.Listener, err error) {
	if i.port, err = newPortListener(listen); err != nil {
		return nil, nil, err
	}
	i.served = newQueueListener(i.port.Addr())
	return &directListener{Listener: i.port, inspector: i}, i.served, nil
}

// Pause closes the port for d, so that the system refuses connections at once. It reports whether the port was open.
func (i *Inspector) Pause(d time.Duration) bool { return i.port != nil && i.port.Pause(d) }

// Paused reports whether the port is closed by Pause.
func (i *Inspector) Paused() bool { return i.port != nil && i.port.paused() }

// directListener starts the inspection of connections, or returns them if the policy is not active.
type directListener struct {
	net.Listener
	inspector *Inspector
}

// Accept implements net.Listener.
func (l *directListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if conn = l.inspector.opts.Track(conn); conn == nil {
			continue
		}
		if !l.inspector.opts.Policy.Active() {
			sockopt.Apply(conn)
			return conn, nil
		}
		go l.inspector.inspect(conn)
	}
}

// inspect reads the first request's header and carries out the policy's decision.
func (i *Inspector) inspect(conn net.Conn) {
	buf := buffers.Get().(*buffer)
	defer buffers.Put(buf)
	if conn.SetReadDeadline(time.Now().Add(i.opts.HeaderTimeout)) != nil {
		_ = conn.Close()
		return
	}
	head, complete := readHeader(conn, buf)
	if len(head) == 0 || conn.SetReadDeadline(time.Time{}) != nil {
		_ = conn.Close() // the client closed the connection or sent nothing in time
		return
	}
	r, err := parseRequest(head)
	if !complete || err != nil {
		if !i.serve(conn, head) { // the HTTP server responds to headers that are invalid or too long
			_ = conn.Close()
		}
		return
	}
	r.RemoteAddr = conn.RemoteAddr().String()
	i.carryOut(i.opts.Policy.Decide(r), conn, r, head, buf)
}

// carryOut carries out a decision about a connection. head is what was read from it.
func (i *Inspector) carryOut(decision Decision, conn net.Conn, r *http.Request, head []byte, buf *buffer) {
	bodyBytes := int64(len(head) - headerLength(head))
	switch decision.Action {
	case Serve:
		if !i.serve(conn, head) {
			i.respond(conn, r, buf, bodyBytes, i.opts.Policy.Refuse)
		}
	case Forward:
		decision.Deadline = decision.Deadline.Add(-sockopt.SinceReceived(conn))
		tracked := clientconn.From(conn)
		tracked.StartRequest()
		tracked.SetReadUntil(decision.Deadline)
		if !tracked.Charge(ForwardedBytes) {
			i.refuse(conn, r, buf, bodyBytes)
			return
		}
		i.forwarded.Add(1)
		defer i.forwarded.Add(-1)
		result, read := i.forward(conn, decision, head, buf)
		switch result {
		case forwardUnreachable, forwardLate:
			i.refuse(conn, r, buf, bodyBytes)
		case forwardClientLeft:
			i.opts.Policy.Record(Drop)
			_ = conn.Close()
		case forwardNoResponse:
			i.respond(conn, r, buf, bodyBytes+read, i.opts.Policy.Fail)
		case forwardEnded:
		}
	default:
		i.refuse(conn, r, buf, bodyBytes)
	}
}

// parseRequest parses the header of a request. The body of the result must not be read, since its reader is reused.
func parseRequest(head []byte) (*http.Request, error) {
	reader := readers.Get().(*bufio.Reader)
	defer readers.Put(reader)
	reader.Reset(bytes.NewReader(head))
	return http.ReadRequest(reader)
}

// readers holds readers of headers.
var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, bufferBytes) }}

// serve passes a connection to this router's HTTP server, which reads head first. It returns false if the server has
// been shut down.
func (i *Inspector) serve(conn net.Conn, head []byte) bool {
	i.opts.Policy.Record(Serve)
	sockopt.Apply(conn)
	return i.served.put(&prefixedConn{Conn: conn, prefix: slices.Clone(head)})
}

// headerEnd ends the header of a request.
var headerEnd = []byte("\r\n\r\n")

// headerLength returns the length of a complete header, with which head begins.
func headerLength(head []byte) int { return bytes.Index(head, headerEnd) + len(headerEnd) }

// readHeader reads until the end of the first request's header. It returns the bytes read, which may contain a part of
// the body, and whether the header is complete.
func readHeader(conn net.Conn, buf *buffer) ([]byte, bool) {
	n := 0
	for n < len(buf) {
		read, err := conn.Read(buf[n:])
		searchFrom := max(n-len(headerEnd)+1, 0)
		n += read
		if bytes.Contains(buf[searchFrom:n], headerEnd) {
			return buf[:n], true
		}
		if err != nil {
			return nil, false
		}
	}
	return buf[:n], false
}
