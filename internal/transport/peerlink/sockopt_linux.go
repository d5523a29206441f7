package peerlink

import (
	"net"
	"syscall"
	"time"
)

// tcpUserTimeout is TCP_USER_TIMEOUT of tcp(7), which package syscall does not name.
const tcpUserTimeout = 18

// setUserTimeout closes a connection whose sent data stays unacknowledged. Without it the link to a silent peer would
// take messages for many minutes.
func setUserTimeout(conn net.Conn, d time.Duration) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(d.Milliseconds()))
	})
}
