package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"gooseberrytide.example/gooseberrytide/test/standin/endless"
)

// rawServer starts a TCP server that calls serve for each connection, and returns its address.
func rawServer(t *testing.T, serve func(c net.Conn, br *bufio.Reader)) string {
	t.Helper()
	return endless.Serve(t, func(c net.Conn) { serve(c, bufio.NewReader(c)) })
}

// readRequest reads a request and its body.
func readRequest(br *bufio.Reader) (*http.Request, error) {
	r, err := http.ReadRequest(br)
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, r.Body)
	return r, err
}

func responseText(id, body string) string {
	return "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nContent-Length: " + itoa(len(body)) + "\r\n\r\n" + body
}

func itoa(n int) string { return string(rune('0'+n/10)) + string(rune('0'+n%10)) }

func testRequest(address, id, body string) *Request {
	return &Request{
		ServerKey: "s@" + address, Address: address, Method: http.MethodPost, Target: "/x?y=%20", Host: "shed.example",
		Header: http.Header{"Attempt-Id": {id}}, Body: []byte(body),
		Matches: func(r *http.Response) bool { return r.Header.Get("Attempt-Id") == id },
	}
}

func sendAndRead(t *testing.T, p *Pool, r *Request) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	resp, err := p.Do(ctx, r)
	if err != nil {
		return "", err
	}
	defer resp.Close()
	body, err := io.ReadAll(resp)
	return string(body), err
}

// Guards against a new connection for each request, which is expensive for the servers.
func TestConnectionsAreReused(t *testing.T) {
	g := NewWithT(t)
	var opened atomic.Int32
	address := rawServer(t, func(c net.Conn, br *bufio.Reader) {
		opened.Add(1)
		for {
			r, err := readRequest(br)
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, responseText(r.Header.Get("Attempt-Id"), "ok"))
		}
	})
	p := New(Options{})
	for _, id := range []string{"a", "b", "c"} {
		body, err := sendAndRead(t, p, testRequest(address, id, "call"))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(body).To(Equal("ok"))
	}
	g.Expect(opened.Load()).To(Equal(int32(1)))
	p.Retain(func(string) bool { return false })
	_, err := sendAndRead(t, p, testRequest(address, "d", "call"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(opened.Load()).To(Equal(int32(2)))
}

// Guards against forwarding the response to another request: an extra response may arrive late, in place of the next
// expected one.
func TestMismatchedResponsesAreSkipped(t *testing.T) {
	g := NewWithT(t)
	address := rawServer(t, func(c net.Conn, br *bufio.Reader) {
		for {
			r, err := readRequest(br)
			if err != nil {
				return
			}
			id := r.Header.Get("Attempt-Id")
			_, _ = io.WriteString(c, responseText("old", "of another")+responseText(id, "own"))
		}
	})
	body, err := sendAndRead(t, New(Options{}), testRequest(address, "mine", "call"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(body).To(Equal("own"))
}

// Guards against a request that is sent twice because the server closes a reused connection after reading the request.
func TestRequestIsSentOnce(t *testing.T) {
	g := NewWithT(t)
	var requests atomic.Int32
	address := rawServer(t, func(c net.Conn, br *bufio.Reader) {
		for {
			r, err := readRequest(br)
			if err != nil {
				return
			}
			if requests.Add(1) > 1 {
				return
			}
			_, _ = io.WriteString(c, responseText(r.Header.Get("Attempt-Id"), "ok"))
		}
	})
	p := New(Options{})
	_, err := sendAndRead(t, p, testRequest(address, "a", "call"))
	g.Expect(err).NotTo(HaveOccurred())
	get := testRequest(address, "b", "")
	get.Method = http.MethodGet
	_, err = sendAndRead(t, p, get)
	var sendErr *SendError
	g.Expect(errors.As(err, &sendErr)).To(BeTrue())
	g.Expect(sendErr.Stage).To(Equal(Sent))
	g.Expect(sendErr.Reused).To(BeTrue())
	g.Expect(requests.Load()).To(Equal(int32(2)))
}

// Guards against sending a request on an idle connection that the server has closed or that holds unexpected bytes.
func TestClosedAndDirtyConnectionsAreNotUsed(t *testing.T) {
	g := NewWithT(t)
	for _, leftover := range []string{"", "stray bytes"} {
		address := rawServer(t, func(c net.Conn, br *bufio.Reader) {
			r, err := readRequest(br)
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, responseText(r.Header.Get("Attempt-Id"), "ok"))
			time.Sleep(20 * time.Millisecond)
			_, _ = io.WriteString(c, leftover)
			if leftover != "" {
				time.Sleep(time.Second)
			}
		})
		p := New(Options{})
		for _, id := range []string{"a", "b"} {
			_, err := sendAndRead(t, p, testRequest(address, id, "call"))
			g.Expect(err).NotTo(HaveOccurred())
			time.Sleep(60 * time.Millisecond)
		}
	}
}

// Guards against a truncated or malformed response that is treated as complete.
func TestTruncatedResponses(t *testing.T) {
	g := NewWithT(t)
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nContent-Length: 50\r\n\r\npart",
		"HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
		"no answer at all",
	} {
		address := rawServer(t, func(c net.Conn, br *bufio.Reader) {
			if _, err := readRequest(br); err == nil {
				_, _ = io.WriteString(c, text)
			}
		})
		_, err := sendAndRead(t, New(Options{}), testRequest(address, "a", "call"))
		g.Expect(err).To(HaveOccurred(), text)
	}
}

// Guards against two faults when a server responds early and leaves a long body unread: reusing the connection, on
// which the server would read the next request as part of that body, and waiting for the server to read the body.
func TestEarlyResponseToLargeBody(t *testing.T) {
	g := NewWithT(t)
	received, waited := make(chan struct{}), make(chan bool, 1)
	address := rawServer(t, func(c net.Conn, br *bufio.Reader) {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, responseText(r.Header.Get("Attempt-Id"), "no"))
		// The rest of the body stays unread, and the connection open, until the response has been received.
		select {
		case <-received:
			waited <- false
		case <-time.After(5 * time.Second):
			waited <- true
		}
	})
	p := New(Options{})
	body, err := sendAndRead(t, p, testRequest(address, "a", strings.Repeat("x", 16<<20)))
	close(received)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(body).To(Equal("no"))
	g.Eventually(waited, "6s").Should(Receive(BeFalse()), "the response was received while the body was unread")
	p.mu.Lock()
	defer p.mu.Unlock()
	g.Expect(p.idle).To(BeEmpty())
}

