package eventstream

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/pkg/errors"
)

// maxEventBytes bounds one event.
const maxEventBytes = 1 << 20

// readerBytes holds several events of the usual size.
const readerBytes = 4 << 10

var (
	// ErrTruncated reports a stream that ends inside an event.
	ErrTruncated = errors.New("eventstream: ends inside an event")
	// ErrTooLarge reports an event above the bound.
	ErrTooLarge = errors.New("eventstream: event too large")
	// ErrGap reports an event whose ID does not follow the one before it.
	ErrGap = errors.New("eventstream: IDs do not follow one another")
)

// Event is one event.
type Event struct {
	// Raw is the event as it was read, with its blank line. It is valid until the next read.
	Raw []byte
	// ID is the event's ID; HasID tells whether it has one that is a number.
	ID    int64
	HasID bool
}

// Reader reads whole events.
type Reader struct {
	in  *bufio.Reader
	buf []byte
}

// NewReader returns a reader of a stream.
func NewReader(r io.Reader) *Reader {
	return &Reader{in: bufio.NewReaderSize(r, readerBytes)}
}

// Buffered reports whether another whole event can be read without waiting.
func (r *Reader) Buffered() bool {
	waiting, err := r.in.Peek(r.in.Buffered())
	return err == nil && (bytes.Contains(waiting, []byte("\n\n")) || bytes.Contains(waiting, []byte("\n\r\n")))
}

// Next returns the next event. It returns io.EOF at the end of a whole stream.
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
		if id, ok := parseID(line); ok {
			e.ID, e.HasID = id, true
		}
	}
}

// readLine appends a line with its end to the buffer.
func (r *Reader) readLine() error {
	for {
		part, err := r.in.ReadSlice('\n')
		r.buf = append(r.buf, part...)
		if len(r.buf) > maxEventBytes {
			return ErrTooLarge
		}
		if err != bufio.ErrBufferFull {
			return err
		}
	}
}

func parseID(line []byte) (int64, bool) {
	value, ok := bytes.CutPrefix(line, []byte("id:"))
	if !ok {
		return 0, false
	}
	id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
	return id, err == nil
}

// Sequence checks that events of one answer follow one another.
type Sequence struct {
	last  int64
	known bool
}

// After returns a sequence that goes on after an ID. A text that is not a number starts a new sequence.
func After(lastEvent string) Sequence {
	id, err := strconv.ParseInt(lastEvent, 10, 64)
	return Sequence{last: id, known: err == nil}
}

// Check takes the next event. An event without an ID is always in order.
func (s *Sequence) Check(e Event) error {
	if !e.HasID {
		return nil
	}
	if s.known && e.ID != s.last+1 {
		return errors.Wrapf(ErrGap, "%d after %d", e.ID, s.last)
	}
	s.last, s.known = e.ID, true
	return nil
}

// Last returns the ID of the last event, or an empty text before the first.
func (s *Sequence) Last() string {
	if !s.known {
		return ""
	}
	return strconv.FormatInt(s.last, 10)
}
