package peer

import (
	"fmt"

	"github.com/pkg/errors"
)

// Limits of frames and messages.
const (
	// MaxFrame is the size of a frame in bytes.
	MaxFrame = 64 << 10
	// MaxMessage is the size of a JSON-RPC message in bytes.
	MaxMessage = 4 << 20
	// MaxEnvelopes bounds the messages in a frame.
	MaxEnvelopes = 1024
	// MaxName is the length of a name or an address in bytes.
	MaxName = 255
	// maxText is the length of a name or a member's identity in bytes.
	maxText = 4*MaxName + 20
	// MaxPrefix bounds the prefix hashes of an Enqueue.
	MaxPrefix = 8
	// MaxExclude bounds the excluded backend servers of an Enqueue.
	MaxExclude = 4

	// fullFrame is the size in bytes from which a frame takes no more messages. The largest message has 37 names of at
	// most 255 bytes, which leaves it within MaxFrame.
	fullFrame = 32 << 10
)

// The reasons that a FormatError wraps.
var (
	ErrTooLarge   = errors.New("too large")
	ErrEmpty      = errors.New("missing")
	ErrNotOne     = errors.New("not exactly one message")
	ErrRange      = errors.New("out of range")
	ErrUnknown    = errors.New("unknown value")
	ErrIdentity   = errors.New("not an identity of a member")
	ErrNUL        = errors.New("contains a NUL")
	ErrUTF8       = errors.New("not UTF-8")
	ErrDanglingID = errors.New("reference to a name that was not sent")
)

// FormatError reports input that breaks the format, and where.
type FormatError struct {
	// Place names the bad element, such as "envelopes[2].enqueue.prefix".
	Place string
	Err   error
}

// Error describes the fault and its place.
func (e *FormatError) Error() string { return fmt.Sprintf("peer: %s: %v", e.Place, e.Err) }

// Unwrap returns the reason.
func (e *FormatError) Unwrap() error { return e.Err }

// at returns an error for a place.
func at(place string, err error) error { return &FormatError{Place: place, Err: err} }

// inside puts an outer place before the place of an error.
func inside(place string, err error) error {
	var f *FormatError
	if errors.As(err, &f) {
		return &FormatError{Place: place + "." + f.Place, Err: f.Err}
	}
	return &FormatError{Place: place, Err: err}
}

// maxStamp bounds a router's clock, so that sums cannot overflow.
const maxStamp = uint64(1) << 62
