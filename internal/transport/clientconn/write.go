package clientconn

import (
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"gooseberrytide.example/gooseberrytide/internal/transport/sockopt"
)

const (
	// blockBytes is the unit in which unread responses are kept and charged.
	blockBytes = 16 << 10
	// writeTimeout is the time after which the response to a client that reads nothing is ended, if the time for the
	// response has passed.
	writeTimeout = 5 * time.Second
	// unsentPollPeriod is the time between checks whether a client reads the end of a response.
	unsentPollPeriod = 50 * time.Millisecond
)

// errUnread reports a response that the client has not read in time.
var errUnread = errors.New("the client reads nothing")

// block is a part of a response. data is what has not been sent.
type block struct {
	data []byte
	next *block
}

// blocks holds empty blocks for use by any connection. A response that passes through fast would otherwise make garbage faster
// than it is collected, which no account of memory sees.
var blocks = sync.Pool{New: func() any { return &block{data: make([]byte, 0, blockBytes)} }}

// blockQueue is the part of responses that a client has not read.
type blockQueue struct {
	first, last *block
	// charged is what the account was charged for it.
	charged int64
}

// Write implements net.Conn. It does not wait for the client: what the system does not take is kept and sent later. The
// error of an earlier write may be returned by a later one.
func (c *Conn) Write(b []byte) (int, error) {
	n, err := c.write(b)
	if err != nil {
		c.writeFailed.Store(true)
	}
	return n, err
}

func (c *Conn) write(b []byte) (int, error) {
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
		c.startDraining()
	}
	return true
}

// startDraining sends in the background what is kept. The connection must be locked.
func (c *Conn) startDraining() {
	c.draining = true
	c.tracker.unread.Add(1)
	c.setMayEnd()
	go c.drain()
}

// reuse makes a block available to any connection.
func (b *block) reuse() {
	b.data, b.next = b.data[:0], nil
	blocks.Put(b)
}

// push adds an empty block.
func (q *blockQueue) push() {
	b := blocks.Get().(*block)
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

// drain sends what is kept until there is nothing more. A connection that is to be closed is closed once the system has
// sent the rest: the system drops what a closed connection has not sent when the client pauses for too long.
func (c *Conn) drain() {
	for {
		for b := c.nextBlock(); b != nil; b = c.nextBlock() {
			c.recordWriteError(c.send(b.data))
			b.reuse()
			c.mu.Lock()
			c.releaseBlock()
			c.mu.Unlock()
		}
		if c.isClosing() {
			c.recordWriteError(c.awaitSent())
		}
		if c.endDraining() {
			return
		}
	}
}

// nextBlock returns the next block to send, or nil.
func (c *Conn) nextBlock() *block {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unread.pop()
}

// recordWriteError drops what is kept after an error.
func (c *Conn) recordWriteError(err error) {
	if err == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failWrites(err)
}

// isClosing reports whether the connection is to be closed.
func (c *Conn) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing && c.writeErr == nil
}

// endDraining ends the draining unless there is more to send.
func (c *Conn) endDraining() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unread.first != nil {
		return false
	}
	c.draining = false
	c.tracker.unread.Add(-1)
	c.setMayEnd()
	switch {
	case c.closing || c.writeErr != nil:
		c.ended = true
		go c.closeNow()
	case c.closingWrite && !c.incomplete:
		_ = closeWrite(c.Conn)
	}
	return true
}

// releaseBlock releases the memory of a block that has been sent. The connection must be locked.
func (c *Conn) releaseBlock() {
	if c.unread.charged >= blockBytes {
		c.unread.charged -= blockBytes
		c.holder.Shrink(blockBytes)
	}
}

// send sends bytes. The system accepts further bytes only once a large part of its queue is free, so a client that reads
// slowly is one whose queue gets shorter.
func (c *Conn) send(data []byte) error {
	queue := c.newSendQueue()
	for len(data) > 0 {
		if err := c.Conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return err
		}
		n, err := c.Conn.Write(data)
		data = data[n:]
		shorter := queue.gotShorter()
		if err == nil || isTimeout(err) && (n > 0 || shorter || c.hasTimeToRead()) {
			continue
		}
		if isTimeout(err) {
			c.tracker.record(ResponseTime, c.address)
		}
		return err
	}
	return c.Conn.SetWriteDeadline(time.Time{})
}

// awaitSent waits until the system has sent all, or the connection is closed.
func (c *Conn) awaitSent() error {
	queue := c.newSendQueue()
	checkAt := time.Now().Add(writeTimeout)
	for sockopt.Unsent(c.Conn) > 0 {
		if now := time.Now(); now.After(checkAt) {
			checkAt = now.Add(writeTimeout)
			if !queue.gotShorter() && !c.hasTimeToRead() {
				c.tracker.record(ResponseTime, c.address)
				return errUnread
			}
		}
		time.Sleep(unsentPollPeriod)
	}
	return nil
}

// hasTimeToRead reports whether the time for the response has not passed.
func (c *Conn) hasTimeToRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Before(c.readUntil)
}

// sendQueue is what the system has accepted and the client has not acknowledged.
type sendQueue struct {
	conn   net.Conn
	length int
}

func (c *Conn) newSendQueue() *sendQueue {
	length, _ := sockopt.SendQueue(c.Conn)
	return &sendQueue{conn: c.Conn, length: length}
}

// gotShorter reports whether the queue is shorter than at the last call.
func (q *sendQueue) gotShorter() bool {
	before := q.length
	length, known := sockopt.SendQueue(q.conn)
	q.length = length
	return known && length < before
}

// failWrites drops what is kept and makes further writes fail. The connection must be locked.
func (c *Conn) failWrites(err error) {
	if c.writeErr == nil {
		c.writeErr = errors.Wrap(err, "unread response")
	}
	for b := c.unread.pop(); b != nil; b = c.unread.pop() {
		b.reuse()
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
