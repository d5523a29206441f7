package sockopt

import (
	"net"
	"syscall"
	"time"
)

// tcpUserTimeout is TCP_USER_TIMEOUT of tcp(7), which package syscall does not define.
const tcpUserTimeout = 18

// SetUserTimeout makes the system close a connection whose sent data stays unacknowledged for the time d. Without it, a
// connection to an unresponsive peer would accept data for many minutes. Errors are ignored.
func SetUserTimeout(conn net.Conn, d time.Duration) {
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

// IsOpen reports whether an idle connection is still open and has no unread data. It does not block.
func IsOpen(conn net.Conn) bool {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = err == syscall.EAGAIN
		return true
	})
	return err == nil && open
}

// HasUnread reports whether data has arrived on a connection, or its peer has closed it, that has not been read. It
// does not block, even while another goroutine waits to read.
func HasUnread(conn net.Conn) bool {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	unread := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		unread = err != syscall.EAGAIN && err != syscall.EINTR
	})
	return err == nil && unread
}
