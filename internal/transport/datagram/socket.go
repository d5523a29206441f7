package datagram

import (
	"context"
	"net"
	"net/netip"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"gooseberrytide.example/gooseberrytide/internal/state/logfield"
)

// maxBytes is the largest datagram that is read.
const maxBytes = 64 << 10

// Socket is a UDP socket.
type Socket struct {
	conn *net.UDPConn
	log  *zap.Logger
}

// Listen opens a socket at an address.
func Listen(address netip.AddrPort, log *zap.Logger) (*Socket, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, errors.Wrap(err, "datagram: listen")
	}
	return &Socket{conn: conn, log: log}, nil
}

// Send sends a datagram.
func (s *Socket) Send(to netip.AddrPort, data []byte) {
	if _, err := s.conn.WriteToUDPAddrPort(data, to); err != nil {
		s.log.Debug("datagram not sent", zap.Stringer("to", to), logfield.Error(err))
	}
}

// Run hands incoming datagrams to take until the context ends. The data is valid during the call only.
func (s *Socket) Run(ctx context.Context, take func(from netip.AddrPort, data []byte)) {
	stop := context.AfterFunc(ctx, func() { _ = s.conn.Close() })
	defer stop()
	buf := make([]byte, maxBytes)
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			s.log.Warn("datagram not read", logfield.Error(err))
			continue
		}
		take(from, buf[:n])
	}
}
