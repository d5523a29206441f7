package engine

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// readBufferBytes is the size of the read buffer of a decoder.
const readBufferBytes = 4 << 10

// lineReader reads lines of bounded length from a stream of bounded length. Both bounds are in bytes.
type lineReader struct {
	in       *bufio.Reader
	maxLine  int
	maxTotal int64 // 0 means no bound
	total    int64
	buf      []byte
}

func newLineReader(r io.Reader, maxLine int, maxTotal int64) *lineReader {
	return &lineReader{in: bufio.NewReaderSize(r, readBufferBytes), maxLine: maxLine, maxTotal: maxTotal}
}

// next returns the next line without its line ending. The slice is valid until the next call. It returns io.EOF at the
// end of the stream, and a *DecodeError of kind ErrTruncated if the stream ends within a line or a read fails.
func (l *lineReader) next() ([]byte, error) {
	l.buf = l.buf[:0]
	for {
		part, err := l.in.ReadSlice('\n')
		l.total += int64(len(part))
		if len(l.buf)+len(part) > l.maxLine {
			return nil, &DecodeError{Kind: ErrTooLarge, Detail: "line exceeds the size limit"}
		}
		if l.maxTotal > 0 && l.total > l.maxTotal {
			return nil, &DecodeError{Kind: ErrTooLarge, Detail: "stream exceeds the size limit"}
		}
		l.buf = append(l.buf, part...)
		if err == nil {
			return trimLineEnd(l.buf), nil
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err == io.EOF && len(l.buf) == 0 {
			return nil, io.EOF
		}
		return nil, &DecodeError{Kind: ErrTruncated, Detail: "stream ended within a line", Cause: err}
	}
}

func trimLineEnd(line []byte) []byte {
	line = bytes.TrimSuffix(line, []byte("\n"))
	return bytes.TrimSuffix(line, []byte("\r"))
}
