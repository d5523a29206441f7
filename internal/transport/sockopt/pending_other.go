//go:build !linux

package sockopt

import "net"

// AcceptPending accepts nothing, since the state of a listener cannot be tested without blocking.
func (l *PlainListener) AcceptPending() []net.Conn { return nil }
