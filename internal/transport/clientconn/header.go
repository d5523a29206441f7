package clientconn

import (
	"bytes"
	"io"
	"time"
)

const (
	// readAhead is what the HTTP server reads of a body together with the header, at most.
	readAhead = 4 << 10
	// lineBytes is the memory of a header line once it has been decoded, apart from its text: an entry of a map with a
	// slice. Thousands of short lines took many times their length.
	lineBytes = 160
	// chargeStep is the step in which a header is charged. Ordinary headers are part of the connection's memory.
	chargeStep = 8 << 10
	// headerMargin is added to the operators' limit of the time for a header. It covers the way to the router and the wait
	// for its processor.
	headerMargin = 2 * time.Second
	// silentTimeout is the time in which a new connection must send something, if the time for a header is not longer.
	silentTimeout = 10 * time.Second
)

// headerTooLarge is the response to a header above the limit.
const headerTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// headerEnd ends a header.
var headerEnd = []byte("\r\n\r\n")

// header is the state of a header that is being read.
type header struct {
	// startedAt is when its first bytes were read.
	startedAt time.Time
	bytes     int64
	lines     int64
	// charged is what the account was charged for it.
	charged int64
	// bounded is set once the read deadline bounds the rest of it.
	bounded bool
}

// Read implements net.Conn. It enforces the limits of headers.
func (c *Conn) Read(b []byte) (int, error) {
	if c.running.Load() {
		return c.Conn.Read(b)
	}
	if c.started.Load() && !c.header.bounded {
		c.header.bounded = true
		if err := c.Conn.SetReadDeadline(c.headerDeadline()); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Read(b)
	if c.running.Load() {
		return n, err
	}
	if n > 0 {
		if reason := c.countHeader(b[:n]); reason != "" {
			c.refuseHeader(reason)
			return 0, io.EOF
		}
	}
	if isTimeout(err) {
		c.recordTimeout()
	}
	return n, err
}

// countHeader counts bytes of a header. It returns the limit that they exceed, or an empty reason.
func (c *Conn) countHeader(b []byte) Reason {
	h := &c.header
	if !c.started.Load() {
		c.started.Store(true)
		h.startedAt = time.Now()
		if !c.received {
			c.received = true
			c.tracker.removeSilent(c)
		}
	}
	if i := bytes.Index(b, headerEnd); i > 0 {
		b = b[:i]
	}
	h.bytes += int64(len(b))
	h.lines += int64(bytes.Count(b, headerEnd[1:2]))
	if h.bytes > c.tracker.opts.Limits().MaxHeaderBytes+readAhead {
		return HeaderBytes
	}
	for cost := h.bytes + h.lines*lineBytes; cost > h.charged+chargeStep; h.charged += chargeStep {
		if !c.holder.Grow(chargeStep) {
			return HeaderMemory
		}
	}
	return ""
}

// refuseHeader ends the connection because of its header.
func (c *Conn) refuseHeader(reason Reason) {
	c.mu.Lock()
	nothingUnsent := !c.draining
	c.mu.Unlock()
	if nothingUnsent && reason == HeaderBytes && c.writer != nil {
		_, _ = c.writer.TryWrite([]byte(headerTooLarge)) // the connection is closed whether or not it is received
	}
	c.endWith(reason)
}

// recordTimeout records that a header did not arrive in time. An idle connection ends without a record.
func (c *Conn) recordTimeout() {
	switch {
	case c.started.Load():
		c.tracker.record(HeaderTime, c.address)
	case !c.received:
		c.tracker.record(SilentTime, c.address)
	}
}

// SetReadDeadline implements net.Conn. While a header is expected or read, the operators' limits bound the deadline.
func (c *Conn) SetReadDeadline(t time.Time) error {
	if t.IsZero() || c.running.Load() {
		return c.Conn.SetReadDeadline(t)
	}
	if bound := c.headerDeadline(); bound.Before(t) {
		t = bound
	}
	return c.Conn.SetReadDeadline(t)
}

// headerDeadline returns when the next bytes of a header are due.
func (c *Conn) headerDeadline() time.Time {
	limits := c.tracker.opts.Limits()
	switch {
	case c.started.Load():
		c.header.bounded = true
		return c.header.startedAt.Add(limits.HeaderTimeout + headerMargin)
	case !c.received:
		return c.acceptedAt.Add(max(limits.HeaderTimeout+headerMargin, silentTimeout))
	default:
		return time.Now().Add(limits.IdleTimeout)
	}
}
