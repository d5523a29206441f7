package sockopt

import (
	"net"
	"os"
	"syscall"
)

// AcceptPending accepts the connections that wait to be accepted, without blocking. It works beside a goroutine that is
// blocked in Accept. A connection for which there is no descriptor left is closed.
func (l *PlainListener) AcceptPending() []net.Conn {
	tcp, ok := l.Listener.(*net.TCPListener)
	if !ok {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil
	}
	var conns []net.Conn
	_ = raw.Control(func(fd uintptr) { // the only error is that the listener is closed
		for {
			accepted, _, err := syscall.Accept4(int(fd), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
			if err == syscall.EINTR || err == syscall.ECONNABORTED {
				continue
			}
			if err != nil {
				return
			}
			if conn := connOf(accepted); conn != nil {
				conns = append(conns, conn)
			}
		}
	})
	return conns
}

// connOf returns the connection of a descriptor, or nil. It closes the descriptor, because the net.Conn uses a
// duplicate.
func connOf(fd int) net.Conn {
	file := os.NewFile(uintptr(fd), "")
	defer func() { _ = file.Close() }()
	conn, err := net.FileConn(file)
	if err != nil {
		return nil
	}
	return newConn(conn)
}
