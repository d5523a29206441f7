package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
)

// rawServer answers each connection with a function that sees the bytes.
func rawServer(t *testing.T, serve func(c net.Conn, br *bufio.Reader)) string {
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
				serve(c, bufio.NewReader(c))
			}()
		}
	}()
	return listener.Addr().String()
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

func answerText(id, body string) string {
	return "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nContent-Length: " + itoa(len(body)) + "\r\n\r\n" + body
}

func itoa(n int) string { return string(rune('0'+n/10)) + string(rune('0'+n%10)) }

func testRequest(address, id, body string) *Request {
	return &Request{
		Server: "s@" + address, Address: address, Method: http.MethodPost, Target: "/x?y=%20", Host: "shed.example",
		Header: http.Header{"Attempt-Id": {id}}, Body: []byte(body),
		Own: func(r *http.Response) bool { return r.Header.Get("Attempt-Id") == id },
	}
}

func readAll(t *testing.T, p *Pool, r *Request) (string, error) {
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

// Guards against a new connection for each request, which is dear for the servers.
func TestConnectionsAreKept(t *testing.T) {
	g := NewWithT(t)
	var opened atomic.Int32
	address := rawServer(t, func(c net.Conn, br *bufio.Reader) {
		opened.Add(1)
		for {
			r, err := readRequest(br)
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, answerText(r.Header.Get("Attempt-Id"), "ok"))
		}
	})
	p := New(Options{})
	for _, id := range []string{"a", "b", "c"} {
		body, err := readAll(t, p, testRequest(address, id, "call"))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(body).To(Equal("ok"))
	}
	g.Expect(opened.Load()).To(Equal(int32(1)))
	p.Retain(func(string) bool { return false })
	_, err := readAll(t, p, testRequest(address, "d", "call"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(opened.Load()).To(Equal(int32(2)))
}

// Guards against an answer to another request that reaches the client: extra answers come late, where the next one is
// expected.
func TestAnswersOfOtherRequestsArePassedOver(t *testing.T) {
	g := NewWithT(t)
	address := rawServer(t, func(c net.Conn, br *bufio.Reader) {
		for {
			r, err := readRequest(br)
			if err != nil {
				return
			}
			id := r.Header.Get("Attempt-Id")
			_, _ = io.WriteString(c, answerText("old", "of another")+answerText(id, "own"))
		}
	})
	body, err := readAll(t, New(Options{}), testRequest(address, "mine", "call"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(body).To(Equal("own"))
}

// Guards against a request that is sent twice: the server closes a kept connection after it has read a request.
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
			_, _ = io.WriteString(c, answerText(r.Header.Get("Attempt-Id"), "ok"))
		}
	})
	p := New(Options{})
	_, err := readAll(t, p, testRequest(address, "a", "call"))
	g.Expect(err).NotTo(HaveOccurred())
	get := testRequest(address, "b", "")
	get.Method = http.MethodGet
	_, err = readAll(t, p, get)
	var failed *SendError
	g.Expect(errors.As(err, &failed)).To(BeTrue())
	g.Expect(failed.Stage).To(Equal(Sent))
	g.Expect(failed.Reused).To(BeTrue())
	g.Expect(requests.Load()).To(Equal(int32(2)))
}

// Guards against a request on a kept connection that the server has closed, and against bytes that belong to nothing.
func TestClosedAndDirtyConnectionsAreNotUsed(t *testing.T) {
	g := NewWithT(t)
	for _, leftover := range []string{"", "stray bytes"} {
		address := rawServer(t, func(c net.Conn, br *bufio.Reader) {
			r, err := readRequest(br)
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, answerText(r.Header.Get("Attempt-Id"), "ok"))
			time.Sleep(20 * time.Millisecond)
			_, _ = io.WriteString(c, leftover)
			if leftover != "" {
				time.Sleep(time.Second)
			}
		})
		p := New(Options{})
		for _, id := range []string{"a", "b"} {
			_, err := readAll(t, p, testRequest(address, id, "call"))
			g.Expect(err).NotTo(HaveOccurred())
			time.Sleep(60 * time.Millisecond)
		}
	}
}

// Guards against an answer that broke off and counts as whole.
func TestTruncatedAnswers(t *testing.T) {
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
		_, err := readAll(t, New(Options{}), testRequest(address, "a", "call"))
		g.Expect(err).To(HaveOccurred(), text)
	}
}

// Guards against bytes of the next request in the place of a long body that a server left unread, and against a wait for
// such a server.
func TestEarlyAnswerToALongBody(t *testing.T) {
	g := NewWithT(t)
	address := rawServer(t, func(c net.Conn, br *bufio.Reader) {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, answerText(r.Header.Get("Attempt-Id"), "no"))
		time.Sleep(300 * time.Millisecond)
	})
	p := New(Options{})
	begin := time.Now()
	body, err := readAll(t, p, testRequest(address, "a", strings.Repeat("x", 16<<20)))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(body).To(Equal("no"))
	g.Expect(time.Since(begin)).To(BeNumerically("<", 200*time.Millisecond))
	p.mu.Lock()
	defer p.mu.Unlock()
	g.Expect(p.idle).To(BeEmpty())
}

// Guards against a request that was not sent and counts as one that may have run.
func TestUnreachableServer(t *testing.T) {
	g := NewWithT(t)
	_, err := readAll(t, New(Options{}), testRequest("127.0.0.1:1", "a", "call"))
	var failed *SendError
	g.Expect(errors.As(err, &failed)).To(BeTrue())
	g.Expect(failed.Stage).To(Equal(NotSent))
	g.Expect(failed.Dial).To(BeTrue())
}

// Guards against header values that start another header or request.
func TestHeadersCannotBeSmuggled(t *testing.T) {
	g := NewWithT(t)
	r := testRequest("", "a", "")
	r.Header.Set("X-Evil", "1\r\nTenant: forged")
	g.Expect(r.head().String()).NotTo(ContainSubstring("\nTenant:"))
}
