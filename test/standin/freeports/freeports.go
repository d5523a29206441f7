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
	// Peer is the first of peerPorts consecutive ports.
	Peer int
}

const (
	// peerPorts is the number of consecutive ports that a router uses for traffic between routers.
	peerPorts = 3
	// maxRangeAttempts limits the attempts to find consecutive ports.
	maxRangeAttempts = 50
)

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
	for range maxRangeAttempts {
		first, err := listen(0)
		if err != nil {
			return ports, err
		}
		free := 1
		for free < peerPorts {
			if _, err := listen(first + free); err != nil {
				break
			}
			free++
		}
		if free == peerPorts {
			ports.Peer = first
			return ports, nil
		}
	}
	return ports, errors.Errorf("no %d consecutive ports are free", peerPorts)
}
