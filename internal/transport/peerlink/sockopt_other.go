//go:build !linux

package peerlink

import (
	"net"
	"time"
)

// setUserTimeout has no effect on this system; the write time limit closes such links later.
func setUserTimeout(net.Conn, time.Duration) {}
