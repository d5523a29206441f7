// Package slowpeer is a stand-in for peers that are alive and read slowly, and for peers that are gone.
package slowpeer

import (
	"context"
	"net"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"
)

// windowBytes is the receive buffer of a slow peer. Its window closes after a few kilobytes.
const windowBytes = 4 << 10

// setWindow sets the receive buffer before the connection is opened.
func setWindow(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, windowBytes)
	})
	if err != nil {
		return err
	}
	return failed
}

// Dial opens a connection on which little is received before it is read. It is closed at the end of the test.
func Dial(t testing.TB, address string) net.Conn {
	t.Helper()
	dialer := net.Dialer{Control: setWindow}
	conn, err := dialer.DialContext(context.Background(), "tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// Listen opens a listener on loopback whose connections receive little before they are read.
func Listen(t testing.TB) net.Listener {
	t.Helper()
	config := net.ListenConfig{Control: setWindow}
	listener, err := config.Listen(context.Background(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

// Vanish makes a connection drop whatever arrives, so that it acknowledges nothing: like one whose machine has lost power.
func Vanish(t testing.TB, conn net.Conn) {
	t.Helper()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	drop := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K}}
	program := unix.SockFprog{Len: uint16(len(drop)), Filter: &drop[0]}
	var failed error
	err = raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &program)
	})
	if err != nil || failed != nil {
		t.Fatalf("attach filter: %v, %v", err, failed)
	}
}
