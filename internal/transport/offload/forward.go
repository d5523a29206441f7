package offload

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"

	"gooseberrytide.example/gooseberrytide/internal/transport/clientconn"
	"gooseberrytide.example/gooseberrytide/internal/transport/sockopt"
	"gooseberrytide.example/gooseberrytide/platform"
)

// bufferBytes is the size of a buffer. Most requests fit into one.
const bufferBytes = 16 << 10

// deadlineMargin is added to the time for a response, since the other router ends requests at their deadline.
const deadlineMargin = 200 * time.Millisecond

// ForwardedBytes is the approximate memory of a forwarded connection.
const ForwardedBytes = 2*bufferBytes + 16<<10

type buffer [bufferBytes]byte

var buffers = sync.Pool{New: func() any { return new(buffer) }}

// forwardResult tells how the forwarding of a connection ended.
type forwardResult int

const (
	// forwardEnded means that the other router has responded or that the client has left.
	forwardEnded forwardResult = iota
	// forwardUnreachable means that nothing reached the other router. The connection is unchanged.
	forwardUnreachable
	// forwardLate means the same, because the time for the response has passed.
	forwardLate
	// forwardClientLeft means the same, because the client has left.
	forwardClientLeft
	// forwardNoResponse means that the other router may have run the request and sent no response.
	forwardNoResponse
)

// forward passes a connection on to another router, beginning with the bytes that were read from it, until one side
// closes it or the time for the response has passed. The client's connection is closed only if the result is forwardEnded.
// The other router is told how much of the client's time is left. buf contains head. It returns how many bytes were read
// from the client meanwhile.
func (i *Inspector) forward(client net.Conn, decision Decision, head []byte, buf *buffer) (forwardResult, int64) {
	if result, ok := mayForward(client, decision.Deadline); !ok {
		return result, 0
	}
	router, err := i.opts.Dial(context.Background(), "tcp4", decision.Target)
	if err != nil {
		return forwardUnreachable, 0
	}
	defer func() { _ = router.Close() }()
	if result, ok := mayForward(client, decision.Deadline); !ok { // a router that lacks processor time comes here late
		return result, 0
	}
	platform.ReducePatience(head[:headerLength(head)], time.Until(decision.Deadline))
	if n, err := router.Write(head); err != nil && n == 0 {
		return forwardUnreachable, 0
	}
	i.opts.Policy.Record(Forward)
	sockopt.Apply(client)
	ctx, cancel := context.WithDeadline(i.stopping, decision.Deadline.Add(deadlineMargin))
	defer cancel()
	removeStop := context.AfterFunc(ctx, func() { _ = router.Close() })
	defer removeStop()
	request := startRequestCopy(router, client)
	tracked := clientconn.From(client)
	tracked.SetIncomplete(true) // the response may have no length
	response := copyBytes(client, router, buf)
	if response.copied == 0 && !request.stop(client) {
		tracked.SetIncomplete(false)
		return forwardNoResponse, request.copied
	}
	if response.readErr == io.EOF && sockopt.EndOf(router, response.copied) != sockopt.EndBroken {
		tracked.SetIncomplete(false)
	}
	_ = client.Close()
	return forwardEnded, 0
}

// mayForward reports whether the client still waits for a response and has time for one, or else why not.
func mayForward(client net.Conn, deadline time.Time) (otherwise forwardResult, ok bool) {
	switch {
	case sockopt.PeerEnded(client):
		return forwardClientLeft, false
	case !time.Now().Before(deadline):
		return forwardLate, false
	default:
		return 0, true
	}
}

// requestCopy copies the rest of a request to the other router.
type requestCopy struct {
	done chan struct{}
	// copied and clientLeft are set when done is closed.
	copied     int64
	clientLeft bool
}

// startRequestCopy starts to copy. If the client leaves, the connection to the router is closed.
func startRequestCopy(router, client net.Conn) *requestCopy {
	c := &requestCopy{done: make(chan struct{})}
	go func() {
		defer close(c.done)
		buf := buffers.Get().(*buffer)
		defer buffers.Put(buf)
		result := copyBytes(router, client, buf)
		c.copied = result.copied
		c.clientLeft = result.readErr != nil && !errors.Is(result.readErr, os.ErrDeadlineExceeded)
		if c.clientLeft {
			_ = router.Close()
		}
	}()
	return c
}

// stop ends the copying and reports whether the client has left. It leaves the client's read deadline in the past.
func (c *requestCopy) stop(client net.Conn) (clientLeft bool) {
	if client.SetReadDeadline(time.Now()) != nil {
		return true
	}
	<-c.done
	return c.clientLeft
}

// copyResult is how much was copied and, if reading ended it, the error.
type copyResult struct {
	copied  int64
	readErr error
}

// copyBytes copies until one side is closed. It does not use io.Copy, which on Linux moves the bytes through a pipe; for
// short messages this takes more system calls.
func copyBytes(to, from net.Conn, buf *buffer) copyResult {
	var copied int64
	for {
		n, err := from.Read(buf[:])
		copied += int64(n)
		if n > 0 {
			if _, writeErr := to.Write(buf[:n]); writeErr != nil {
				return copyResult{copied: copied}
			}
		}
		if err != nil {
			return copyResult{copied: copied, readErr: err}
		}
	}
}
