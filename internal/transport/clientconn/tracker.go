package clientconn

import (
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"gooseberrytide.example/gooseberrytide/internal/coordination/memory"
	"gooseberrytide.example/gooseberrytide/internal/state/routing"
	"gooseberrytide.example/gooseberrytide/internal/transport/sockopt"
)

// Reason is a limit for which a connection is ended.
type Reason string

// Reasons for which a connection is ended.
const (
	// HeaderBytes means that a header exceeds the limit, HeaderTime that it did not arrive in time.
	HeaderBytes Reason = "header-bytes"
	HeaderTime  Reason = "header-time"
	// HeaderMemory means that there is no memory for a header.
	HeaderMemory Reason = "header-memory"
	// SilentTime means that a new connection sent nothing in time, SilentCount that there are too many of these.
	SilentTime  Reason = "silent-time"
	SilentCount Reason = "silent-count"
	// ConnectionMemory means that there is no memory for a connection that carries no request.
	ConnectionMemory Reason = "connection-memory"
	// ResponseMemory means that there is no memory for a response that is not read, ResponseTime that the client reads
	// nothing of it.
	ResponseMemory Reason = "response-memory"
	ResponseTime   Reason = "response-time"
)

// logPeriod is the shortest time between two log lines of one reason.
const logPeriod = 10 * time.Second

// Options holds the settings of a Tracker. All fields are required, except where a zero value has a meaning.
type Options struct {
	// Limits returns the operators' limits in force.
	Limits func() routing.Limits
	// Account is charged for the connections. It may be nil.
	Account *memory.Account
	// MaxSilent bounds the connections that have sent nothing, MaxSilentPerAddress those of one address. 0 means no bound.
	MaxSilent, MaxSilentPerAddress int
	// WaitForClients makes writes wait until the client has read. Otherwise the rest of a response is kept in memory.
	WaitForClients bool
	// Record counts a connection that was ended.
	Record func(Reason)
	Log    *zap.Logger
}

// Tracker holds the connections of one or several ports. It is safe for concurrent use.
type Tracker struct {
	opts Options
	// unread is the number of connections with a part of a response that the client has not read.
	unread atomic.Int64

	mu     sync.Mutex
	conns  map[*Conn]struct{}
	silent silentList
	// logged is when a line was logged for a reason last, suppressed how many were not since.
	logged     map[Reason]time.Time
	suppressed map[Reason]int
}

// NewTracker returns a tracker without connections.
func NewTracker(opts Options) *Tracker {
	return &Tracker{
		opts: opts, conns: make(map[*Conn]struct{}), silent: newSilentList(),
		logged: make(map[Reason]time.Time), suppressed: make(map[Reason]int),
	}
}

// Unread returns the number of connections with a response that has been written and not been sent completely.
func (t *Tracker) Unread() int { return int(t.unread.Load()) }

// Unsent returns the number of connections with a response of which the system has not sent all, since the client does not
// read. It takes a system call for each connection.
func (t *Tracker) Unsent() int {
	t.mu.Lock()
	conns := slices.Collect(maps.Keys(t.conns))
	t.mu.Unlock()
	count := 0
	for _, c := range conns {
		if sockopt.Unsent(c.Conn) > 0 {
			count++
		}
	}
	return count
}

// Track returns a connection with the limits, or nil if there is no memory for it. It then has been closed.
func (t *Tracker) Track(conn net.Conn) net.Conn {
	if c := t.track(conn); c != nil {
		return c
	}
	return nil
}

func (t *Tracker) track(conn net.Conn) *Conn {
	c := &Conn{Conn: conn, tracker: t, address: addressOf(conn), acceptedAt: time.Now()}
	if !t.opts.WaitForClients {
		c.writer = sockopt.NewWriter(conn)
	}
	holder, ok := t.opts.Account.Open("address "+c.address, connectionBytes, c.endForMemory)
	if !ok {
		_ = conn.Close()
		t.record(ConnectionMemory, c.address)
		return nil
	}
	c.holder = holder
	t.mu.Lock()
	t.conns[c] = struct{}{}
	victim := t.silent.add(c, t.opts.MaxSilent, t.opts.MaxSilentPerAddress)
	t.mu.Unlock()
	holder.SetIdle() // it may be ended from now on
	if victim != nil {
		victim.endSilent()
	}
	return c
}

// Listener returns a listener whose connections are tracked.
func (t *Tracker) Listener(l net.Listener) net.Listener { return &listener{Listener: l, tracker: t} }

type listener struct {
	net.Listener
	tracker *Tracker
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.tracker.track(conn); c != nil {
			return c, nil
		}
	}
}

// remove removes a connection that is closed.
func (t *Tracker) remove(c *Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.conns, c)
	t.silent.remove(c)
}

// removeSilent removes a connection from those that have sent nothing.
func (t *Tracker) removeSilent(c *Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.silent.remove(c)
}

// record counts and logs a connection that was ended.
func (t *Tracker) record(reason Reason, address string) {
	t.opts.Record(reason)
	now := time.Now()
	t.mu.Lock()
	log := now.Sub(t.logged[reason]) >= logPeriod
	suppressed := t.suppressed[reason]
	if log {
		t.logged[reason], t.suppressed[reason] = now, 0
	} else {
		t.suppressed[reason]++
	}
	t.mu.Unlock()
	if log {
		t.opts.Log.Warn("client connection ended", zap.String("reason", string(reason)), zap.String("address", address),
			zap.Int("not_logged", suppressed))
	}
}

// addressOf returns the address of a connection's client, without its port.
func addressOf(conn net.Conn) string {
	if tcp, ok := conn.RemoteAddr().(*net.TCPAddr); ok {
		return tcp.IP.String()
	}
	return conn.RemoteAddr().String()
}
