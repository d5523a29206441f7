package engine

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
)

// Limits of a completion stream.
const (
	// DefaultMaxEventBytes bounds one event.
	DefaultMaxEventBytes = 256 << 10
	// DefaultMaxStreamBytes bounds a whole stream.
	DefaultMaxStreamBytes = 64 << 20
	// MaxTokenIndex bounds token indexes and counts.
	MaxTokenIndex = 1 << 24
)

var (
	dataField = []byte("data")
	doneMark  = []byte("[DONE]")
)

// StreamOptions set what a decoder expects.
type StreamOptions struct {
	// RequestID is the id that every event must carry.
	RequestID string
	// ResumeAt is the index of the first token expected.
	ResumeAt int
	// MaxEventBytes bounds one event. Default DefaultMaxEventBytes.
	MaxEventBytes int
	// MaxStreamBytes bounds the stream. Default DefaultMaxStreamBytes.
	MaxStreamBytes int64
}

// Event is a checked part of a completion.
type Event struct {
	// Index is the index of the first token, from 0; Tokens is the number of tokens.
	Index, Tokens int
	Text          string
	// FinishReason is set in the last event.
	FinishReason string
	// Usage is set in the last event.
	Usage *Usage
}

// StreamDecoder reads the server-sent events of a completion and checks that tokens are consecutive, that they belong
// to the request, and that the stream is whole. It is used by one goroutine.
type StreamDecoder struct {
	opts  StreamOptions
	lines *lineReader
	data  []byte
	next  int
	done  bool
}

// NewStreamDecoder reads from r.
func NewStreamDecoder(r io.Reader, opts StreamOptions) *StreamDecoder {
	if opts.MaxEventBytes == 0 {
		opts.MaxEventBytes = DefaultMaxEventBytes
	}
	if opts.MaxStreamBytes == 0 {
		opts.MaxStreamBytes = DefaultMaxStreamBytes
	}
	return &StreamDecoder{
		opts:  opts,
		lines: newLineReader(r, opts.MaxEventBytes, opts.MaxStreamBytes),
		next:  opts.ResumeAt,
	}
}

// Next returns the next event. The last event is returned only after the end mark was read; then Next returns io.EOF.
// Other errors are *DecodeError.
func (d *StreamDecoder) Next() (Event, error) {
	if d.done {
		return Event{}, io.EOF
	}
	data, err := d.event()
	if err != nil {
		return Event{}, err
	}
	ev, err := d.decode(data)
	if err != nil || ev.FinishReason == "" {
		return ev, err
	}
	if err := d.endMark(); err != nil {
		return Event{}, err
	}
	d.done = true
	return ev, nil
}

// endMark reads the end mark that follows the last event.
func (d *StreamDecoder) endMark() error {
	data, err := d.event()
	if err != nil {
		return err
	}
	if !bytes.Equal(data, doneMark) {
		return malformed("data after the last event")
	}
	return nil
}

// event returns the data of the next server-sent event that has data.
func (d *StreamDecoder) event() ([]byte, error) {
	d.data = d.data[:0]
	seen := false
	for {
		line, err := d.lines.next()
		if err == io.EOF {
			return nil, &DecodeError{Kind: ErrTruncated, Detail: "no end mark", Cause: io.ErrUnexpectedEOF}
		}
		if err != nil {
			return nil, err
		}
		if len(line) == 0 {
			if seen {
				return d.data, nil
			}
			continue
		}
		if seen, err = d.field(line, seen); err != nil {
			return nil, err
		}
	}
}

// field adds a line's data to the event. Comments and other fields are ignored, as the format demands.
func (d *StreamDecoder) field(line []byte, seen bool) (bool, error) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	if !bytes.Equal(name, dataField) {
		return seen, nil
	}
	if seen {
		d.data = append(d.data, '\n')
	}
	d.data = append(d.data, bytes.TrimPrefix(value, []byte(" "))...)
	if len(d.data) > d.opts.MaxEventBytes {
		return seen, &DecodeError{Kind: ErrTooLarge, Detail: "event above the limit"}
	}
	return true, nil
}

func (d *StreamDecoder) decode(data []byte) (Event, error) {
	if bytes.Equal(data, doneMark) {
		return Event{}, &DecodeError{Kind: ErrTruncated, Detail: "end mark without a finish reason"}
	}
	var wire StreamEvent
	if err := json.Unmarshal(data, &wire); err != nil {
		return Event{}, malformed("event: %v", err)
	}
	if wire.ID != d.opts.RequestID {
		return Event{}, &DecodeError{Kind: ErrCrossed, Detail: fmt.Sprintf("event of request %.64q", wire.ID)}
	}
	if wire.Error != nil {
		return Event{}, &DecodeError{Kind: ErrEngine, Detail: wire.Error.Message}
	}
	if len(wire.Choices) == 0 {
		return Event{}, malformed("event without choices")
	}
	return d.check(wire.Choices[0], wire.Usage)
}

func (d *StreamDecoder) check(c Choice, usage *Usage) (Event, error) {
	if c.Tokens < 0 || c.Tokens > MaxTokenIndex || (c.Tokens == 0 && c.Text != "") {
		return Event{}, malformed("%d tokens with %d bytes of text", c.Tokens, len(c.Text))
	}
	if c.TokenIndex != d.next {
		detail := fmt.Sprintf("token %d where %d was expected", c.TokenIndex, d.next)
		return Event{}, &DecodeError{Kind: ErrOutOfOrder, Detail: detail}
	}
	d.next += c.Tokens
	if d.next > MaxTokenIndex {
		return Event{}, &DecodeError{Kind: ErrTooLarge, Detail: "too many tokens"}
	}
	ev := Event{Index: c.TokenIndex, Tokens: c.Tokens, Text: c.Text, FinishReason: c.FinishReason}
	if c.FinishReason == "" {
		return ev, nil
	}
	if usage == nil || usage.PromptTokens < 0 || usage.PromptTokens > MaxTokenIndex {
		return Event{}, malformed("last event without a valid usage")
	}
	if usage.CompletionTokens != d.next {
		detail := fmt.Sprintf("%d tokens received, usage says %d", d.next, usage.CompletionTokens)
		return Event{}, &DecodeError{Kind: ErrOutOfOrder, Detail: detail}
	}
	ev.Usage = usage
	return ev, nil
}

// WriteEvent writes one server-sent event.
func WriteEvent(w io.Writer, ev StreamEvent) error {
	data, err := json.Marshal(ev)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "data: %s\n\n", data)
	return err
}

// WriteDone writes the end mark.
func WriteDone(w io.Writer) error {
	_, err := fmt.Fprintf(w, "data: %s\n\n", doneMark)
	return err
}

// WriteKeepAlive writes a comment that shows that a waiting request is alive.
func WriteKeepAlive(w io.Writer) error {
	_, err := io.WriteString(w, ": waiting\n\n")
	return err
}
