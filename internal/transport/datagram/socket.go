package datagram

import (
	"context"
	"net"
	"net/netip"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"gooseberrytide.example/gooseberrytide/internal/state/logfield"
)

// maxDatagramBytes is the size of the receive buffer, and so of the largest datagram that is received completely.
const maxDatagramBytes = 64 << 10

// Socket is a UDP socket that sends and receives datagrams.
type Socket struct {
	conn *net.UDPConn
	log  *zap.Logger
}

// Listen opens a socket on a local address.
func Listen(address netip.AddrPort, log *zap.Logger) (*Socket, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, errors.Wrap(err, "datagram: listen")
	}
	return &Socket{conn: conn, log: log}, nil
}

// Send sends a datagram. Errors are only logged.
func (s *Socket) Send(to netip.AddrPort, data []byte) {
	if _, err := s.conn.WriteToUDPAddrPort(data, to); err != nil {
		s.log.Debug("datagram not sent", zap.Stringer("to", to), logfield.Error(err))
	}
}

// Run calls handle for each incoming datagram until the context ends, and then closes the socket. The data is valid
// only during the call.
func (s *Socket) Run(ctx context.Context, handle func(from netip.AddrPort, data []byte)) {
	stop := context.AfterFunc(ctx, func() { _ = s.conn.Close() })
	defer stop()
	buf := make([]byte, maxDatagramBytes)
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			s.log.Warn("datagram not read", logfield.Error(err))
			continue
		}
		handle(from, buf[:n])
	}
}
