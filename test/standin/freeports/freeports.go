// Package freeports finds free loopback ports for routers started by tests.
package freeports

import (
	"fmt"
	"net"

	"github.com/pkg/errors"
)

// Router holds the ports of one router.
type Router struct {
	Front, Readiness, Directory int
	// Peer is the first of two consecutive ports.
	Peer int
}

// maxPairAttempts limits the attempts to find two consecutive ports.
const maxPairAttempts = 50

// ForRouter returns free ports for a router. It keeps a listener open on each port until all are found, so that no
// port is returned twice, and closes them before it returns.
func ForRouter() (Router, error) {
	var listeners []net.Listener
	defer func() {
		for _, l := range listeners {
			_ = l.Close()
		}
	}()
	listen := func(port int) (int, error) {
		l, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			return 0, err
		}
		listeners = append(listeners, l)
		return l.Addr().(*net.TCPAddr).Port, nil
	}
	var ports Router
	for _, port := range []*int{&ports.Front, &ports.Readiness, &ports.Directory} {
		var err error
		if *port, err = listen(0); err != nil {
			return ports, err
		}
	}
	for range maxPairAttempts {
		first, err := listen(0)
		if err != nil {
			return ports, err
		}
		if _, err := listen(first + 1); err == nil {
			ports.Peer = first
			return ports, nil
		}
	}
	return ports, errors.New("no two consecutive ports are free")
}
