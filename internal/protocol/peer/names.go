package peer

import (
	"strings"
	"unicode/utf8"

	"github.com/fxamacker/cbor/v2"
)

// ringSize is the number of recent names that both ends of a connection keep. Indices below 256 take at most two bytes,
// and 400 links with full rings stay within a few megabytes.
const ringSize = 256

// name is a string that travels as text when it is new to the connection, and as an index afterwards.
type name struct {
	text  string
	index uint64
	// short says that the index stands for the text.
	short bool
}

// IsZero lets absent names be left out.
func (n name) IsZero() bool { return !n.short && n.text == "" }

// MarshalCBOR encodes the text or the index.
func (n name) MarshalCBOR() ([]byte, error) {
	if n.short {
		return encMode.Marshal(n.index)
	}
	return encMode.Marshal(n.text)
}

// UnmarshalCBOR decodes a text or an index.
func (n *name) UnmarshalCBOR(data []byte) error {
	const majorType = 0xe0
	const unsigned = 0x00
	if len(data) > 0 && data[0]&majorType == unsigned {
		n.short = true
		return decMode.Unmarshal(data, &n.index)
	}
	return decMode.Unmarshal(data, &n.text)
}

// ring holds the recent names of one direction. Both ends add the same names in the same order.
type ring struct {
	slots []string
	next  int
	// index finds a name's slot; only the sending end fills it.
	index map[string]uint64
}

// push stores a name in place of the oldest.
func (r *ring) push(text string) {
	if len(r.slots) < ringSize {
		r.slots = append(r.slots, "")
	}
	if r.index != nil {
		delete(r.index, r.slots[r.next])
		r.index[text] = uint64(r.next)
	}
	r.slots[r.next] = text
	r.next = (r.next + 1) % ringSize
}

// shorten replaces a known name by its index, and remembers a new one.
func (r *ring) shorten(n *name) {
	if n.text == "" {
		return
	}
	if i, ok := r.index[n.text]; ok {
		*n = name{index: i, short: true}
		return
	}
	r.push(n.text)
}

// expand replaces an index by its name, and remembers a new one.
func (r *ring) expand(n *name) error {
	if !n.short {
		return r.learn(n.text)
	}
	if n.index >= uint64(len(r.slots)) {
		return at("name", ErrDanglingID)
	}
	*n = name{text: r.slots[n.index]}
	return nil
}

// learn remembers a name that arrived as text.
func (r *ring) learn(text string) error {
	if text == "" {
		return nil
	}
	if len(text) > maxText {
		return at("name", ErrTooLarge)
	}
	r.push(text)
	return nil
}

// checkName bounds a name before it is encoded.
func checkName(place, text string) error {
	if len(text) > MaxName {
		return at(place, ErrTooLarge)
	}
	if !utf8.ValidString(text) {
		return at(place, ErrUTF8)
	}
	if strings.Contains(text, identitySeparator) {
		return at(place, ErrNUL)
	}
	return nil
}

var (
	encMode = mustEnc(cbor.EncOptions{NilContainers: cbor.NilContainerAsEmpty})
	decMode = mustDec(cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:   8,
		MaxArrayElements:  MaxEnvelopes,
		MaxMapPairs:       32,
		IndefLength:       cbor.IndefLengthForbidden,
		TagsMd:            cbor.TagsForbidden,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		UTF8:              cbor.UTF8RejectInvalid,
	})
)

// mustEnc returns an encoding mode. The options are constant, so an error is a fault of the program.
func mustEnc(opts cbor.EncOptions) cbor.EncMode {
	mode, err := opts.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// mustDec returns a decoding mode.
func mustDec(opts cbor.DecOptions) cbor.DecMode {
	mode, err := opts.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}
