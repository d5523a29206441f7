package peerlink

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"io"
	"net"
	"time"

	"github.com/fxamacker/cbor/v2"

	"gooseberrytide.example/gooseberrytide/internal/protocol/peer"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
)

// protocolVersion changes with the form of handshakes, records or messages.
const protocolVersion = 1

// Sizes in handshakes, in bytes.
const (
	nonceSize    = 32
	maxHandshake = 1024
	lengthSize   = 2
)

// linkKind is what a connection carries.
type linkKind uint8

const (
	kindFrames linkKind = iota + 1
	kindRPC
)

// Labels keep the MACs of the two ends and the derived keys apart, so that none can be reflected.
const (
	labelAcceptor = "gooseberrytide link acceptor"
	labelDialer   = "gooseberrytide link dialer"
	labelVerdict  = "gooseberrytide link verdict"
	labelOutward  = "gooseberrytide link key dialer to acceptor"
	labelInward   = "gooseberrytide link key acceptor to dialer"
)

// hello opens a connection.
type hello struct {
	Version     uint8    `cbor:"1,keyasint"`
	Kind        linkKind `cbor:"2,keyasint"`
	From        string   `cbor:"3,keyasint"`
	Incarnation uint64   `cbor:"4,keyasint"`
	To          string   `cbor:"5,keyasint"`
	Nonce       []byte   `cbor:"6,keyasint"`
}

// reply answers a hello. A Refusal ends the handshake.
type reply struct {
	Refusal     Reason `cbor:"1,keyasint,omitempty"`
	From        string `cbor:"2,keyasint,omitempty"`
	Incarnation uint64 `cbor:"3,keyasint,omitempty"`
	Nonce       []byte `cbor:"4,keyasint,omitempty"`
}

// session is the outcome of a handshake.
type session struct {
	self peer.Endpoint
	peer peer.Endpoint
	kind linkKind
	// dialer is the router that opened the connection.
	dialer  ident.RouterID
	send    []byte
	receive []byte
}

// greeter performs handshakes over one connection.
type greeter struct {
	key        []byte
	self       peer.Endpoint
	conn       net.Conn
	transcript []byte
	in, out    int
}

// dial connects to the wanted peer and checks the peer's proof.
func (g *greeter) dial(to ident.RouterID, kind linkKind) (*session, error) {
	h := hello{Version: protocolVersion, Kind: kind, From: string(g.self.Router), To: string(to), Nonce: nonce()}
	h.Incarnation = uint64(g.self.Incarnation)
	if err := g.write(h); err != nil {
		return nil, err
	}
	var r reply
	if err := g.read(&r); err != nil {
		return nil, err
	}
	if r.Refusal != 0 {
		return nil, &RefusedError{Peer: to, Reason: r.Refusal, ByPeer: true}
	}
	if r.From != string(to) {
		return nil, &RefusedError{Peer: to, Reason: ReasonWrongName}
	}
	if len(r.Nonce) != nonceSize {
		return nil, &RefusedError{Peer: to, Reason: ReasonMalformed}
	}
	if err := g.checkProof(labelAcceptor, to); err != nil {
		g.refuse()
		return nil, err
	}
	if err := g.writeBlob(g.mac(labelDialer)); err != nil {
		return nil, err
	}
	if err := g.checkProof(labelVerdict, to); err != nil {
		return nil, err
	}
	party := peer.Endpoint{Router: to, Incarnation: ident.Incarnation(r.Incarnation)}
	return g.session(party, kind, labelOutward, labelInward), nil
}

// accept answers a hello. The check decides on the claimed name before anything is proved.
func (g *greeter) accept(check func(ident.RouterID) Reason) (*session, error) {
	var h hello
	if err := g.read(&h); err != nil {
		return nil, err
	}
	from := ident.RouterID(h.From)
	if reason := g.judge(h, check); reason != 0 {
		_ = g.write(reply{Refusal: reason})
		return nil, &RefusedError{Peer: from, Reason: reason}
	}
	r := reply{From: string(g.self.Router), Incarnation: uint64(g.self.Incarnation), Nonce: nonce()}
	if err := g.write(r); err != nil {
		return nil, err
	}
	if err := g.writeBlob(g.mac(labelAcceptor)); err != nil {
		return nil, err
	}
	if err := g.checkProof(labelDialer, from); err != nil {
		g.refuse()
		return nil, err
	}
	if err := g.writeBlob(g.mac(labelVerdict)); err != nil {
		return nil, err
	}
	party := peer.Endpoint{Router: from, Incarnation: ident.Incarnation(h.Incarnation)}
	return g.session(party, h.Kind, labelInward, labelOutward), nil
}

