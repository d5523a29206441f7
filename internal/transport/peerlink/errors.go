package peerlink

import (
	"fmt"

	"github.com/pkg/errors"

	"gooseberrytide.example/gooseberrytide/internal/state/ident"
)

// Errors of links and calls.
var (
	// ErrClosed means that the network was closed.
	ErrClosed = errors.New("peerlink: network closed")
	// ErrBlocked means that a fault test blocked the peer.
	ErrBlocked = errors.New("peerlink: peer blocked")
	// ErrUnresolved means that the address of the peer is unknown.
	ErrUnresolved = errors.New("peerlink: no address for peer")
	// ErrBackoff means that a recent attempt to reach the peer failed and the backoff has not expired.
	ErrBackoff = errors.New("peerlink: peer unreachable, waiting before the next attempt")
	// ErrTooLarge means that a record exceeds the size limit.
	ErrTooLarge = errors.New("peerlink: record too large")
	// ErrRecord means that a record was altered, replayed or reordered.
	ErrRecord = errors.New("peerlink: record authentication failed")
)

// Reason says why a connection was refused.
type Reason uint8

// Reasons for refusing a connection.
const (
	// ReasonWrongKey means that the peer's MAC does not match the shared key.
	ReasonWrongKey Reason = iota + 1
	// ReasonUnknownPeer means that no other router of the fleet has the peer's name.
	ReasonUnknownPeer
	// ReasonWrongName means that the router at the address is not the one that was dialed.
	ReasonWrongName
	// ReasonVersion means that the two ends use different protocol versions.
	ReasonVersion
	// ReasonMalformed means that a handshake message is invalid.
	ReasonMalformed
	// ReasonBlocked means that a fault test blocked the peer.
	ReasonBlocked
)

// String returns a description of the reason.
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

// RefusedError is the error of a handshake that one end refused.
type RefusedError struct {
	// Peer is the name that the other end claimed or was expected to have. It is not authenticated.
	Peer   ident.RouterID
	Reason Reason
	// ByPeer reports that the other end refused the connection.
	ByPeer bool
}

// Error implements error.
func (e *RefusedError) Error() string {
	if e.ByPeer {
		return fmt.Sprintf("peerlink: refused by %q: %s", e.Peer, e.Reason)
	}
	return fmt.Sprintf("peerlink: refused %q: %s", e.Peer, e.Reason)
}
