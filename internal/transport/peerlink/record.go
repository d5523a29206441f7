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

// macSize is the length of a record's truncated MAC in bytes. A forger has one try per connection, as a bad record
// closes it.
const macSize = 8

// records reads and writes authenticated records: length, payload, MAC over sequence number and payload. The sequence
// number is not sent; a replayed, lost or reordered record fails authentication. Reading and writing may run
// concurrently, but not two of a kind.
type records struct {
	conn  net.Conn
	r     *bufio.Reader
	limit int
	send  sealer
	recv  sealer
	buf   []byte
}

// sealer computes the MACs of one direction.
type sealer struct {
	mac hash.Hash
	seq uint64
	sum [sha256.Size]byte
}

// newRecords wraps a connection after its handshake.
func newRecords(conn net.Conn, s *session, limit int) *records {
	return &records{
		conn: conn, r: bufio.NewReader(conn), limit: limit,
		send: sealer{mac: hmac.New(sha256.New, s.send)},
		recv: sealer{mac: hmac.New(sha256.New, s.receive)},
	}
}

// seal returns the MAC of the next record. The result is valid until the next call.
func (s *sealer) seal(payload []byte) []byte {
	var seq [8]byte
	binary.BigEndian.PutUint64(seq[:], s.seq)
	s.seq++
	s.mac.Reset()
	s.mac.Write(seq[:])
	s.mac.Write(payload)
	return s.mac.Sum(s.sum[:0])[:macSize]
}

// write sends a record and returns its size on the wire.
func (c *records) write(payload []byte) (int, error) {
	if len(payload) > c.limit {
		return 0, ErrTooLarge
	}
	c.buf = binary.AppendUvarint(c.buf[:0], uint64(len(payload)))
	c.buf = append(c.buf, payload...)
	c.buf = append(c.buf, c.send.seal(payload)...)
	if err := c.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	n, err := c.conn.Write(c.buf)
	if cap(c.buf) > 1<<16 {
		c.buf = nil
	}
	return n, err
}

// read receives a record and returns its payload and its size on the wire. io.EOF means a clean end between records.
func (c *records) read() ([]byte, int, error) {
	length, err := binary.ReadUvarint(c.r)
	if err != nil {
		return nil, 0, err
	}
	if length > uint64(c.limit) {
		return nil, 0, ErrTooLarge
	}
	data := make([]byte, int(length)+macSize)
	if _, err := io.ReadFull(c.r, data); err != nil {
		return nil, 0, err
	}
	payload := data[:length]
	if !hmac.Equal(data[length:], c.recv.seal(payload)) {
		return nil, 0, ErrRecord
	}
	var head [binary.MaxVarintLen64]byte
	return payload, len(data) + binary.PutUvarint(head[:], length), nil
}
