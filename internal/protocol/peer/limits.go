package peer

import (
	"fmt"

	"github.com/pkg/errors"
)

// Limits of frames and messages.
const (
	// MaxFrameBytes bounds the size of a frame.
	MaxFrameBytes = 64 << 10
	// MaxRPCMessageBytes bounds the size of a JSON-RPC message.
	MaxRPCMessageBytes = 4 << 20
	// MaxEnvelopes bounds the number of messages in a frame.
	MaxEnvelopes = 1024
	// MaxNameBytes bounds the length of a name or an address.
	MaxNameBytes = 255
	// maxTextBytes bounds the length of an entry of the name ring: a name, a shard or a member's identity.
	maxTextBytes = 4*MaxNameBytes + 20
	// MaxPrefixHashes bounds the number of prefix hashes in an Enqueue.
	MaxPrefixHashes = 8
	// MaxExcludedBackends bounds the number of excluded backend servers in an Enqueue.
	MaxExcludedBackends = 4

	// fullFrameBytes is the size from which no more messages are added to a frame. The largest message has 37 names of
	// at most 255 bytes, so that a frame that was just below this size stays within MaxFrameBytes.
	fullFrameBytes = 32 << 10
)

// The reasons that a FormatError wraps.
var (
	ErrTooLarge         = errors.New("too large")
	ErrEmpty            = errors.New("missing")
	ErrMessageCount     = errors.New("not exactly one message")
	ErrRange            = errors.New("out of range")
	ErrUnknown          = errors.New("unknown value")
	ErrInvalidIdentity  = errors.New("not an identity of a member")
	ErrNUL              = errors.New("contains a NUL")
	ErrUTF8             = errors.New("not UTF-8")
	ErrUnknownNameIndex = errors.New("reference to a name that was not sent")
)

// FormatError reports invalid input and the place of the fault.
type FormatError struct {
	// Place is the path of the invalid element, such as "envelopes[2].enqueue.prefix".
	Place string
	Err   error
}

// Error returns the place and the reason.
func (e *FormatError) Error() string { return fmt.Sprintf("peer: %s: %v", e.Place, e.Err) }

// Unwrap returns the reason.
func (e *FormatError) Unwrap() error { return e.Err }

// errorAt returns a FormatError with the given place and reason.
func errorAt(place string, err error) error { return &FormatError{Place: place, Err: err} }

// prefixPlace prepends an outer place to the place of an error.
func prefixPlace(place string, err error) error {
	var f *FormatError
	if errors.As(err, &f) {
		return &FormatError{Place: place + "." + f.Place, Err: f.Err}
	}
	return &FormatError{Place: place, Err: err}
}

// maxStamp bounds a router's clock, so that sums cannot overflow.
const maxStamp = uint64(1) << 62
