//go:build !linux

package sockopt

import (
	"net"
	"time"
)

// peer is the other end of a connection. It is watched on Linux only, where connections have a user timeout.
type peer struct{ conn net.Conn }

func (p *peer) startWatch() bool { return false }

func (p *peer) recordWrite() {}

// Unsent always returns 0, since the length of the queue is not known.
func Unsent(net.Conn) int { return 0 }

// SinceReceived always returns 0, since the state of a connection is not known.
func SinceReceived(net.Conn) time.Duration { return 0 }
