package platformengine

import (
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// PortMode is what connections to a Host show while its engine is down.
type PortMode uint8

const (
	// PortClosed means that all connections are closed at the crash, and that new ones are refused.
	PortClosed PortMode = iota
	// PortDropping means that new ones are accepted and closed at once, as by a supervisor or a forwarder.
	PortDropping
	// PortResetting means that new ones are accepted and reset at once.
	PortResetting
	// PortSilent means that new ones are accepted and get nothing until the engine is back.
	PortSilent
	// PortDark means that new ones, and those that were open at the crash, get nothing until the engine is back. The latter
	// are closed then.
	PortDark
)

var portModeNames = [...]string{"closed", "dropping", "resetting", "silent", "dark"}

// String returns the mode's name for the names of tests.
func (m PortMode) String() string { return portModeNames[m] }

// Host serves an Engine at one address and can end it like a process that crashes. The engine starts again after a while.
type Host struct {
	engine  *Engine
	address string
	// onStart is called after each restart with the start time in milliseconds since the Unix epoch.
	onStart func(startedAt int64)

	// Port is what connections show while the engine is down. It is set before the first crash.
	Port PortMode
	// DownTime is how long the engine is down after a crash.
	DownTime time.Duration
	gate     gate

	mu       sync.Mutex
	listener net.Listener
	// server is nil while the engine is down; conns takes its connections.
	server *http.Server
	conns  *connListener
	// held are connections that wait for the engine's return.
	held    []net.Conn
	crashes []time.Time
	closed  bool
}

// connListener is a net.Listener whose connections are handed to it.
type connListener struct {
	address net.Addr
	conns   chan net.Conn
	once    sync.Once
	done    chan struct{}
}

func newConnListener(address net.Addr) *connListener {
	return &connListener{address: address, conns: make(chan net.Conn), done: make(chan struct{})}
}

// hand passes a connection to Accept, or closes it if the listener is closed.
func (l *connListener) hand(c net.Conn) {
	select {
	case l.conns <- c:
	case <-l.done:
		_ = c.Close()
	}
}

// Accept implements net.Listener.
func (l *connListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *connListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

// Addr implements net.Listener.
func (l *connListener) Addr() net.Addr { return l.address }

// StartHost serves an engine at a free loopback port. After a crash it is down for downTime. onStart may be nil.
func StartHost(engine *Engine, downTime time.Duration, onStart func(startedAt int64)) (*Host, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "platformengine: listen")
	}
	h := &Host{
		engine: engine, address: listener.Addr().String(), DownTime: downTime, onStart: onStart, listener: listener,
	}
	h.serve()
	go h.acceptLoop(listener)
	return h, nil
}

// Engine returns the engine.
func (h *Host) Engine() *Engine { return h.engine }

// Address returns the IP address and port.
func (h *Host) Address() string { return h.address }

// Crashes returns how often the engine has crashed.
func (h *Host) Crashes() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.crashes)
}

// CrashTimes returns when the engine has crashed.
func (h *Host) CrashTimes() []time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.crashes)
}

// LastCrash returns the time of the last crash, or the zero time.
func (h *Host) LastCrash() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.crashes) == 0 {
		return time.Time{}
	}
	return h.crashes[len(h.crashes)-1]
}

// serve serves the connections of the port. The host must not be serving others.
func (h *Host) serve() {
	h.conns = newConnListener(h.listener.Addr())
	h.server = &http.Server{Handler: h.engine}
	server, conns := h.server, h.conns
	go func() { _ = server.Serve(conns) }()
}

// acceptLoop accepts the connections of a port until it is closed.
func (h *Host) acceptLoop(listener net.Listener) {
	for {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		h.mu.Lock()
		conns, down := h.conns, h.server == nil || h.gate.closed()
		if down {
			h.acceptWhileDown(c)
		}
		h.mu.Unlock()
		if !down {
			conns.hand(&gatedConn{Conn: c, gate: &h.gate})
		}
	}
}

// acceptWhileDown handles a new connection while the engine is down. The host must be locked.
func (h *Host) acceptWhileDown(c net.Conn) {
	switch h.Port {
	case PortSilent, PortDark:
		h.held = append(h.held, c)
		return
	case PortResetting:
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	_ = c.Close()
}

// Crash ends the engine. Requests that arrive together crash it once.
func (h *Host) Crash() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.server == nil || h.gate.closed() {
		return
	}
	switch h.Port {
	case PortClosed:
		_ = h.listener.Close()
		h.stopServer()
	case PortDark:
		h.gate.close()
	default:
		h.stopServer()
	}
	h.crashes = append(h.crashes, time.Now())
	time.AfterFunc(h.DownTime, h.restart)
}

// Interrupt lets all connections get nothing for a time, like a link that fails. The engine goes on.
func (h *Host) Interrupt(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.server == nil || h.gate.closed() {
		return
	}
	h.Port = PortDark
	h.gate.close()
	time.AfterFunc(d, func() {
		h.gate.open(false)
		h.mu.Lock()
		defer h.mu.Unlock()
		h.serveHeld()
	})
}

// stopServer closes all connections. The host must be locked.
func (h *Host) stopServer() {
	_ = h.server.Close()
	h.server = nil
}

// serveHeld serves the connections that have waited. The host must be locked.
func (h *Host) serveHeld() {
	conns, held := h.conns, h.held
	h.held = nil
	go func() {
		for _, c := range held {
			conns.hand(&gatedConn{Conn: c, gate: &h.gate})
		}
	}()
}

// restart serves again at the same address. The port may be in use by an outgoing connection for a moment.
func (h *Host) restart() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return
	}
	if h.Port == PortDark {
		h.gate.open(true)
		h.stopServer()
	}
	if h.Port == PortClosed {
		listener, err := net.Listen("tcp4", h.address)
		if err != nil {
			time.AfterFunc(h.DownTime, h.restart)
			return
		}
		h.listener = listener
		go h.acceptLoop(listener)
	}
	h.engine.Restart()
	h.serve()
	h.serveHeld()
	if h.onStart != nil {
		h.onStart(time.Now().UnixMilli())
	}
}

// Close stops serving for good.
func (h *Host) Close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closed = true
	h.gate.open(true)
	_ = h.listener.Close()
	for _, c := range h.held {
		_ = c.Close()
	}
	if h.server != nil {
		_ = h.server.Close()
		h.server = nil
	}
}
