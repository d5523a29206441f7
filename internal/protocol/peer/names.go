package peer

import (
	"strings"
	"unicode/utf8"

	"github.com/fxamacker/cbor/v2"
)

// nameRingSize is the number of recent names that both endpoints keep for one direction of a connection. Indices below
// 256 take at most two bytes, and 400 links with full rings stay within a few megabytes.
const nameRingSize = 256

// wireName is a string that is sent as text if it is not in the name ring, and as its index in the ring otherwise.
type wireName struct {
	text  string
	index uint64
	// indexed reports that index is set instead of text.
	indexed bool
}

// IsZero reports whether the name is absent, so that the encoder omits it.
func (n wireName) IsZero() bool { return !n.indexed && n.text == "" }

// MarshalCBOR encodes the text or the index.
func (n wireName) MarshalCBOR() ([]byte, error) {
	if n.indexed {
		return encMode.Marshal(n.index)
	}
	return encMode.Marshal(n.text)
}

// UnmarshalCBOR decodes a text or an index.
func (n *wireName) UnmarshalCBOR(data []byte) error {
	const majorType = 0xe0
	const unsigned = 0x00
	if len(data) > 0 && data[0]&majorType == unsigned {
		n.indexed = true
		return decMode.Unmarshal(data, &n.index)
	}
	return decMode.Unmarshal(data, &n.text)
}

// nameRing holds the recent names of one direction of a connection. Both endpoints add the same names in the same
// order.
type nameRing struct {
	slots    []string
	nextSlot int
	// slotOf maps each name to its slot. It is nil in decoders.
	slotOf map[string]uint64
}

// add stores a name. If the ring is full, it replaces the oldest name.
func (r *nameRing) add(text string) {
	if len(r.slots) < nameRingSize {
		r.slots = append(r.slots, "")
	}
	if r.slotOf != nil {
		delete(r.slotOf, r.slots[r.nextSlot])
		r.slotOf[text] = uint64(r.nextSlot)
	}
	r.slots[r.nextSlot] = text
	r.nextSlot = (r.nextSlot + 1) % nameRingSize
}

// compress replaces a name in the ring by its index. Other names are added to the ring.
func (r *nameRing) compress(n *wireName) {
	if n.text == "" {
		return
	}
	if i, ok := r.slotOf[n.text]; ok {
		*n = wireName{index: i, indexed: true}
		return
	}
	r.add(n.text)
}

// expand replaces an index by its name. A name that was sent as text is added to the ring.
func (r *nameRing) expand(n *wireName) error {
	if !n.indexed {
		return r.addReceived(n.text)
	}
	if n.index >= uint64(len(r.slots)) {
		return errorAt("name", ErrUnknownNameIndex)
	}
	*n = wireName{text: r.slots[n.index]}
	return nil
}

// addReceived adds a name that was received as text.
func (r *nameRing) addReceived(text string) error {
	if text == "" {
		return nil
	}
	if len(text) > maxTextBytes {
		return errorAt("name", ErrTooLarge)
	}
	r.add(text)
	return nil
}

// checkName checks the length and the characters of a name.
func checkName(place, text string) error {
	if len(text) > MaxNameBytes {
		return errorAt(place, ErrTooLarge)
	}
	if !utf8.ValidString(text) {
		return errorAt(place, ErrUTF8)
	}
	if strings.Contains(text, identitySeparator) {
		return errorAt(place, ErrNUL)
	}
	return nil
}

var (
	encMode = mustEncMode(cbor.EncOptions{NilContainers: cbor.NilContainerAsEmpty})
	decMode = mustDecMode(cbor.DecOptions{
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

// mustEncMode returns an encoding mode. It panics on an error, because the options are constant.
func mustEncMode(opts cbor.EncOptions) cbor.EncMode {
	mode, err := opts.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// mustDecMode returns a decoding mode. It panics on an error, because the options are constant.
func mustDecMode(opts cbor.DecOptions) cbor.DecMode {
	mode, err := opts.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}
