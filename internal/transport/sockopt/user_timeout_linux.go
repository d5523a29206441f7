package sockopt

import (
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// SetUserTimeout makes the system close a connection whose sent data stays unacknowledged for the time d. Without it, a
// connection to an unresponsive peer would accept data for many minutes. Errors are ignored.
func SetUserTimeout(conn net.Conn, d time.Duration) {
	_ = control(conn, func(fd int) error {
		return unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
}

// Writer writes to a connection without waiting.
type Writer struct {
	peer    *peer
	raw     syscall.RawConn
	write   func(fd uintptr) bool
	data    []byte
	written int
	err     error
}

// NewWriter returns a writer to a TCP connection, or nil if the connection is of another kind.
func NewWriter(conn net.Conn) *Writer {
	tcp, ok := As[*net.TCPConn](conn)
	if !ok {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil
	}
	w := &Writer{raw: raw, peer: peerOf(conn)}
	w.write = w.writeOnce
	return w
}

// TryWrite writes as much as the system's buffer takes. It must not be called concurrently.
func (w *Writer) TryWrite(data []byte) (int, error) {
	w.data, w.written, w.err = data, 0, nil
	err := w.raw.Write(w.write)
	w.data = nil
	w.peer.recordWrite()
	if err != nil {
		return 0, err
	}
	return w.written, w.err
}

// writeOnce returns true, so that the runtime does not wait until more can be written.
func (w *Writer) writeOnce(fd uintptr) bool {
	for {
		n, err := syscall.Write(int(fd), w.data)
		switch {
		case err == syscall.EINTR:
			continue
		case err == syscall.EAGAIN:
		case err != nil:
			w.err = os.NewSyscallError("write", err)
		default:
			w.written = n
		}
		return true
	}
}

// SendQueue returns the number of bytes that were written to a connection and that its peer has not acknowledged. It returns
// false if that is not known.
func SendQueue(conn net.Conn) (int, bool) {
	queued := 0
	err := control(conn, func(fd int) error {
		var err error
		queued, err = unix.IoctlGetInt(fd, unix.SIOCOUTQ)
		return err
	})
	return queued, err == nil
}
