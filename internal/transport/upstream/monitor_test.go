package upstream

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a response that counts as missing although it has arrived, while the goroutine that reads it does not
// run, and against a check that waits for that goroutine.
func TestMonitorSeesUnreadBytes(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = listener.Close() }()
	respond := make(chan struct{})
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n")
		<-respond
		_, _ = io.WriteString(conn, "body")
		<-t.Context().Done()
	}()
	var m Monitor
	g.Expect(m.Unread()).To(BeFalse(), "no connection yet")
	resp, err := New(Options{}).Do(context.Background(), &Request{
		ServerKey: "s", Address: listener.Addr().String(), Method: "GET", Target: "/", Host: "h", Monitor: &m,
	})
	g.Expect(err).NotTo(HaveOccurred())
	defer resp.Close()
	g.Expect(m.Unread()).To(BeFalse())
	close(respond)
	g.Eventually(m.Unread).Should(BeTrue())
	body, err := io.ReadAll(resp)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(body)).To(Equal("body"))
	g.Expect(m.Unread()).To(BeFalse())
	reading := make(chan struct{})
	go func() {
		close(reading)
		_, _ = resp.conn.Read(make([]byte, 1))
	}()
	<-reading
	begin := time.Now()
	g.Expect(m.Unread()).To(BeFalse())
	g.Expect(time.Since(begin)).To(BeNumerically("<", time.Second), "does not wait for the reader")
}
