package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// bytesConn is a connection that delivers fixed bytes.
type bytesConn struct {
	net.Conn
	in io.Reader
}

func (c *bytesConn) Read(p []byte) (int, error)      { return c.in.Read(p) }
func (c *bytesConn) SetReadDeadline(time.Time) error { return nil }

// FuzzResponseHead guards against panics, against heads beyond the limits that are accepted, and against excerpts that
// are too long.
func FuzzResponseHead(f *testing.F) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;x\r\nx\r\n0\r\nA: b\r\n\r\n",
		"HTTP/1.1 200 OK\r\n \r\n\r\n", "\r\n\r\n", "HTTP/1.1", strings.Repeat("HTTP/1.1 100 \r\n\r\n", 20),
	} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		raw := &bytesConn{in: strings.NewReader(text)}
		guard := &guardedReader{src: raw}
		c := &conn{Conn: raw, guard: guard, br: bufio.NewReaderSize(guard, readBufferBytes)}
		resp, err := readResponseHeader(c, &Request{Method: http.MethodPost})
		if err != nil {
			if invalid, ok := err.(*InvalidResponseError); ok && len(invalid.Excerpt) > maxExcerptBytes {
				t.Fatalf("excerpt of %d bytes", len(invalid.Excerpt))
			}
			return
		}
		lines := 0
		for name, values := range resp.Header {
			lines += len(values)
			if len(name) > maxHeadBytes+readBufferBytes {
				t.Fatalf("name of %d bytes", len(name))
			}
		}
		if lines > maxHeadLines+readBufferBytes {
			t.Fatalf("%d header lines", lines)
		}
		_, _ = io.Copy(io.Discard, resp.Body) // must not panic
	})
}
