package sockopt

import (
	"net"

	"github.com/pkg/errors"
)

// EndOf tells how a connection has ended of which a reader has read all, received bytes, up to the end. The reader itself
// cannot tell: the system reports an error to the first call that asks, which may be that of another goroutine, and an
// orderly end to all later ones. A connection that this process has closed counts as broken.
func EndOf(conn net.Conn, received int64) End {
	info, err := tcpInfo(conn)
	switch {
	case errors.Is(err, net.ErrClosed):
		return EndBroken
	case err != nil || info.State == 0:
		return EndUnknown
	case info.State != tcpClosed:
		return EndOrderly
	case info.Bytes_received == uint64(received)+1:
		return EndOrderly // the peer's orderly close counts as a byte; the reset came after it
	default:
		return EndBroken
	}
}
