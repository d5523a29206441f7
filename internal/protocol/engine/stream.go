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
	// MaxTokenIndex bounds token indexes and token counts.
	MaxTokenIndex = 1 << 24
)

var (
	dataField  = []byte("data")
	doneMarker = []byte("[DONE]")
)

// StreamOptions are the options of a StreamDecoder.
type StreamOptions struct {
	// RequestID is the id that every event must have.
	RequestID string
	// ResumeAt is the index of the first token expected.
	ResumeAt int
	// MaxEventBytes bounds one event. 0 means DefaultMaxEventBytes.
	MaxEventBytes int
	// MaxStreamBytes bounds the whole stream. 0 means DefaultMaxStreamBytes.
	MaxStreamBytes int64
}

// Event is a validated part of a completion.
type Event struct {
	// Index is the index of the first token, from 0; Tokens is the number of tokens.
	Index, Tokens int
	Text          string
	// FinishReason is set in the last event.
	FinishReason string
	// Usage is set in the last event.
	Usage *Usage
}

// StreamDecoder decodes the server-sent events of a completion. It checks that tokens are consecutive, that they belong
// to the request, and that the stream is complete. It is not safe for concurrent use.
type StreamDecoder struct {
	opts      StreamOptions
	lines     *lineReader
	data      []byte
	nextToken int
	done      bool
}

// NewStreamDecoder returns a decoder that reads from r.
func NewStreamDecoder(r io.Reader, opts StreamOptions) *StreamDecoder {
	if opts.MaxEventBytes == 0 {
		opts.MaxEventBytes = DefaultMaxEventBytes
	}
	if opts.MaxStreamBytes == 0 {
		opts.MaxStreamBytes = DefaultMaxStreamBytes
	}
	return &StreamDecoder{
		opts:      opts,
		lines:     newLineReader(r, opts.MaxEventBytes, opts.MaxStreamBytes),
		nextToken: opts.ResumeAt,
	}
}

// Next returns the next event. It returns the last event only after it has read the [DONE] marker, and io.EOF after
// that. Other errors are of type *DecodeError.
func (d *StreamDecoder) Next() (Event, error) {
	if d.done {
		return Event{}, io.EOF
	}
	data, err := d.readEventData()
	if err != nil {
		return Event{}, err
	}
	ev, err := d.decodeEvent(data)
	if err != nil || ev.FinishReason == "" {
		return ev, err
	}
	if err := d.readDoneMarker(); err != nil {
		return Event{}, err
	}
	d.done = true
	return ev, nil
}

// readDoneMarker reads the [DONE] marker, which must follow the last event.
func (d *StreamDecoder) readDoneMarker() error {
	data, err := d.readEventData()
	if err != nil {
		return err
	}
	if !bytes.Equal(data, doneMarker) {
		return malformed("data after the last event")
	}
	return nil
}

// readEventData returns the data of the next server-sent event that has data.
func (d *StreamDecoder) readEventData() ([]byte, error) {
	d.data = d.data[:0]
	hasData := false
	for {
		line, err := d.lines.next()
		if err == io.EOF {
			return nil, &DecodeError{Kind: ErrTruncated, Detail: "no [DONE] marker", Cause: io.ErrUnexpectedEOF}
		}
		if err != nil {
			return nil, err
		}
		if len(line) == 0 {
			if hasData {
				return d.data, nil
			}
			continue
		}
		if hasData, err = d.appendData(line, hasData); err != nil {
			return nil, err
		}
	}
}

// appendData appends the value of a data line to the event and reports whether the event has data. It ignores comments
// and other fields, as the event stream format requires.
func (d *StreamDecoder) appendData(line []byte, hasData bool) (bool, error) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	if !bytes.Equal(name, dataField) {
		return hasData, nil
	}
	if hasData {
		d.data = append(d.data, '\n')
	}
	d.data = append(d.data, bytes.TrimPrefix(value, []byte(" "))...)
	if len(d.data) > d.opts.MaxEventBytes {
		return hasData, &DecodeError{Kind: ErrTooLarge, Detail: "event exceeds the size limit"}
	}
	return true, nil
}

// decodeEvent decodes and validates the data of an event.
func (d *StreamDecoder) decodeEvent(data []byte) (Event, error) {
	if bytes.Equal(data, doneMarker) {
		return Event{}, &DecodeError{Kind: ErrTruncated, Detail: "[DONE] marker without a finish reason"}
	}
	var wire StreamEvent
	if err := json.Unmarshal(data, &wire); err != nil {
		return Event{}, malformed("event: %v", err)
	}
	if wire.ID != d.opts.RequestID {
		return Event{}, &DecodeError{Kind: ErrWrongRequest, Detail: fmt.Sprintf("event of request %.64q", wire.ID)}
	}
	if wire.Error != nil {
		return Event{}, &DecodeError{Kind: ErrEngine, Detail: wire.Error.Message}
	}
	if len(wire.Choices) == 0 {
		return Event{}, malformed("event without choices")
	}
	return d.checkChoice(wire.Choices[0], wire.Usage)
}

// checkChoice validates a choice against the tokens received so far and, in the last event, against the usage.
func (d *StreamDecoder) checkChoice(c Choice, usage *Usage) (Event, error) {
	if c.Tokens < 0 || c.Tokens > MaxTokenIndex || (c.Tokens == 0 && c.Text != "") {
		return Event{}, malformed("%d tokens with %d bytes of text", c.Tokens, len(c.Text))
	}
	if c.TokenIndex != d.nextToken {
		detail := fmt.Sprintf("token index %d, expected %d", c.TokenIndex, d.nextToken)
		return Event{}, &DecodeError{Kind: ErrOutOfOrder, Detail: detail}
	}
	d.nextToken += c.Tokens
	if d.nextToken > MaxTokenIndex {
		return Event{}, &DecodeError{Kind: ErrTooLarge, Detail: "too many tokens"}
	}
	ev := Event{Index: c.TokenIndex, Tokens: c.Tokens, Text: c.Text, FinishReason: c.FinishReason}
	if c.FinishReason == "" {
		return ev, nil
	}
	if usage == nil || usage.PromptTokens < 0 || usage.PromptTokens > MaxTokenIndex {
		return Event{}, malformed("last event has no valid usage")
	}
	if usage.CompletionTokens != d.nextToken {
		detail := fmt.Sprintf("%d tokens received, but usage states %d", d.nextToken, usage.CompletionTokens)
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

// WriteDone writes the [DONE] marker, which ends a stream.
func WriteDone(w io.Writer) error {
	_, err := fmt.Fprintf(w, "data: %s\n\n", doneMarker)
	return err
}

// WriteKeepAlive writes a comment, which keeps the stream of a waiting request alive.
func WriteKeepAlive(w io.Writer) error {
	_, err := io.WriteString(w, ": waiting\n\n")
	return err
}
