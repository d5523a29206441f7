package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a request that is written to a reused connection, and may run, although its context has ended before:
// a substitute that was cancelled while its reservation was confirmed.
func TestRequestIsNotSentAfterItsContextHasEnded(t *testing.T) {
	g := NewWithT(t)
	var arrivals atomic.Int32
	address := rawServer(t, func(c net.Conn, br *bufio.Reader) {
		for {
			r, err := readRequest(br)
			if err != nil {
				return
			}
			arrivals.Add(1)
			_, _ = io.WriteString(c, responseText(r.Header.Get("Attempt-Id"), "ok"))
		}
	})
	p := New(Options{})
	request := func() *Request {
		return &Request{ServerKey: "k", Address: address, Method: "GET", Target: "/", Host: "h"}
	}
	const rounds = 20
	for range rounds {
		resp, err := p.Do(t.Context(), request())
		g.Expect(err).NotTo(HaveOccurred())
		resp.Discard()
		resp.Close()
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		if resp, err = p.Do(ctx, request()); err == nil {
			resp.Close()
		}
	}
	g.Consistently(arrivals.Load, "100ms").Should(BeEquivalentTo(rounds))
}
