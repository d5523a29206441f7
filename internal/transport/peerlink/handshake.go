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

// protocolVersion is raised when the encoding of handshakes, records or messages changes.
const protocolVersion = 1

// Sizes in handshakes, in bytes.
const (
	nonceSize         = 32
	maxHandshakeBytes = 1024
	lengthSize        = 2
)

// connKind is the kind of a connection.
type connKind uint8

const (
	kindFrames connKind = iota + 1
	kindRPC
)

// Labels separate the MACs of the two ends and the derived keys, so that none can be reflected to its sender.
const (
	labelAcceptor        = "gooseberrytide link acceptor"
	labelDialer          = "gooseberrytide link dialer"
	labelConfirm         = "gooseberrytide link verdict"
	labelKeyFromDialer   = "gooseberrytide link key dialer to acceptor"
	labelKeyFromAcceptor = "gooseberrytide link key acceptor to dialer"
)

// hello is the first message of the dialing end.
type hello struct {
	Version     uint8    `cbor:"1,keyasint"`
	Kind        connKind `cbor:"2,keyasint"`
	From        string   `cbor:"3,keyasint"`
	Incarnation uint64   `cbor:"4,keyasint"`
	To          string   `cbor:"5,keyasint"`
	Nonce       []byte   `cbor:"6,keyasint"`
}

// helloReply is the response to a hello. A Refusal other than 0 ends the handshake.
type helloReply struct {
	Refusal     Reason `cbor:"1,keyasint,omitempty"`
	From        string `cbor:"2,keyasint,omitempty"`
	Incarnation uint64 `cbor:"3,keyasint,omitempty"`
	Nonce       []byte `cbor:"4,keyasint,omitempty"`
}

// session is the result of a successful handshake.
type session struct {
	self peer.Endpoint
	peer peer.Endpoint
	kind connKind
	// dialer is the router that opened the connection.
	dialer ident.RouterID
	// sendKey and receiveKey are the MAC keys of the records in the two directions.
	sendKey    []byte
	receiveKey []byte
}

// handshaker performs the handshake of one connection.
type handshaker struct {
	// key is the shared key of the fleet.
	key  []byte
	self peer.Endpoint
	conn net.Conn
	// transcript holds the hello and the reply, each with its length.
	transcript []byte
	// bytesIn and bytesOut count the bytes received and sent.
	bytesIn, bytesOut int
}

// dial performs the handshake as the dialing end and checks that the peer has the expected name and the shared key.
func (h *handshaker) dial(to ident.RouterID, kind connKind) (*session, error) {
	msg := hello{Version: protocolVersion, Kind: kind, From: string(h.self.Router), To: string(to), Nonce: newNonce()}
	msg.Incarnation = uint64(h.self.Incarnation)
	if err := h.write(msg); err != nil {
		return nil, err
	}
	var reply helloReply
	if err := h.read(&reply); err != nil {
		return nil, err
	}
	if reply.Refusal != 0 {
		return nil, &RefusedError{Peer: to, Reason: reply.Refusal, ByPeer: true}
	}
	if reply.From != string(to) {
		return nil, &RefusedError{Peer: to, Reason: ReasonWrongName}
	}
	if len(reply.Nonce) != nonceSize {
		return nil, &RefusedError{Peer: to, Reason: ReasonMalformed}
	}
	if err := h.verifyMAC(labelAcceptor, to); err != nil {
		h.sendWrongKey()
		return nil, err
	}
	if err := h.writePrefixed(h.mac(labelDialer)); err != nil {
		return nil, err
	}
	if err := h.verifyMAC(labelConfirm, to); err != nil {
		return nil, err
	}
	remote := peer.Endpoint{Router: to, Incarnation: ident.Incarnation(reply.Incarnation)}
	return h.newSession(remote, kind, labelKeyFromDialer, labelKeyFromAcceptor), nil
}

// accept performs the handshake as the accepting end. checkPeer decides on the claimed name before it is authenticated.
func (h *handshaker) accept(checkPeer func(ident.RouterID) Reason) (*session, error) {
	var msg hello
	if err := h.read(&msg); err != nil {
		return nil, err
	}
	from := ident.RouterID(msg.From)
	if reason := h.checkHello(msg, checkPeer); reason != 0 {
		_ = h.write(helloReply{Refusal: reason})
		return nil, &RefusedError{Peer: from, Reason: reason}
	}
	reply := helloReply{From: string(h.self.Router), Incarnation: uint64(h.self.Incarnation), Nonce: newNonce()}
	if err := h.write(reply); err != nil {
		return nil, err
	}
	if err := h.writePrefixed(h.mac(labelAcceptor)); err != nil {
		return nil, err
	}
	if err := h.verifyMAC(labelDialer, from); err != nil {
		h.sendWrongKey()
		return nil, err
	}
	if err := h.writePrefixed(h.mac(labelConfirm)); err != nil {
		return nil, err
	}
	remote := peer.Endpoint{Router: from, Incarnation: ident.Incarnation(msg.Incarnation)}
	return h.newSession(remote, msg.Kind, labelKeyFromAcceptor, labelKeyFromDialer), nil
}

