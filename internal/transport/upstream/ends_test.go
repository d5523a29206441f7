package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"gooseberrytide.example/gooseberrytide/internal/transport/sockopt"
	"gooseberrytide.example/gooseberrytide/test/standin/connend"
)

// serveUnframed starts a server that reads the head of a request, sends a response without a length and ends the
// connection.
func serveUnframed(t *testing.T, status int, body string, way connend.Way) (address string, ended <-chan struct{}) {
	t.Helper()
	done := make(chan struct{})
	address = rawServer(t, func(c net.Conn, br *bufio.Reader) {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if r.ContentLength < 1<<20 {
			_, _ = io.Copy(io.Discard, r.Body)
		}
		fmt.Fprintf(c, "HTTP/1.1 %d X\r\nAttempt-Id: %s\r\n\r\n%s", status, r.Header.Get("Attempt-Id"), body)
		time.Sleep(5 * time.Millisecond)
		way.End(c)
		close(done)
	})
	return address, done
}

// Guards against a part of a response without a length that looks whole because another call than that of the reader was
// told of the reset, and against whole ones that look broken.
func TestResetThatAnotherCallHasSeen(t *testing.T) {
	const body = "part"
	long := strings.Repeat("x", 16<<20)
	for _, c := range []struct {
		name, upload string
		status       int
		way          connend.Way
		whole        bool
		// takes makes a peek take the error of the connection before the reader asks for it.
		takes bool
	}{
		{"closed", "short", 200, connend.Close, true, true},
		{"reset", "short", 200, connend.Reset, false, false},
		{"reset, seen by a peek", "short", 200, connend.Reset, false, true},
		{"closed, then reset, seen by a peek", "short", 200, connend.CloseThenReset, true, true},
		{"upload, reset, seen by the writer", long, 200, connend.Reset, false, false},
		{"upload, refused, reset, seen by the writer", long, 413, connend.Reset, false, false},
		{"upload, closed, then reset", long, 200, connend.CloseThenReset, false, false},
		{"upload, refused, closed, then reset", long, 413, connend.CloseThenReset, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			address, ended := serveUnframed(t, c.status, body, c.way)
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			resp, err := New(Options{}).Do(ctx, testRequest(address, "a", c.upload))
			g.Expect(err).NotTo(HaveOccurred())
			defer resp.Close()
			_, err = io.ReadFull(resp, make([]byte, len(body)))
			g.Expect(err).NotTo(HaveOccurred())
			<-ended
			time.Sleep(20 * time.Millisecond) // the end arrives, and the writer of an upload sees it
			if c.takes {
				tcp, _ := sockopt.As[*net.TCPConn](resp.conn.Conn)
				connend.TakeError(t, tcp)
			}
			_, err = resp.Read(make([]byte, 1))
			if c.whole {
				g.Expect(err).To(Equal(io.EOF))
				return
			}
			g.Expect(err).NotTo(Equal(io.EOF))
			g.Expect(ConnectionLost(err)).To(BeTrue(), "%v", err)
		})
	}
}

// Guards against a response that has no body by its status or its method, and is taken for one that ends with its
// connection.
func TestResponsesWithoutABodyAreComplete(t *testing.T) {
	g := NewWithT(t)
	address := rawServer(t, func(c net.Conn, br *bufio.Reader) {
		for {
			r, err := readRequest(br)
			if err != nil {
				return
			}
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\n\r\n", r.Header.Get("Attempt-Id"))
		}
	})
	r := testRequest(address, "a", "")
	r.Method = http.MethodHead
	resp, err := New(Options{}).Do(t.Context(), r)
	g.Expect(err).NotTo(HaveOccurred())
	defer resp.Close()
	g.Expect(resp.EndsWithConnection()).To(BeFalse())
	_, err = io.ReadAll(resp)
	g.Expect(err).NotTo(HaveOccurred())
}