// refuse sends a reason of one byte in place of a MAC. It is not authenticated, and only helps the other end's log.
func (g *greeter) refuse() { _ = g.writeBlob([]byte{byte(ReasonWrongKey)}) }

// judge returns why a hello is refused, or 0.
func (g *greeter) judge(h hello, check func(ident.RouterID) Reason) Reason {
	switch {
	case h.Version != protocolVersion:
		return ReasonVersion
	case len(h.Nonce) != nonceSize, h.Kind != kindFrames && h.Kind != kindRPC, len(h.From) > peer.MaxNameBytes:
		return ReasonMalformed
	case h.To != string(g.self.Router):
		return ReasonWrongName
	case h.From == "" || h.From == string(g.self.Router):
		return ReasonUnknownPeer
	}
	return check(ident.RouterID(h.From))
}

// session derives the keys of the connection.
func (g *greeter) session(party peer.Endpoint, kind linkKind, send, receive string) *session {
	s := &session{self: g.self, peer: party, kind: kind, dialer: g.self.Router, send: g.mac(send), receive: g.mac(receive)}
	if send == labelInward {
		s.dialer = party.Router
	}
	return s
}

// mac authenticates the hello and the reply, which hold both names, incarnations and nonces.
func (g *greeter) mac(label string) []byte {
	m := hmac.New(sha256.New, g.key)
	m.Write([]byte(label))
	m.Write(g.transcript)
	return m.Sum(nil)
}

// checkProof reads and checks the other end's MAC.
func (g *greeter) checkProof(label string, id ident.RouterID) error {
	got, err := g.readBlob()
	if err != nil {
		return err
	}
	if len(got) == 1 {
		return &RefusedError{Peer: id, Reason: Reason(got[0]), ByPeer: true}
	}
	if !hmac.Equal(got, g.mac(label)) {
		return &RefusedError{Peer: id, Reason: ReasonWrongKey}
	}
	return nil
}

// write sends a handshake message and adds it to the transcript.
func (g *greeter) write(v any) error {
	data, err := cbor.Marshal(v)
	if err != nil {
		return err
	}
	g.note(data)
	return g.writeBlob(data)
}

// read receives a handshake message and adds it to the transcript.
func (g *greeter) read(v any) error {
	data, err := g.readBlob()
	if err != nil {
		return err
	}
	g.note(data)
	if err := cbor.Unmarshal(data, v); err != nil {
		return &RefusedError{Reason: ReasonMalformed}
	}
	return nil
}

// note appends a message with its length to the transcript.
func (g *greeter) note(data []byte) {
	g.transcript = binary.BigEndian.AppendUint16(g.transcript, uint16(len(data)))
	g.transcript = append(g.transcript, data...)
}

// writeBlob sends bytes with their length.
func (g *greeter) writeBlob(data []byte) error {
	buf := binary.BigEndian.AppendUint16(nil, uint16(len(data)))
	buf = append(buf, data...)
	g.out += len(buf)
	_, err := g.conn.Write(buf)
	return err
}

// readBlob receives bytes with their length.
func (g *greeter) readBlob() ([]byte, error) {
	var head [lengthSize]byte
	if _, err := io.ReadFull(g.conn, head[:]); err != nil {
		return nil, err
	}
	n := int(binary.BigEndian.Uint16(head[:]))
	if n > maxHandshake {
		return nil, &RefusedError{Reason: ReasonMalformed}
	}
	data := make([]byte, n)
	g.in += lengthSize + n
	_, err := io.ReadFull(g.conn, data)
	return data, err
}

// nonce returns fresh random bytes.
func nonce() []byte {
	b := make([]byte, nonceSize)
	_, _ = rand.Read(b) // never fails: crypto/rand ends the program instead
	return b
}

// withDeadline bounds a handshake.
func withDeadline(conn net.Conn, handshake func() (*session, error)) (*session, error) {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return nil, err
	}
	s, err := handshake()
	if err != nil {
		return nil, err
	}
	return s, conn.SetDeadline(time.Time{})
}
