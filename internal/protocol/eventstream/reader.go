package eventstream

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/pkg/errors"
)

// maxEventBytes bounds one event. An event holds some tens of tokens. The events that a small router reads at the same
// time must fit its memory.
const maxEventBytes = 32 << 10

// maxExcerptBytes is how much of an event that is too large is shown in the error.
const maxExcerptBytes = 64

// readBufferBytes is the size of the read buffer. It holds several events of typical size.
const readBufferBytes = 4 << 10

var (
	// ErrTruncated reports a stream that ends within an event.
	ErrTruncated = errors.New("eventstream: stream ends within an event")
	// ErrTooLarge reports an event that exceeds maxEventBytes.
	ErrTooLarge = errors.New("eventstream: event too large")
	// ErrNoID reports a continued stream that does not begin with an event with an ID.
	ErrNoID = errors.New("eventstream: first event of a continued stream has no ID")
	// ErrGap reports an event whose ID is not the previous ID plus one.
	ErrGap = errors.New("eventstream: event IDs are not consecutive")
)

// Event is one event of a stream.
type Event struct {
	// Raw is the event as it was read, including the blank line that ends it. It is valid until the next read.
	Raw []byte
	// ID is the event's ID. HasID reports whether the event has an ID that is a number.
	ID    int64
	HasID bool
	// HasFields is set if the event does not consist of comments only.
	HasFields bool
}

// Reader reads whole events from a stream.
type Reader struct {
	in  *bufio.Reader
	buf []byte
}

// NewReader returns a reader of the events in r.
func NewReader(r io.Reader) *Reader {
	return &Reader{in: bufio.NewReaderSize(r, readBufferBytes)}
}

// Buffered reports whether another whole event can be read without blocking.
func (r *Reader) Buffered() bool {
	buffered, err := r.in.Peek(r.in.Buffered())
	return err == nil && (bytes.Contains(buffered, []byte("\n\n")) || bytes.Contains(buffered, []byte("\n\r\n")))
}

// Next returns the next event. It returns io.EOF if the stream ends after a whole event, ErrTruncated if it ends within
// one, and an error that wraps ErrTooLarge if an event exceeds maxEventBytes.
func (r *Reader) Next() (Event, error) {
	r.buf = r.buf[:0]
	var e Event
	for {
		start := len(r.buf)
		if err := r.readLine(); err != nil {
			if err == io.EOF && len(r.buf) > 0 {
				err = ErrTruncated
			}
			return Event{}, err
		}
		line := bytes.TrimRight(r.buf[start:], "\r\n")
		if len(line) == 0 {
			e.Raw = r.buf
			return e, nil
		}
		if line[0] != ':' {
			e.HasFields = true
		}
		if id, ok := parseID(line); ok {
			e.ID, e.HasID = id, true
		}
	}
}

// readLine appends the next line, including its line ending, to the buffer.
func (r *Reader) readLine() error {
	for {
		part, err := r.in.ReadSlice('\n')
		r.buf = append(r.buf, part...)
		if len(r.buf) > maxEventBytes {
			return errors.Wrapf(ErrTooLarge, "starting with %+q", r.buf[:maxExcerptBytes])
		}
		if err != bufio.ErrBufferFull {
			return err
		}
	}
}

// parseID returns the ID in an id line. It reports false for other lines and for IDs that are not numbers.
func parseID(line []byte) (int64, bool) {
	value, ok := bytes.CutPrefix(line, []byte("id:"))
	if !ok {
		return 0, false
	}
	id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
	return id, err == nil
}

// Sequence checks that the IDs of the events of one response are consecutive, also across several streams.
type Sequence struct {
	last    int64
	hasLast bool
}

// NewSequence returns a sequence that continues after the given ID. If the ID is not a number, the sequence starts with
// the first event that has an ID.
func NewSequence(lastEventID string) Sequence {
	id, err := strconv.ParseInt(lastEventID, 10, 64)
	return Sequence{last: id, hasLast: err == nil}
}

// Check returns an error that wraps ErrGap if the event does not continue the sequence. Events without an ID are always
// accepted.
func (s *Sequence) Check(e Event) error {
	if !e.HasID {
		return nil
	}
	if s.hasLast && e.ID != s.last+1 {
		return errors.Wrapf(ErrGap, "%d after %d", e.ID, s.last)
	}
	s.last, s.hasLast = e.ID, true
	return nil
}

// LastID returns the ID of the last event, or an empty string if there is none yet.
func (s *Sequence) LastID() string {
	if !s.hasLast {
		return ""
	}
	return strconv.FormatInt(s.last, 10)
}
