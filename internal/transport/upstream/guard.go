package upstream

import (
	"bytes"
	"fmt"
	"io"

	"github.com/pkg/errors"
)

// Limits of the head of a response: the status line and the header lines, with the informational (1xx) responses before
// the final one. net/http has no limits of its own for them. It does limit the heads of chunks and the trailers: each
// must fit a connection's read buffer.
const (
	maxHeadBytes              = 16 << 10
	maxHeadLines              = 256
	maxInformationalResponses = 8
	// maxExcerptBytes is how much of a head is kept to be logged if the response is invalid.
	maxExcerptBytes = 64
)

// Errors of heads that exceed a limit.
var (
	errHeadTooLong          = errors.Errorf("head of the response exceeds %d bytes", maxHeadBytes)
	errTooManyLines         = errors.Errorf("head of the response exceeds %d lines", maxHeadLines)
	errTooManyInformational = errors.Errorf("more than %d informational responses", maxInformationalResponses)
	errInvalidStatus        = errors.New("status code of the response is below 100")
	errMismatchedResponses  = errors.New("received responses that belong to other requests")
)

// InvalidResponseError reports bytes that are not a valid HTTP response. Errors of the connection are not of this type.
type InvalidResponseError struct {
	// Excerpt is the beginning of what the server sent, at most maxExcerptBytes long.
	Excerpt string
	// Unbounded is set if the bytes exceed a limit, so that they might never end.
	Unbounded bool
	Err       error
}

// Error implements error. Control characters of the excerpt are escaped.
func (e *InvalidResponseError) Error() string {
	return fmt.Sprintf("invalid response: %v, starting with %+q", e.Err, e.Excerpt)
}

// Unwrap returns the cause.
func (e *InvalidResponseError) Unwrap() error { return e.Err }

// guardedReader reads from a connection and bounds the heads of responses.
type guardedReader struct {
	src io.Reader
	// received is the number of bytes read.
	received int64
	// err is the last error of src.
	err error
	// reading is set while a head is read. bytesLeft and linesLeft are what is left of its limits, and exceeded is the
	// error of a limit that it exceeded.
	reading   bool
	bytesLeft int
	linesLeft int
	exceeded  error
	// lineLength is the length of the present line so far, without carriage returns.
	lineLength int
	excerpt    [maxExcerptBytes]byte
	// excerptLength is the number of valid bytes in excerpt.
	excerptLength int
}

// startResponse sets the limits for the head of a response. buffered are its bytes that were read already.
func (g *guardedReader) startResponse(buffered []byte) {
	g.bytesLeft, g.linesLeft, g.exceeded = maxHeadBytes, maxHeadLines, nil
	g.excerptLength = copy(g.excerpt[:], buffered)
	g.startHead()
}

// startHead bounds the next head by what is left of the limits.
func (g *guardedReader) startHead() { g.reading, g.lineLength = true, 0 }

// endHead ends the limits. A body is not bounded.
func (g *guardedReader) endHead() { g.reading = false }

// Read implements io.Reader.
func (g *guardedReader) Read(p []byte) (int, error) {
	if g.reading {
		if g.bytesLeft == 0 {
			g.exceed(errHeadTooLong)
		}
		if g.exceeded != nil {
			return 0, g.exceeded
		}
		p = p[:min(len(p), g.bytesLeft)]
	}
	n, err := g.src.Read(p)
	g.received += int64(n)
	if err != nil {
		g.err = err
	}
	if g.reading {
		g.count(p[:n])
	}
	return n, err
}

// count counts bytes of a head until the empty line that ends it.
func (g *guardedReader) count(data []byte) {
	g.bytesLeft -= len(data)
	g.excerptLength += copy(g.excerpt[g.excerptLength:], data)
	for len(data) > 0 {
		line, rest, ended := bytes.Cut(data, []byte("\n"))
		g.lineLength += len(bytes.TrimSuffix(line, []byte("\r")))
		data = rest
		if !ended {
			return
		}
		if g.lineLength == 0 {
			g.endHead()
			return
		}
		g.lineLength = 0
		g.linesLeft--
		if g.linesLeft < 0 {
			g.exceed(errTooManyLines)
			return
		}
	}
}

func (g *guardedReader) exceed(err error) {
	if g.exceeded == nil {
		g.exceeded = err
	}
}

// classify returns an InvalidResponseError for an error of the codec, and the error itself if the connection failed.
func (g *guardedReader) classify(err error) error {
	var known *InvalidResponseError
	switch {
	case err == nil || err == io.EOF || errors.As(err, &known):
		return err
	case g.exceeded != nil:
		return g.invalid(g.exceeded, true)
	case g.err != nil:
		return err
	default:
		return g.invalid(err, errors.Is(err, errTooManyInformational))
	}
}

func (g *guardedReader) invalid(err error, unbounded bool) error {
	return &InvalidResponseError{Excerpt: string(g.excerpt[:g.excerptLength]), Unbounded: unbounded, Err: err}
}
