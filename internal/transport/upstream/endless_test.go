package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"gooseberrytide.example/gooseberrytide/test/standin/endless"
)

// maxHeapGrowth is the heap that one request to a server that sends without end may take, in bytes.
const maxHeapGrowth = 4 << 20

// Guards against a router that runs out of memory because a server sends a response head that does not end.
func TestEndlessResponseHeads(t *testing.T) {
	kinds := endless.Heads()
	kinds["other responses"] = endless.Bytes{
		Repeated: "HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nContent-Length: 1\r\n\r\nx",
	}
	for name, kind := range kinds {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			address := endless.Listen(t, kind)
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			var err error
			growth := endless.HeapGrowth(func() { _, err = New(Options{}).Do(ctx, testRequest(address, "a", "call")) })
			g.Expect(growth).To(BeNumerically("<", maxHeapGrowth))
			var invalid *InvalidResponseError
			g.Expect(errors.As(err, &invalid)).To(BeTrue(), "%v", err)
			g.Expect(len(invalid.Excerpt)).To(BeNumerically("<=", maxExcerptBytes))
			g.Expect(ctx.Err()).NotTo(HaveOccurred(), "the request failed as soon as a limit was exceeded")
		})
	}
}

// Guards against memory that grows with a body without end: chunk extensions and trailers that do not end.
func TestEndlessChunkHeads(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, kind := range map[string]endless.Bytes{
		"chunk head":      {Start: head, Repeated: "1"},
		"chunk extension": {Start: head + "1;", Repeated: "x"},
		"trailer":         {Start: head + "1\r\nx\r\n0\r\n", Repeated: "A: b\r\n"},
		"tiny chunks":     {Start: head, Repeated: "1;" + strings.Repeat("a", 80) + "\r\nx\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			address := endless.Listen(t, kind)
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			growth := endless.HeapGrowth(func() {
				resp, err := New(Options{}).Do(ctx, testRequest(address, "a", "call"))
				g.Expect(err).NotTo(HaveOccurred())
				defer resp.Close()
				_, err = io.Copy(io.Discard, resp)
				g.Expect(err).To(HaveOccurred())
			})
			g.Expect(growth).To(BeNumerically("<", maxHeapGrowth))
			g.Expect(ctx.Err()).NotTo(HaveOccurred(), "reading failed as soon as a limit was exceeded")
		})
	}
}

// Guards against bytes after a complete response, without end, that break that response or reach the next request.
func TestEndlessBytesAfterACompleteResponse(t *testing.T) {
	g := NewWithT(t)
	address := rawServer(t, func(c net.Conn, br *bufio.Reader) {
		r, err := readRequest(br)
		if err != nil {
			return
		}
		endless.Bytes{Start: responseText(r.Header.Get("Attempt-Id"), "ok") + "stray", Repeated: "stray"}.Send(c)
	})
	p := New(Options{})
	for _, id := range []string{"a", "b"} {
		body, err := sendAndRead(t, p, testRequest(address, id, "call"))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(body).To(Equal("ok"))
		time.Sleep(20 * time.Millisecond)
	}
	p.Retain(func(string) bool { return true })
	p.mu.Lock()
	defer p.mu.Unlock()
	g.Expect(p.idle).To(BeEmpty(), "an idle connection on which bytes arrive is closed")
}

// Guards against a wait for the end of a body that is only read so that the connection can be reused.
func TestDiscardIsBounded(t *testing.T) {
	g := NewWithT(t)
	const start = "HTTP/1.1 503 Busy\r\nAttempt-Id: a\r\n\r\nx"
	for _, serve := range []func(c net.Conn){
		func(c net.Conn) { endless.Bytes{Start: start, Repeated: "x"}.Send(c) },
		func(c net.Conn) {
			_, _ = io.WriteString(c, start)
			time.Sleep(3 * time.Second) // the body neither goes on nor ends
		},
	} {
		address := rawServer(t, func(c net.Conn, br *bufio.Reader) {
			if _, err := readRequest(br); err == nil {
				serve(c)
			}
		})
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		resp, err := New(Options{}).Do(ctx, testRequest(address, "a", "call"))
		g.Expect(err).NotTo(HaveOccurred())
		start := time.Now()
		resp.Discard()
		g.Expect(time.Since(start)).To(BeNumerically("<", time.Second))
		resp.Close()
		cancel()
	}
}
