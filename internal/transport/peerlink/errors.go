package peerlink

import (
	"fmt"

	"github.com/pkg/errors"

	"gooseberrytide.example/gooseberrytide/internal/state/ident"
)

// Errors of links and calls.
var (
	// ErrClosed reports a network that was closed.
	ErrClosed = errors.New("peerlink: network closed")
	// ErrBlocked reports a peer that a fault test cut off.
	ErrBlocked = errors.New("peerlink: peer blocked")
	// ErrUnresolved reports a peer without a known address.
	ErrUnresolved = errors.New("peerlink: no address for peer")
	// ErrBackoff reports a peer that could not be reached a moment ago.
	ErrBackoff = errors.New("peerlink: peer unreachable, waiting before the next attempt")
	// ErrTooLarge reports a record above its limit.
	ErrTooLarge = errors.New("peerlink: record too large")
	// ErrRecord reports a record that is altered, replayed or out of order.
	ErrRecord = errors.New("peerlink: record authentication failed")
)

// Reason says why a connection was refused.
type Reason uint8

// The reasons of a refusal.
const (
	// ReasonWrongKey means that the peer's proof does not match the shared key.
	ReasonWrongKey Reason = iota + 1
	// ReasonUnknownPeer means that the peer's name is not one of the fleet.
	ReasonUnknownPeer
	// ReasonWrongName means that another router than the wanted one answers at the address.
	ReasonWrongName
	// ReasonVersion means that the ends speak different versions of the protocol.
	ReasonVersion
	// ReasonMalformed means that the handshake message cannot be read.
	ReasonMalformed
	// ReasonBlocked means that a fault test cut the peer off.
	ReasonBlocked
)

// String returns the reason in words.
func (r Reason) String() string {
	switch r {
	case ReasonWrongKey:
		return "wrong key"
	case ReasonUnknownPeer:
		return "unknown peer"
	case ReasonWrongName:
		return "wrong name"
	case ReasonVersion:
		return "protocol version"
	case ReasonMalformed:
		return "malformed handshake"
	case ReasonBlocked:
		return "blocked"
	}
	return "unknown reason"
}

// RefusedError reports a handshake that one end refused.
type RefusedError struct {
	// Peer is the name that the other end claimed or was expected to have; it is not authenticated.
	Peer   ident.RouterID
	Reason Reason
	// ByPeer says that the other end refused.
	ByPeer bool
}

// Error describes the refusal.
func (e *RefusedError) Error() string {
	if e.ByPeer {
		return fmt.Sprintf("peerlink: refused by %q: %s", e.Peer, e.Reason)
	}
	return fmt.Sprintf("peerlink: refused %q: %s", e.Peer, e.Reason)
}
