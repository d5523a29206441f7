package peerlink

import (
	"bufio"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"hash"
	"io"
	"net"
	"time"
)

// macSize is the length of the truncated MAC of a record, in bytes. A forger has only one attempt per connection,
// because an invalid record closes the connection.
const macSize = 8

// recordConn reads and writes authenticated records. A record consists of its length, the payload, and a MAC of the
// sequence number and the payload. The sequence number is not sent, so a replayed, lost or reordered record fails
// authentication. One reader and one writer may run concurrently.
type recordConn struct {
	conn       net.Conn
	reader     *bufio.Reader
	maxPayload int
	sendMAC    recordMAC
	receiveMAC recordMAC
	writeBuf   []byte
}

// recordMAC computes the MACs of the records of one direction.
type recordMAC struct {
	mac hash.Hash
	seq uint64
	sum [sha256.Size]byte
}

// newRecordConn returns a recordConn for a connection after its handshake. maxPayload is the maximum size of a payload
// in bytes.
func newRecordConn(conn net.Conn, s *session, maxPayload int) *recordConn {
	return &recordConn{
		conn: conn, reader: bufio.NewReader(conn), maxPayload: maxPayload,
		sendMAC:    recordMAC{mac: hmac.New(sha256.New, s.sendKey)},
		receiveMAC: recordMAC{mac: hmac.New(sha256.New, s.receiveKey)},
	}
}

// next returns the MAC of the next record. The result is valid until the next call.
func (m *recordMAC) next(payload []byte) []byte {
	var seq [8]byte
	binary.BigEndian.PutUint64(seq[:], m.seq)
	m.seq++
	m.mac.Reset()
	m.mac.Write(seq[:])
	m.mac.Write(payload)
	return m.mac.Sum(m.sum[:0])[:macSize]
}

// write sends a record and returns its size on the wire.
func (c *recordConn) write(payload []byte) (int, error) {
	if len(payload) > c.maxPayload {
		return 0, ErrTooLarge
	}
	c.writeBuf = binary.AppendUvarint(c.writeBuf[:0], uint64(len(payload)))
	c.writeBuf = append(c.writeBuf, payload...)
	c.writeBuf = append(c.writeBuf, c.sendMAC.next(payload)...)
	if err := c.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	n, err := c.conn.Write(c.writeBuf)
	if cap(c.writeBuf) > 1<<16 {
		c.writeBuf = nil
	}
	return n, err
}

// read receives a record and returns its payload and its size on the wire. It returns io.EOF if the connection ended
// between two records.
func (c *recordConn) read() ([]byte, int, error) {
	length, err := binary.ReadUvarint(c.reader)
	if err != nil {
		return nil, 0, err
	}
	if length > uint64(c.maxPayload) {
		return nil, 0, ErrTooLarge
	}
	data := make([]byte, int(length)+macSize)
	if _, err := io.ReadFull(c.reader, data); err == io.EOF {
		return nil, 0, io.ErrUnexpectedEOF // the length was read
	} else if err != nil {
		return nil, 0, err
	}
	payload := data[:length]
	if !hmac.Equal(data[length:], c.receiveMAC.next(payload)) {
		return nil, 0, ErrRecord
	}
	var head [binary.MaxVarintLen64]byte
	return payload, len(data) + binary.PutUvarint(head[:], length), nil
}
