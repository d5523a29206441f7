//go:build !linux

package sockopt

import "net"

// EndOf always returns EndUnknown, since the state of a connection is not known.
func EndOf(net.Conn, int64) End { return EndUnknown }
