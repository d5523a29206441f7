// Package endless is a stand-in for a server in trouble, which sends bytes without end until the caller closes the
// connection.
package endless

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"
)

// Bytes are what a server sends on a connection.
type Bytes struct {
	// Start is sent once, Repeated again and again.
	Start, Repeated string
	// Pause is the time between two blocks of 32 KB.
	Pause time.Duration
}

// blockBytes is the size of one write.
const blockBytes = 32 << 10

// Send sends the bytes until a write fails.
func (b Bytes) Send(w io.Writer) {
	if _, err := io.WriteString(w, b.Start); err != nil {
		return
	}
	block := []byte(strings.Repeat(b.Repeated, 1+blockBytes/len(b.Repeated)))
	for {
		if _, err := w.Write(block); err != nil {
			return
		}
		time.Sleep(b.Pause)
	}
}

// Heads returns the bytes of heads that do not end, by name.
func Heads() map[string]Bytes {
	return map[string]Bytes{
		"status line":  {Start: "", Repeated: "HTTP/1.1"},
		"header line":  {Start: "HTTP/1.1 200 OK\r\nX: ", Repeated: "x"},
		"header lines": {Start: "HTTP/1.1 200 OK\r\n", Repeated: "A: b\r\n"},
		"folded lines": {Start: "HTTP/1.1 200 OK\r\nX: y\r\n", Repeated: " z\r\n"},
		"early hints":  {Start: "", Repeated: "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"empty lines":  {Start: "", Repeated: "\r\n"},
		"no answer":    {Start: "", Repeated: "\x00\xff"},
	}
}

// Listen starts a server on loopback that reads one request on each connection and then sends the bytes. It returns its
// address. The server ends with the test.
func Listen(t testing.TB, b Bytes) string {
	t.Helper()
	return Serve(t, b.serve)
}

// Serve starts a TCP server on loopback that calls handle for each connection and then closes it. It returns its address.
// The server ends with the test.
func Serve(t testing.TB, handle func(c net.Conn)) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				handle(c)
			}()
		}
	}()
	return listener.Addr().String()
}

// serve reads one request and sends the bytes.
func (b Bytes) serve(c net.Conn) {
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	b.Send(c)
}

// HeapGrowth returns by how many bytes the heap grows at most while f runs.
func HeapGrowth(f func()) int64 {
	runtime.GC()
	var before, now runtime.MemStats
	runtime.ReadMemStats(&before)
	done := make(chan struct{})
	go func() {
		defer close(done)
		f()
	}()
	highest := int64(0)
	ticker := time.NewTicker(heapSamplePeriod)
	defer ticker.Stop()
	for {
		runtime.ReadMemStats(&now)
		highest = max(highest, int64(now.HeapAlloc)-int64(before.HeapAlloc))
		select {
		case <-done:
			return highest
		case <-ticker.C:
		}
	}
}

// heapSamplePeriod is how often HeapGrowth measures the heap.
const heapSamplePeriod = 5 * time.Millisecond
