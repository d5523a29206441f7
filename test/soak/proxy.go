package main

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// proxyMode selects what a proxy does with connections and their data.
type proxyMode int

const (
	proxyForward proxyMode = iota
	// proxySlow delays each chunk of data by proxyDelay.
	proxySlow
	// proxyBlackhole keeps connections open and discards the data of both directions.
	proxyBlackhole
	// proxyDropAnswers forwards requests and discards answers.
	proxyDropAnswers
	// proxyRefuse closes new connections at once.
	proxyRefuse
)

const proxyDelay = 100 * time.Millisecond

// proxy forwards TCP connections to a target, and delays, discards or closes them according to its mode.
type proxy struct {
	target string

	mu sync.Mutex
	// listener is closed while the proxy is down.
	listener net.Listener
	down     bool
	// rejecting is set while all connections are closed at once.
	rejecting bool
	mode      proxyMode
	links     map[*link]bool
	// held is closed when the data of all connections is passed on again. It is nil while nothing is held.
	held chan struct{}
}

// link is a connection to the proxy and its connection to the target.
type link struct {
	client, server net.Conn
	// lastAnswer is when data last arrived from the target, in nanoseconds since the Unix epoch.
	lastAnswer atomic.Int64
	// held is closed when the data of this connection is passed on again. It is nil while nothing is held.
	held chan struct{}
}

func newProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, links: map[*link]bool{}}
	go p.acceptLoop(listener)
	return p, nil
}

func (p *proxy) address() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.listener.Addr().String()
}

func (p *proxy) setMode(m proxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
}

func (p *proxy) currentMode() proxyMode {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.rejecting {
		return proxyRefuse
	}
	return p.mode
}

// closeAll closes all open connections.
func (p *proxy) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		_ = l.client.Close()
		_ = l.server.Close()
	}
}

func (p *proxy) acceptLoop(listener net.Listener) {
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		if p.currentMode() == proxyRefuse {
			_ = client.Close()
			continue
		}
		server, err := net.Dial("tcp4", p.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		l := p.track(client, server)
		go p.copy(l, client, server, false)
		go p.copy(l, server, client, true)
	}
}

func (p *proxy) track(client, server net.Conn) *link {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := &link{client: client, server: server}
	p.links[l] = true
	return l
}

// hold stops the data and the ends of all connections, also of new ones, until release is called. Nothing is lost.
func (p *proxy) hold() (release func()) { return p.holdWith(&p.held) }

// holdActive does the same for the connection on which data arrived from the target last.
func (p *proxy) holdActive() (release func()) {
	active := &link{}
	p.mu.Lock()
	for l := range p.links {
		if l.lastAnswer.Load() > active.lastAnswer.Load() {
			active = l
		}
	}
	p.mu.Unlock()
	return p.holdWith(&active.held)
}

func (p *proxy) holdWith(held *chan struct{}) (release func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	released := make(chan struct{})
	*held = released
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		*held = nil
		close(released)
	}
}

// waitWhileHeld returns once the data of a connection may be passed on.
func (p *proxy) waitWhileHeld(l *link) {
	for {
		p.mu.Lock()
		held := p.held
		if held == nil {
			held = l.held
		}
		p.mu.Unlock()
		if held == nil {
			return
		}
		<-held
	}
}

// copy forwards data in one direction until one side ends, and then closes both connections.
func (p *proxy) copy(l *link, from, to net.Conn, answers bool) {
	defer func() {
		p.mu.Lock()
		delete(p.links, l)
		p.mu.Unlock()
		_ = from.Close()
		_ = to.Close()
	}()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if answers && n > 0 {
			l.lastAnswer.Store(time.Now().UnixNano())
		}
		p.waitWhileHeld(l)
		mode := p.currentMode()
		switch {
		case mode == proxySlow:
			time.Sleep(proxyDelay)
		case mode == proxyBlackhole || mode == proxyDropAnswers && answers:
			n = 0
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if err != io.EOF {
				p.resetOnClose(to)
			}
			return
		}
	}
}

// resetOnClose makes closing the connection send a reset.
func (p *proxy) resetOnClose(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}
