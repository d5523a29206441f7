package faults

import (
	"io"
	"net"
	"sync"
)

// relay forwards connections to a target unless it is blocked. It is placed between a router and the store or the VM
// list, so that a partition can separate them.
type relay struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	blocked bool
	conns   map[net.Conn]struct{}
}

func newRelay(target string) (*relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &relay{listener: listener, target: target, conns: make(map[net.Conn]struct{})}
	go r.accept()
	return r, nil
}

func (r *relay) url() string { return "http://" + r.listener.Addr().String() }

func (r *relay) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.forward(conn)
	}
}

func (r *relay) forward(client net.Conn) {
	defer r.release(client)
	if !r.track(client) {
		return
	}
	server, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	defer r.release(server)
	if !r.track(server) {
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

// track registers an open connection. It returns false while the relay is blocked.
func (r *relay) track(conn net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.blocked {
		return false
	}
	r.conns[conn] = struct{}{}
	return true
}

func (r *relay) release(conn net.Conn) {
	_ = conn.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, conn)
}

// setBlocked blocks or unblocks the relay. A blocked relay closes all connections, also new ones.
func (r *relay) setBlocked(blocked bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.blocked = blocked
	if !blocked {
		return
	}
	for conn := range r.conns {
		_ = conn.Close()
	}
}

func (r *relay) close() {
	_ = r.listener.Close()
	r.setBlocked(true)
}
