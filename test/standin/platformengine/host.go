package platformengine

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Host serves an Engine at one address and can end it like a process that crashes: the port and all connections are
// closed at once, and the engine starts again after a while.
type Host struct {
	engine   *Engine
	address  string
	downTime time.Duration
	// onStart is called after each restart with the start time in milliseconds since the Unix epoch.
	onStart func(startedAt int64)

	// KeepPort makes the port stay open while the engine is down: connections are accepted and closed at once, as by a
	// supervisor or a forwarder. It is set before the first crash.
	KeepPort bool

	mu       sync.Mutex
	listener net.Listener
	// server is nil while the engine is down; conns takes its connections.
	server    *http.Server
	conns     *connListener
	crashes   int
	lastCrash time.Time
	closed    bool
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
		engine: engine, address: listener.Addr().String(), downTime: downTime, onStart: onStart, listener: listener,
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
	return h.crashes
}

// LastCrash returns the time of the last crash, or the zero time.
func (h *Host) LastCrash() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lastCrash
}

// serve serves the connections of the port. The host must not be serving others.
func (h *Host) serve() {
	h.conns = newConnListener(h.listener.Addr())
	h.server = &http.Server{Handler: h.engine}
	server, conns := h.server, h.conns
	go func() { _ = server.Serve(conns) }()
}

// acceptLoop accepts the connections of a port until it is closed. While the engine is down they are closed at once.
func (h *Host) acceptLoop(listener net.Listener) {
	for {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		h.mu.Lock()
		conns, down := h.conns, h.server == nil
		h.mu.Unlock()
		if down {
			_ = c.Close()
			continue
		}
		conns.hand(c)
	}
}

// Crash closes the port, unless KeepPort is set, and all connections. Requests that arrive together crash the engine once.
func (h *Host) Crash() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.server == nil {
		return
	}
	if !h.KeepPort {
		_ = h.listener.Close()
	}
	_ = h.server.Close()
	h.server = nil
	h.crashes++
	h.lastCrash = time.Now()
	time.AfterFunc(h.downTime, h.restart)
}

// restart serves again at the same address. The port may be in use by an outgoing connection for a moment.
func (h *Host) restart() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed || h.server != nil {
		return
	}
	if !h.KeepPort {
		listener, err := net.Listen("tcp4", h.address)
		if err != nil {
			time.AfterFunc(h.downTime, h.restart)
			return
		}
		h.listener = listener
		go h.acceptLoop(listener)
	}
	h.engine.Restart()
	h.serve()
	if h.onStart != nil {
		h.onStart(time.Now().UnixMilli())
	}
}

// Close stops serving for good.
func (h *Host) Close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closed = true
	_ = h.listener.Close()
	if h.server != nil {
		_ = h.server.Close()
		h.server = nil
	}
}
