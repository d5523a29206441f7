package sockopt

import "net"

// EndOf tells how a connection has ended of which a reader has read all, received bytes, up to the end. The reader itself
// cannot tell: the system reports an error to the first call that asks, which may be that of another goroutine, and an
// orderly end to all later ones.
func EndOf(conn net.Conn, received int64) End {
	info, ok := tcpInfo(conn)
	switch {
	case !ok || !isComplete(info):
		return EndUnknown
	case info.State != tcpClosed, info.Bytes_received > uint64(received): // the peer's close counts as one byte
		return EndOrderly
	default:
		return EndBroken
	}
}
