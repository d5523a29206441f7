// Package connend ends connections of stand-ins in each way that the other side may have to tell apart.
package connend

import (
	"net"
	"syscall"
	"testing"
	"time"
)

// Way is a way to end a connection.
type Way string

// Ways to end a connection.
const (
	// Close closes the connection in order.
	Close Way = "close"
	// Reset resets it.
	Reset Way = "reset"
	// CloseThenReset closes the sending side in order, and resets the connection some milliseconds later.
	CloseThenReset Way = "close, then reset"
)

// resetDelay is the time between an orderly close and the reset that follows it.
const resetDelay = 5 * time.Millisecond

// End ends a connection. Errors are ignored: they occur only if the other side has ended it.
func (w Way) End(c net.Conn) {
	tcp, ok := c.(*net.TCPConn)
	if ok && w == CloseThenReset {
		_ = tcp.CloseWrite()
		time.Sleep(resetDelay)
	}
	if ok && w != Close {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// TakeError asks the system for the error of a connection, as a call of another goroutine may, so that the next call does
// not see it.
func TakeError(t testing.TB, c *net.TCPConn) {
	t.Helper()
	raw, err := c.SyscallConn()
	if err == nil {
		err = raw.Control(func(fd uintptr) {
			_, _, _ = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		})
	}
	if err != nil {
		t.Fatal(err)
	}
}
