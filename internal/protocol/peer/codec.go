package peer

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"gooseberrytide.example/gooseberrytide/internal/state/timeline"
)

// Encoder builds the frames of one direction of one connection. Not safe for concurrent use.
type Encoder struct {
	ends  ends
	ring  ring
	seqs  sequences
	items []cbor.RawMessage
	size  int
	// stamp is the sender's clock for the next frame, last that of the frame before.
	stamp, last timeline.Stamp
}

// NewEncoder returns an encoder for frames from the sender to the receiver.
func NewEncoder(sender, receiver Party) *Encoder {
	e := &Encoder{ends: ends{sender: sender, receiver: receiver}}
	e.ring.index = make(map[string]uint64)
	return e
}

// Add puts a message into the frame and returns its size in bytes. On an error (*FormatError) the frame is unchanged.
func (e *Encoder) Add(env Envelope) (int, error) {
	if err := validate(env); err != nil {
		return 0, err
	}
	w := pack(env, e.ends)
	for _, n := range w.names() {
		e.ring.shorten(n)
	}
	e.seqs.shorten(&w)
	data, err := encMode.Marshal(w)
	if err != nil {
		return 0, inside(env.Class().String(), err)
	}
	e.items = append(e.items, data)
	e.size += len(data)
	return len(data), nil
}

// SetStamp gives the next frame the sender's clock. Frames carry only what it has advanced by since the one before.
func (e *Encoder) SetStamp(s timeline.Stamp) { e.stamp = s }

// Full reports whether the frame must be taken before another message is added.
func (e *Encoder) Full() bool { return e.size >= fullFrame || len(e.items) >= MaxEnvelopes }

// Take returns the frame and starts a new one. It returns nil when no message was added.
func (e *Encoder) Take() ([]byte, error) {
	if len(e.items) == 0 {
		return nil, nil
	}
	data, err := encMode.Marshal(e.stamped())
	e.items = e.items[:0]
	e.size = 0
	if err != nil {
		return nil, inside("envelopes", err)
	}
	if len(data) > MaxFrame {
		return nil, at("frame", ErrTooLarge)
	}
	return data, nil
}

// stamped returns the items after the advance of the clock, if it has one.
func (e *Encoder) stamped() []any {
	list := make([]any, 0, len(e.items)+1)
	if e.stamp > e.last {
		list = append(list, uint64(e.stamp-e.last))
		e.last = e.stamp
	}
	for _, item := range e.items {
		list = append(list, item)
	}
	return list
}

// Decoder reads the frames of one direction of one connection, in the order in which they were encoded. Not safe for
// concurrent use.
type Decoder struct {
	ends ends
	ring ring
	seqs sequences
	// last is the sender's clock in the latest frame that had one.
	last timeline.Stamp
}

// NewDecoder returns a decoder for frames from the sender to the receiver.
func NewDecoder(sender, receiver Party) *Decoder {
	return &Decoder{ends: ends{sender: sender, receiver: receiver}}
}

// Decode reads a frame. After an error (*FormatError) the decoder must not be used again.
func (d *Decoder) Decode(data []byte) (Frame, error) {
	f := Frame{Router: d.ends.sender.Router, Incarnation: d.ends.sender.Incarnation}
	if len(data) > MaxFrame {
		return f, at("frame", ErrTooLarge)
	}
	var items []cbor.RawMessage
	if err := decMode.Unmarshal(data, &items); err != nil {
		return f, at("frame", err)
	}
	items, err := d.stamp(items)
	if err != nil {
		return f, inside("stamp", err)
	}
	f.Stamp = d.last
	for i, item := range items {
		env, err := d.envelope(item)
		if err != nil {
			return f, inside(place("envelopes", i), err)
		}
		f.Envelopes = append(f.Envelopes, env)
		f.Sizes = append(f.Sizes, len(item))
	}
	return f, nil
}

// stamp takes the advance of the sender's clock off a frame, if it has one. It is the only item that is a number.
func (d *Decoder) stamp(items []cbor.RawMessage) ([]cbor.RawMessage, error) {
	const unsignedMajorType = 0
	if len(items) == 0 || len(items[0]) == 0 || items[0][0]>>5 != unsignedMajorType {
		return items, nil
	}
	var advance uint64
	if err := decMode.Unmarshal(items[0], &advance); err != nil {
		return nil, err
	}
	if advance > maxStamp-uint64(d.last) {
		return nil, ErrRange
	}
	d.last += timeline.Stamp(advance)
	return items[1:], nil
}

// envelope reads one message.
func (d *Decoder) envelope(data []byte) (Envelope, error) {
	var w wireEnvelope
	if err := decMode.Unmarshal(data, &w); err != nil {
		return Envelope{}, fieldError(err)
	}
	if w.count() != 1 {
		return Envelope{}, at("message", ErrNotOne)
	}
	for _, n := range w.names() {
		if err := d.ring.expand(n); err != nil {
			return Envelope{}, err
		}
	}
	d.seqs.expand(&w)
	env, err := unpack(w, d.ends)
	if err != nil {
		return Envelope{}, err
	}
	return env, validate(env)
}

// fieldError takes the place from an error of the CBOR library where it has one.
func fieldError(err error) error {
	var typed *cbor.UnmarshalTypeError
	if errors.As(err, &typed) && typed.StructFieldName != "" {
		return at(typed.StructFieldName, err)
	}
	return at("message", err)
}
