//go:build !linux

package sockopt

import (
	"net"
	"time"
)

// SetUserTimeout does nothing on systems without the option.
func SetUserTimeout(net.Conn, time.Duration) {}

// IsOpen always returns true, since the state of an idle connection cannot be tested without blocking.
func IsOpen(net.Conn) bool { return true }

// HasUnread always returns false, since the state of a connection cannot be tested without blocking.
func HasUnread(net.Conn) bool { return false }

// PeerClosed always returns false for the same reason.
func PeerClosed(net.Conn) bool { return false }

// PeerEnded always returns false for the same reason.
func PeerEnded(net.Conn) bool { return false }

// Writer writes to a connection without waiting. It exists only on Linux.
type Writer struct{}

// NewWriter returns nil, since writes without waiting are not available.
func NewWriter(net.Conn) *Writer { return nil }

// TryWrite is never called.
func (w *Writer) TryWrite([]byte) (int, error) { return 0, nil }

// SendQueue returns false, since the length of the queue is not known.
func SendQueue(net.Conn) (int, bool) { return 0, false }
