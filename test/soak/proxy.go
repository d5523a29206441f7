package main

import (
	"io"
	"net"
	"sync"
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
	listener net.Listener
	target   string

	mu    sync.Mutex
	mode  proxyMode
	conns map[net.Conn]bool
}

func newProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, conns: map[net.Conn]bool{}}
	go p.acceptLoop()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) setMode(m proxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
}

func (p *proxy) currentMode() proxyMode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// closeAll closes all open connections.
func (p *proxy) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.Close()
	}
}

func (p *proxy) acceptLoop() {
	for {
		client, err := p.listener.Accept()
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
		p.track(client, server)
		go p.copy(client, server, false)
		go p.copy(server, client, true)
	}
}

func (p *proxy) track(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		p.conns[c] = true
	}
}

// copy forwards data in one direction until one side ends, and then closes both connections.
func (p *proxy) copy(from, to net.Conn, answers bool) {
	defer func() {
		p.mu.Lock()
		delete(p.conns, from)
		p.mu.Unlock()
		_ = from.Close()
		_ = to.Close()
	}()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
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