// Guards against a response without a length that looks complete although its server has reset the connection while the body
// of the request was still written. The system reports the reset to the writer, and the end of the connection to the reader.
func TestEarlyResponseFollowedByAReset(t *testing.T) {
	for i := range 20 {
		g := NewWithT(t)
		address := rawServer(t, func(c net.Conn, br *bufio.Reader) {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nConnection: close\r\n\r\npart", r.Header.Get("Attempt-Id"))
			time.Sleep(time.Duration(i) * time.Millisecond)
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		})
		_, err := sendAndRead(t, New(Options{}), testRequest(address, "a", strings.Repeat("x", 16<<20)))
		g.Expect(err).To(HaveOccurred())
		g.Expect(ConnectionLost(err)).To(BeTrue(), "%v", err)
	}
}

// Guards against an early refusal without a length that is lost because the server does not read the rest of the body.
func TestEarlyRefusalWithoutALength(t *testing.T) {
	g := NewWithT(t)
	address := rawServer(t, func(c net.Conn, br *bufio.Reader) {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		fmt.Fprintf(c, "HTTP/1.1 413 Too Large\r\nAttempt-Id: %s\r\nConnection: close\r\n\r\nno", r.Header.Get("Attempt-Id"))
		_ = c.(*net.TCPConn).CloseWrite()
		_, _ = io.Copy(io.Discard, br)
	})
	body, err := sendAndRead(t, New(Options{}), testRequest(address, "a", strings.Repeat("x", 16<<20)))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(body).To(Equal("no"))
}

// Guards against a status below 100 that is taken for an informational response, or that reaches the client.
func TestStatusBelow100IsNoResponse(t *testing.T) {
	for _, status := range []string{"000", "001", "099"} {
		g := NewWithT(t)
		address := rawServer(t, func(c net.Conn, br *bufio.Reader) {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			id := r.Header.Get("Attempt-Id")
			_, _ = io.WriteString(c, "HTTP/1.1 "+status+" None\r\nAttempt-Id: "+id+"\r\nContent-Length: 0\r\n\r\n"+responseText(id, "late"))
		})
		_, err := sendAndRead(t, New(Options{}), testRequest(address, "a", "call"))
		var invalid *InvalidResponseError
		g.Expect(errors.As(err, &invalid)).To(BeTrue(), "%v", err)
	}
}

// Guards against treating a request that was not sent as one that may have run.
func TestUnreachableServer(t *testing.T) {
	g := NewWithT(t)
	_, err := sendAndRead(t, New(Options{}), testRequest("127.0.0.1:1", "a", "call"))
	var sendErr *SendError
	g.Expect(errors.As(err, &sendErr)).To(BeTrue())
	g.Expect(sendErr.Stage).To(Equal(NotSent))
	g.Expect(sendErr.DialFailed).To(BeTrue())
}

// Guards against header values that inject another header or request.
func TestHeaderInjection(t *testing.T) {
	g := NewWithT(t)
	r := testRequest("", "a", "")
	r.Header.Set("X-Evil", "1\r\nTenant: forged")
	g.Expect(r.encodeHeader().String()).NotTo(ContainSubstring("\nTenant:"))
}
