// Package freeports finds ports on loopback for routers that tests start.
package freeports

import (
	"fmt"
	"net"

	"github.com/pkg/errors"
)

// Router are the ports of one router.
type Router struct {
	Front, Readiness, Directory int
	// Peer is the first of two neighbouring ports.
	Peer int
}

// pairTries bounds the search for two neighbouring ports.
const pairTries = 50

// ForRouter finds ports that are free. All are held until the last is found, so that none is found twice.
func ForRouter() (Router, error) {
	var held []net.Listener
	defer func() {
		for _, l := range held {
			_ = l.Close()
		}
	}()
	listen := func(port int) (int, error) {
		l, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			return 0, err
		}
		held = append(held, l)
		return l.Addr().(*net.TCPAddr).Port, nil
	}
	var p Router
	for _, port := range []*int{&p.Front, &p.Readiness, &p.Directory} {
		var err error
		if *port, err = listen(0); err != nil {
			return p, err
		}
	}
	for range pairTries {
		first, err := listen(0)
		if err != nil {
			return p, err
		}
		if _, err := listen(first + 1); err == nil {
			p.Peer = first
			return p, nil
		}
	}
	return p, errors.New("no two neighbouring ports are free")
}
