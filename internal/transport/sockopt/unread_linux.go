package sockopt

import (
	"net"

	"golang.org/x/sys/unix"
)

// The functions of this file ask with poll(2), not with recv(2): the system reports the error of a connection once, and a
// goroutine that reads or writes would no longer see it.

// IsOpen reports whether an idle connection is still open and has no unread data. It does not block.
func IsOpen(conn net.Conn) bool {
	open := false
	err := control(conn, func(fd int) error {
		events, err := pollEvents(fd)
		open = err == nil && events == 0
		return err
	})
	return err == unix.ENOTSOCK || open
}

// HasUnread reports whether data has arrived on a connection, or its peer has closed it, that has not been read. It
// does not block, even while another goroutine waits to read.
func HasUnread(conn net.Conn) bool {
	unread := false
	err := control(conn, func(fd int) error {
		events, err := pollEvents(fd)
		unread = events != 0
		return err
	})
	return err == nil && unread
}

// PeerClosed reports whether the peer has closed its side of a connection, or the connection is broken, and all that the
// peer sent has been read. It does not block either.
func PeerClosed(conn net.Conn) bool {
	closed := false
	err := control(conn, func(fd int) error {
		events, err := pollEvents(fd)
		if err != nil || events&endEvents == 0 {
			return err
		}
		unread, err := unix.IoctlGetInt(fd, unix.SIOCINQ)
		closed = unread == 0
		return err
	})
	return err == nil && closed
}

// PeerEnded reports whether the peer has closed its side of a connection, or the connection is broken, also while a part of
// what the peer sent has not been read. It does not block either.
func PeerEnded(conn net.Conn) bool {
	ended := false
	err := control(conn, func(fd int) error {
		events, err := pollEvents(fd)
		ended = err == nil && events&endEvents != 0
		return err
	})
	return err == nil && ended
}

// endEvents are the events of a connection that the peer has closed, or that is broken.
const endEvents = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR

// pollEvents returns what a reader of a socket would not have to wait for.
func pollEvents(fd int) (events int16, err error) {
	fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN | unix.POLLRDHUP}}
	for {
		_, err := unix.Poll(fds, 0)
		if err != unix.EINTR {
			return fds[0].Revents, err
		}
	}
}
