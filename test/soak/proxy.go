package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// proxyMode says what a proxy does with connections.
type proxyMode int

const (
	proxyPass proxyMode = iota
	// proxySlow delays each piece by proxyDelay.
	proxySlow
	// proxySilence takes data and passes nothing on, in both directions.
	proxySilence
	// proxyOneWay passes requests on and no answers.
	proxyOneWay
	// proxyRefuse closes connections at once.
	proxyRefuse
)

const proxyDelay = 100 * time.Millisecond

// proxy passes TCP connections on to a target and harms them on command.
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
	go p.run()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) set(m proxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
}

func (p *proxy) current() proxyMode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// reset closes all connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.Close()
	}
}

func (p *proxy) run() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.current() == proxyRefuse {
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

// copy passes data on until one side ends, and closes both.
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
		mode := p.current()
		switch {
		case mode == proxySlow:
			time.Sleep(proxyDelay)
		case mode == proxySilence || mode == proxyOneWay && answers:
			n = 0
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if err != io.EOF {
				p.abort(to)
			}
			return
		}
	}
}

// abort makes the close of a connection a reset.
func (p *proxy) abort(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}
