package peerlink

import (
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"gooseberrytide.example/gooseberrytide/internal/protocol/peer"
)

// link is an authenticated connection for frames. Only the goroutine of its remotePeer writes to it.
type link struct {
	n       *Network
	conn    net.Conn
	peer    peer.Endpoint
	records *recordConn
	encoder *peer.Encoder
	decoder *peer.Decoder
	// preferred reports that the router with the lower name dialed. When both routers dial at the same time, both send
	// on this link, and the other link is closed by the idle timeout.
	preferred bool
	// pendingBytes is the size of the messages in the unsent frame.
	pendingBytes int
	// lastWrite is the time of the latest written frame, in Unix nanoseconds.
	lastWrite atomic.Int64
}

// newLink creates a link with its encoder and decoder on an authenticated connection.
func newLink(n *Network, conn net.Conn, s *session) *link {
	l := &link{n: n, conn: conn, peer: s.peer, records: newRecordConn(conn, s, peer.MaxFrameBytes)}
	l.encoder = peer.NewEncoder(s.self, s.peer)
	l.decoder = peer.NewDecoder(s.peer, s.self)
	l.preferred = s.dialer == min(s.self.Router, s.peer.Router)
	return l
}

// runLink reads an attached link until it ends and then detaches it.
func (n *Network) runLink(l *link) {
	err := l.readLoop()
	n.detach(l)
	if err != nil && n.ctx.Err() == nil {
		n.opts.Logger.Info("peerlink: link ended", zap.String("peer", string(l.peer.Router)), zap.Error(err))
	}
}

// readLoop delivers received messages until the link ends or is idle. It returns nil if the link was closed cleanly.
func (l *link) readLoop() error {
	for {
		if err := l.awaitFrame(); err != nil {
			return ignoreCleanClose(err)
		}
		payload, size, err := l.records.read()
		if err != nil {
			return ignoreCleanClose(err)
		}
		frame, err := l.decoder.Decode(payload)
		if err != nil {
			return err
		}
		l.countFrame(frame, size)
		if l.n.opts.Clock != nil {
			l.n.opts.Clock.Observe(frame.Stamp)
		}
		l.deliver(frame)
	}
}

// awaitFrame waits for the next frame. It returns io.EOF if nothing was sent or received for the idle timeout.
func (l *link) awaitFrame() error {
	idleTimeout := l.n.opts.IdleTimeout
	for {
		if err := l.conn.SetReadDeadline(time.Now().Add(idleTimeout)); err != nil {
			return err
		}
		_, err := l.records.reader.Peek(1)
		if err == nil {
			return l.conn.SetReadDeadline(time.Now().Add(writeTimeout))
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		if time.Since(time.Unix(0, l.lastWrite.Load())) >= idleTimeout {
			return io.EOF
		}
	}
}

// ignoreCleanClose returns nil if the error means that the connection was closed, and the error otherwise.
func ignoreCleanClose(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// countFrame adds a received frame to the statistics.
func (l *link) countFrame(frame peer.Frame, size int) {
	for i, e := range frame.Envelopes {
		l.n.counters.in[e.Class()].add(1, frame.Sizes[i])
		size -= frame.Sizes[i]
	}
	l.n.counters.in[peer.ClassLink].add(1, size)
}

// deliver passes the messages to OnMessage unless the peer is blocked.
func (l *link) deliver(frame peer.Frame) {
	for _, e := range frame.Envelopes {
		if l.n.isBlocked(l.peer.Router) {
			return
		}
		l.n.opts.OnMessage(l.peer, e)
	}
}

// send writes messages in as few frames as possible. It returns the number of messages written before an error.
func (l *link) send(batch []peer.Envelope) (int, error) {
	written, encoded := 0, 0
	for _, e := range batch {
		if l.encode(e) {
			encoded++
		}
		if !l.encoder.Full() {
			continue
		}
		if err := l.flush(); err != nil {
			return written, err
		}
		written, encoded = written+encoded, 0
	}
	err := l.flush()
	if err == nil {
		written += encoded
	}
	return written, err
}

// encode adds a message to the unsent frame. A message above the encoder's limits is dropped and logged.
func (l *link) encode(e peer.Envelope) bool {
	size, err := l.encoder.Add(e)
	if err != nil {
		l.n.opts.Logger.Error("peerlink: message not sent", zap.Error(err))
		return false
	}
	l.n.counters.out[e.Class()].add(1, size)
	l.pendingBytes += size
	return true
}

// flush writes the unsent frame. The bytes of its record beyond its messages count as overhead of the class "link".
func (l *link) flush() error {
	if l.n.opts.Clock != nil {
		l.encoder.SetStamp(l.n.opts.Clock.Stamp())
	}
	data, err := l.encoder.Take()
	if err != nil || data == nil {
		return err
	}
	l.lastWrite.Store(time.Now().UnixNano())
	size, err := l.records.write(data)
	l.n.counters.out[peer.ClassLink].add(1, max(size-l.pendingBytes, 0))
	l.pendingBytes = 0
	return err
}
