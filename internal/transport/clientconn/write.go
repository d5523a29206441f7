package clientconn

import (
	"time"

	"github.com/pkg/errors"

	"gooseberrytide.example/gooseberrytide/internal/transport/sockopt"
)

const (
	// blockBytes is the unit in which unread responses are kept and charged.
	blockBytes = 16 << 10
	// writeTimeout is the time after which a client that reads nothing counts as gone.
	writeTimeout = 5 * time.Second
)

// block is a part of a response. data is what has not been sent.
type block struct {
	data []byte
	next *block
}

// blockQueue is the part of responses that a client has not read.
type blockQueue struct {
	first, last *block
	// charged is what the account was charged for it.
	charged int64
}

// Write implements net.Conn. It does not wait for the client: what the system does not take is kept and sent later. The
// error of an earlier write may be returned by a later one.
func (c *Conn) Write(b []byte) (int, error) {
	if c.writer == nil {
		return c.Conn.Write(b)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writeErr != nil {
		return 0, c.writeErr
	}
	sent := 0
	if !c.draining {
		var err error
		if sent, err = c.writer.TryWrite(b); err != nil || sent == len(b) {
			return sent, err
		}
	}
	if !c.keep(b[sent:]) {
		return sent, errEnded
	}
	return len(b), nil
}

// keep adds a part of a response to those that are sent later. It returns false if there is no memory for it; the
// connection is then ended. The connection must be locked.
func (c *Conn) keep(b []byte) bool {
	q := &c.unread
	for len(b) > 0 {
		if q.last == nil || len(q.last.data) == cap(q.last.data) {
			if !c.holder.Grow(blockBytes) {
				c.failWrites(errEnded)
				c.ended = true
				c.tracker.record(ResponseMemory, c.address)
				go c.closeNow()
				return false
			}
			q.push()
		}
		last := q.last
		n := min(len(b), cap(last.data)-len(last.data))
		last.data = append(last.data, b[:n]...)
		b = b[n:]
	}
	if !c.draining {
		c.draining = true
		c.tracker.unread.Add(1)
		c.setMayEnd()
		go c.drain()
	}
	return true
}

// push adds an empty block.
func (q *blockQueue) push() {
	b := &block{data: make([]byte, 0, blockBytes)}
	if q.last == nil {
		q.first = b
	} else {
		q.last.next = b
	}
	q.last = b
	q.charged += blockBytes
}

// pop removes and returns the first block, or nil if there is none. It stays charged until it has been sent.
func (q *blockQueue) pop() *block {
	b := q.first
	if b != nil {
		q.first = b.next
		if q.first == nil {
			q.last = nil
		}
	}
	return b
}

// drain sends what is kept until there is nothing more.
func (c *Conn) drain() {
	for b := c.nextBlock(); b != nil; b = c.nextBlock() {
		if err := c.send(b.data); err != nil {
			c.mu.Lock()
			c.failWrites(err)
			c.mu.Unlock()
		}
		c.mu.Lock()
		c.releaseBlock()
		c.mu.Unlock()
	}
}

// nextBlock returns the next block to send. If there is none, it ends the draining and returns nil.
func (c *Conn) nextBlock() *block {
	c.mu.Lock()
	defer c.mu.Unlock()
	if b := c.unread.pop(); b != nil {
		return b
	}
	c.draining = false
	c.tracker.unread.Add(-1)
	c.setMayEnd()
	switch {
	case c.closing || c.writeErr != nil:
		c.ended = true
		go c.closeNow()
	case c.closingWrite:
		_ = closeWrite(c.Conn)
	}
	return nil
}

// releaseBlock releases the memory of a block that has been sent. The connection must be locked.
func (c *Conn) releaseBlock() {
	if c.unread.charged >= blockBytes {
		c.unread.charged -= blockBytes
		c.holder.Shrink(blockBytes)
	}
}

// send sends bytes as long as the client reads some of them in time. The system accepts further bytes only once a large part
// of its queue is free, so a client that reads slowly is one whose queue gets shorter.
func (c *Conn) send(data []byte) error {
	queued, _ := sockopt.SendQueue(c.Conn)
	for len(data) > 0 {
		if err := c.Conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return err
		}
		n, err := c.Conn.Write(data)
		data = data[n:]
		left, known := sockopt.SendQueue(c.Conn)
		reads := known && left < queued
		queued = left
		if isTimeout(err) && reads {
			continue
		}
		if err != nil && (n == 0 || !isTimeout(err)) {
			if isTimeout(err) {
				c.tracker.record(ResponseTime, c.address)
			}
			return err
		}
	}
	return c.Conn.SetWriteDeadline(time.Time{})
}

// failWrites drops what is kept and makes further writes fail. The connection must be locked.
func (c *Conn) failWrites(err error) {
	if c.writeErr == nil {
		c.writeErr = errors.Wrap(err, "unread response")
	}
	c.holder.Shrink(c.unread.charged)
	c.unread = blockQueue{}
}

// SetWriteDeadline implements net.Conn. Writes do not wait for the client, so that they need no deadline.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	if c.writer == nil {
		return c.Conn.SetWriteDeadline(t)
	}
	return nil
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	if err := c.SetWriteDeadline(t); err != nil {
		return err
	}
	return c.SetReadDeadline(t)
}
