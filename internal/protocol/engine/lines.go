package engine

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// readBufferBytes is the size of the read buffer of a decoder.
const readBufferBytes = 4 << 10

// lineReader reads lines of bounded length and counts all bytes.
type lineReader struct {
	in       *bufio.Reader
	maxLine  int
	maxTotal int64 // 0: no bound
	total    int64
	buf      []byte
}

func newLineReader(r io.Reader, maxLine int, maxTotal int64) *lineReader {
	return &lineReader{in: bufio.NewReaderSize(r, readBufferBytes), maxLine: maxLine, maxTotal: maxTotal}
}

// next returns the next line without its end. The slice is valid until the next call. An incomplete last line is an
// error of kind ErrTruncated; a clean end is io.EOF.
func (l *lineReader) next() ([]byte, error) {
	l.buf = l.buf[:0]
	for {
		part, err := l.in.ReadSlice('\n')
		l.total += int64(len(part))
		if len(l.buf)+len(part) > l.maxLine {
			return nil, &DecodeError{Kind: ErrTooLarge, Detail: "line above the limit"}
		}
		if l.maxTotal > 0 && l.total > l.maxTotal {
			return nil, &DecodeError{Kind: ErrTooLarge, Detail: "stream above the limit"}
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
		return nil, &DecodeError{Kind: ErrTruncated, Detail: "stream cut", Cause: err}
	}
}

func trimLineEnd(line []byte) []byte {
	line = bytes.TrimSuffix(line, []byte("\n"))
	return bytes.TrimSuffix(line, []byte("\r"))
}
