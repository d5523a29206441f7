package offload

import (
	"io"
	"net"
	"strings"
	"testing"
)

// textConn is a connection that delivers a fixed text in pieces of at most chunk bytes.
type textConn struct {
	net.Conn
	in    io.Reader
	chunk int
}

func (c *textConn) Read(p []byte) (int, error) { return c.in.Read(p[:min(len(p), c.chunk)]) }

// FuzzRequestHead guards against panics, and against bytes of a connection that are lost or changed before they are
// forwarded.
func FuzzRequestHead(f *testing.F) {
	f.Add("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nok", 7)
	f.Add("\r\n\r\n", 1)
	f.Add(strings.Repeat("A", bufferBytes+5), 100)
	f.Fuzz(func(t *testing.T, text string, chunk int) {
		buf := new(buffer)
		head, complete := readHeader(&textConn{in: strings.NewReader(text), chunk: max(chunk, 1)}, buf)
		if !strings.HasPrefix(text, string(head)) {
			t.Fatalf("read %q of %q", head, text)
		}
		if complete && !strings.Contains(string(head), string(headerEnd)) {
			t.Fatalf("%q counts as complete", head)
		}
		_, _ = parseRequest(head) // must not panic
	})
}
