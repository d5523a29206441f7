package peer

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"gooseberrytide.example/gooseberrytide/internal/state/timeline"
)

// Encoder encodes the frames of one direction of a connection. It is not safe for concurrent use.
type Encoder struct {
	endpoints endpoints
	ring      nameRing
	seqs      lastSeqs
	items     []cbor.RawMessage
	size      int
	// stamp is the sender's clock for the next frame. lastStamp is the clock in the previous frame.
	stamp, lastStamp timeline.Stamp
}

// NewEncoder returns an encoder for the frames from the sender to the receiver.
func NewEncoder(sender, receiver Endpoint) *Encoder {
	e := &Encoder{endpoints: endpoints{sender: sender, receiver: receiver}}
	e.ring.slotOf = make(map[string]uint64)
	return e
}

// Add appends a message to the frame and returns its encoded size in bytes. Errors are of type *FormatError and leave
// the frame unchanged.
func (e *Encoder) Add(env Envelope) (int, error) {
	if err := validate(env); err != nil {
		return 0, err
	}
	w := pack(env, e.endpoints)
	for _, n := range w.names() {
		e.ring.compress(n)
	}
	e.seqs.toDifference(&w)
	data, err := encMode.Marshal(w)
	if err != nil {
		return 0, prefixPlace(env.Class().String(), err)
	}
	e.items = append(e.items, data)
	e.size += len(data)
	return len(data), nil
}

// SetStamp sets the sender's clock for the next frame. A frame contains only the difference to the previous frame.
func (e *Encoder) SetStamp(s timeline.Stamp) { e.stamp = s }

// Full reports whether the caller must call Take before it adds another message.
func (e *Encoder) Full() bool { return e.size >= fullFrameBytes || len(e.items) >= MaxEnvelopes }

// Take returns the encoded frame and starts a new one. It returns nil if no message was added. Errors are of type
// *FormatError.
func (e *Encoder) Take() ([]byte, error) {
	if len(e.items) == 0 {
		return nil, nil
	}
	data, err := encMode.Marshal(e.frameItems())
	e.items = e.items[:0]
	e.size = 0
	if err != nil {
		return nil, prefixPlace("envelopes", err)
	}
	if len(data) > MaxFrameBytes {
		return nil, errorAt("frame", ErrTooLarge)
	}
	return data, nil
}

// frameItems returns the elements of the frame: the difference of the clock, if it has advanced, and the messages.
func (e *Encoder) frameItems() []any {
	list := make([]any, 0, len(e.items)+1)
	if e.stamp > e.lastStamp {
		list = append(list, uint64(e.stamp-e.lastStamp))
		e.lastStamp = e.stamp
	}
	for _, item := range e.items {
		list = append(list, item)
	}
	return list
}

// Decoder decodes the frames of one direction of a connection, in the order in which they were encoded. It is not safe
// for concurrent use.
type Decoder struct {
	endpoints endpoints
	ring      nameRing
	seqs      lastSeqs
	// lastStamp is the sender's clock as of the latest frame.
	lastStamp timeline.Stamp
}

// NewDecoder returns a decoder for the frames from the sender to the receiver.
func NewDecoder(sender, receiver Endpoint) *Decoder {
	return &Decoder{endpoints: endpoints{sender: sender, receiver: receiver}}
}

// Decode decodes a frame. Errors are of type *FormatError; after an error the decoder must not be used again.
func (d *Decoder) Decode(data []byte) (Frame, error) {
	f := Frame{Router: d.endpoints.sender.Router, Incarnation: d.endpoints.sender.Incarnation}
	if len(data) > MaxFrameBytes {
		return f, errorAt("frame", ErrTooLarge)
	}
	var items []cbor.RawMessage
	if err := decMode.Unmarshal(data, &items); err != nil {
		return f, errorAt("frame", err)
	}
	items, err := d.takeStamp(items)
	if err != nil {
		return f, prefixPlace("stamp", err)
	}
	f.Stamp = d.lastStamp
	for i, item := range items {
		env, err := d.decodeEnvelope(item)
		if err != nil {
			return f, prefixPlace(elementPlace("envelopes", i), err)
		}
		f.Envelopes = append(f.Envelopes, env)
		f.Sizes = append(f.Sizes, len(item))
	}
	return f, nil
}

// takeStamp advances lastStamp by the clock difference at the start of a frame, if there is one, and returns the
// remaining items. The clock difference is the only item that is a number.
func (d *Decoder) takeStamp(items []cbor.RawMessage) ([]cbor.RawMessage, error) {
	const unsignedMajorType = 0
	if len(items) == 0 || len(items[0]) == 0 || items[0][0]>>5 != unsignedMajorType {
		return items, nil
	}
	var advance uint64
	if err := decMode.Unmarshal(items[0], &advance); err != nil {
		return nil, err
	}
	if advance > maxStamp-uint64(d.lastStamp) {
		return nil, ErrRange
	}
	d.lastStamp += timeline.Stamp(advance)
	return items[1:], nil
}

// decodeEnvelope decodes and validates one message.
func (d *Decoder) decodeEnvelope(data []byte) (Envelope, error) {
	var w wireEnvelope
	if err := decMode.Unmarshal(data, &w); err != nil {
		return Envelope{}, fieldError(err)
	}
	if w.count() != 1 {
		return Envelope{}, errorAt("message", ErrMessageCount)
	}
	for _, n := range w.names() {
		if err := d.ring.expand(n); err != nil {
			return Envelope{}, err
		}
	}
	d.seqs.fromDifference(&w)
	env, err := unpack(w, d.endpoints)
	if err != nil {
		return Envelope{}, err
	}
	return env, validate(env)
}

// fieldError converts an error of the CBOR library to a FormatError. The place is the field that the library reports,
// or else the message.
func fieldError(err error) error {
	var typeErr *cbor.UnmarshalTypeError
	if errors.As(err, &typeErr) && typeErr.StructFieldName != "" {
		return errorAt(typeErr.StructFieldName, err)
	}
	return errorAt("message", err)
}
