package faults

import (
	"io"
	"net"
	"sync"
)

// proxy forwards connections to a target unless it is blocked. It is placed between a router and the store or the VM
// list, so that a partition can separate them.
type proxy struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	blocked bool
	conns   map[net.Conn]struct{}
}

func newProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, conns: make(map[net.Conn]struct{})}
	go p.acceptLoop()
	return p, nil
}

func (p *proxy) url() string { return "http://" + p.listener.Addr().String() }

func (p *proxy) acceptLoop() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(conn)
	}
}

func (p *proxy) forward(client net.Conn) {
	defer p.closeConn(client)
	if !p.track(client) {
		return
	}
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer p.closeConn(server)
	if !p.track(server) {
		return
	}
	done := make(chan struct{}, 2)
	pipe := func(to, from net.Conn) {
		_, _ = io.Copy(to, from) // Either side may close its connection at any time.
		done <- struct{}{}
	}
	go pipe(server, client)
	go pipe(client, server)
	<-done
}

// track registers an open connection. It returns false while the proxy is blocked.
func (p *proxy) track(conn net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.blocked {
		return false
	}
	p.conns[conn] = struct{}{}
	return true
}

func (p *proxy) closeConn(conn net.Conn) {
	_ = conn.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, conn)
}

// setBlocked blocks or unblocks the proxy. A blocked proxy closes all connections, also new ones.
func (p *proxy) setBlocked(blocked bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.blocked = blocked
	if !blocked {
		return
	}
	for conn := range p.conns {
		_ = conn.Close()
	}
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.setBlocked(true)
}
