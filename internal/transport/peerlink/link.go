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

// link is an authenticated connection for frames. Only the peer's queue goroutine writes.
type link struct {
	n       *Network
	conn    net.Conn
	peer    peer.Endpoint
	records *records
	encoder *peer.Encoder
	decoder *peer.Decoder
	// preferred says that the router with the lower name dialed. When both dial at once, both ends send on that link, and
	// the other one idles out.
	preferred bool
	// pending is the size of the messages in the unsent frame, in bytes.
	pending int
	// written is when the last frame was sent, in Unix nanoseconds.
	written atomic.Int64
}

// newLink prepares both directions of a connection.
func newLink(n *Network, conn net.Conn, s *session) *link {
	l := &link{n: n, conn: conn, peer: s.peer, records: newRecords(conn, s, peer.MaxFrameBytes)}
	l.encoder = peer.NewEncoder(s.self, s.peer)
	l.decoder = peer.NewDecoder(s.peer, s.self)
	l.preferred = s.dialer == min(s.self.Router, s.peer.Router)
	return l
}

// runLink reads an attached link to its end and removes it.
func (n *Network) runLink(l *link) {
	err := l.readAll()
	n.detach(l)
	if err != nil && n.ctx.Err() == nil {
		n.opts.Logger.Info("peerlink: link ended", zap.String("peer", string(l.peer.Router)), zap.Error(err))
	}
}

// readAll passes messages on until the link ends or is idle. A clean end returns nil.
func (l *link) readAll() error {
	for {
		if err := l.await(); err != nil {
			return ended(err)
		}
		payload, size, err := l.records.read()
		if err != nil {
			return ended(err)
		}
		frame, err := l.decoder.Decode(payload)
		if err != nil {
			return err
		}
		l.count(frame, size)
		if l.n.opts.Clock != nil {
			l.n.opts.Clock.Observe(frame.Stamp)
		}
		l.deliver(frame)
	}
}

// await waits for the next frame. It returns io.EOF when nothing was exchanged for the idle time.
func (l *link) await() error {
	idle := l.n.opts.IdleTimeout
	for {
		if err := l.conn.SetReadDeadline(time.Now().Add(idle)); err != nil {
			return err
		}
		_, err := l.records.r.Peek(1)
		if err == nil {
			return l.conn.SetReadDeadline(time.Now().Add(writeTimeout))
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		if time.Since(time.Unix(0, l.written.Load())) >= idle {
			return io.EOF
		}
	}
}

// ended tells clean ends from faults.
func ended(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// count adds a received frame to the statistics.
func (l *link) count(f peer.Frame, size int) {
	for i, e := range f.Envelopes {
		l.n.counters.in[e.Class()].add(1, f.Sizes[i])
		size -= f.Sizes[i]
	}
	l.n.counters.in[peer.ClassLink].add(1, size)
}

// deliver passes the messages to the handler, unless a test cut the peer off.
func (l *link) deliver(f peer.Frame) {
	for _, e := range f.Envelopes {
		if l.n.cut(l.peer.Router) {
			return
		}
		l.n.opts.OnMessage(l.peer, e)
	}
}

// send writes messages in as few frames as fit. It returns how many were written before an error.
func (l *link) send(batch []peer.Envelope) (int, error) {
	written, added := 0, 0
	for _, e := range batch {
		if l.add(e) {
			added++
		}
		if !l.encoder.Full() {
			continue
		}
		if err := l.flush(); err != nil {
			return written, err
		}
		written, added = written+added, 0
	}
	err := l.flush()
	if err == nil {
		written += added
	}
	return written, err
}

// add encodes a message. One that breaks the limits is dropped and logged.
func (l *link) add(e peer.Envelope) bool {
	size, err := l.encoder.Add(e)
	if err != nil {
		l.n.opts.Logger.Error("peerlink: message not sent", zap.Error(err))
		return false
	}
	l.n.counters.out[e.Class()].add(1, size)
	l.pending += size
	return true
}

// flush writes the frame. The record's size less its messages counts as overhead.
func (l *link) flush() error {
	if l.n.opts.Clock != nil {
		l.encoder.SetStamp(l.n.opts.Clock.Stamp())
	}
	data, err := l.encoder.Take()
	if err != nil || data == nil {
		return err
	}
	l.written.Store(time.Now().UnixNano())
	size, err := l.records.write(data)
	l.n.counters.out[peer.ClassLink].add(1, max(size-l.pending, 0))
	l.pending = 0
	return err
}