// sendWrongKey sends ReasonWrongKey as one byte in place of a MAC. The byte is not authenticated and serves only the
// other end's log.
func (h *handshaker) sendWrongKey() { _ = h.writePrefixed([]byte{byte(ReasonWrongKey)}) }

// checkHello returns why a hello is refused, or 0.
func (h *handshaker) checkHello(msg hello, checkPeer func(ident.RouterID) Reason) Reason {
	switch {
	case msg.Version != protocolVersion:
		return ReasonVersion
	case len(msg.Nonce) != nonceSize, msg.Kind != kindFrames && msg.Kind != kindRPC, len(msg.From) > peer.MaxNameBytes:
		return ReasonMalformed
	case msg.To != string(h.self.Router):
		return ReasonWrongName
	case msg.From == "" || msg.From == string(h.self.Router):
		return ReasonUnknownPeer
	}
	return checkPeer(ident.RouterID(msg.From))
}

// newSession derives the keys of the connection.
func (h *handshaker) newSession(remote peer.Endpoint, kind connKind, sendLabel, receiveLabel string) *session {
	s := &session{
		self: h.self, peer: remote, kind: kind, dialer: h.self.Router,
		sendKey: h.mac(sendLabel), receiveKey: h.mac(receiveLabel),
	}
	if sendLabel == labelKeyFromAcceptor {
		s.dialer = remote.Router
	}
	return s
}

// mac returns the MAC of the label and the transcript. The transcript contains both names, incarnations and nonces.
func (h *handshaker) mac(label string) []byte {
	m := hmac.New(sha256.New, h.key)
	m.Write([]byte(label))
	m.Write(h.transcript)
	return m.Sum(nil)
}

// verifyMAC reads the other end's MAC and compares it with the expected one.
func (h *handshaker) verifyMAC(label string, id ident.RouterID) error {
	got, err := h.readPrefixed()
	if err != nil {
		return err
	}
	if len(got) == 1 {
		return &RefusedError{Peer: id, Reason: Reason(got[0]), ByPeer: true}
	}
	if !hmac.Equal(got, h.mac(label)) {
		return &RefusedError{Peer: id, Reason: ReasonWrongKey}
	}
	return nil
}

// write sends a handshake message and adds it to the transcript.
func (h *handshaker) write(v any) error {
	data, err := cbor.Marshal(v)
	if err != nil {
		return err
	}
	h.addToTranscript(data)
	return h.writePrefixed(data)
}

// read receives a handshake message and adds it to the transcript.
func (h *handshaker) read(v any) error {
	data, err := h.readPrefixed()
	if err != nil {
		return err
	}
	h.addToTranscript(data)
	if err := cbor.Unmarshal(data, v); err != nil {
		return &RefusedError{Reason: ReasonMalformed}
	}
	return nil
}

// addToTranscript appends a message with its length to the transcript.
func (h *handshaker) addToTranscript(data []byte) {
	h.transcript = binary.BigEndian.AppendUint16(h.transcript, uint16(len(data)))
	h.transcript = append(h.transcript, data...)
}

// writePrefixed sends data with a length prefix.
func (h *handshaker) writePrefixed(data []byte) error {
	buf := binary.BigEndian.AppendUint16(nil, uint16(len(data)))
	buf = append(buf, data...)
	h.bytesOut += len(buf)
	_, err := h.conn.Write(buf)
	return err
}

// readPrefixed receives data with a length prefix.
func (h *handshaker) readPrefixed() ([]byte, error) {
	var head [lengthSize]byte
	if _, err := io.ReadFull(h.conn, head[:]); err != nil {
		return nil, err
	}
	n := int(binary.BigEndian.Uint16(head[:]))
	if n > maxHandshakeBytes {
		return nil, &RefusedError{Reason: ReasonMalformed}
	}
	data := make([]byte, n)
	h.bytesIn += lengthSize + n
	_, err := io.ReadFull(h.conn, data)
	return data, err
}

// newNonce returns random bytes.
func newNonce() []byte {
	b := make([]byte, nonceSize)
	_, _ = rand.Read(b) // never returns an error: crypto/rand ends the program instead
	return b
}

// withDeadline runs a handshake with a read and write deadline of handshakeTimeout.
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
