package offload

import (
	"context"
	"net"
	"sync"

	"gooseberrytide.example/gooseberrytide/internal/transport/sockopt"
)

// bufferBytes is the size of a buffer. Most requests fit into one.
const bufferBytes = 16 << 10

// ForwardedBytes is the approximate memory of a forwarded connection.
const ForwardedBytes = 2*bufferBytes + 16<<10

type buffer [bufferBytes]byte

var buffers = sync.Pool{New: func() any { return new(buffer) }}

// forward passes a connection on to another router, beginning with the bytes that were read from it, until one side
// closes it. It returns false if the router could not be reached; the connection is then unchanged. buf contains head.
func (i *Inspector) forward(client net.Conn, target string, head []byte, buf *buffer) bool {
	i.forwarded.Add(1)
	defer i.forwarded.Add(-1)
	router, err := i.opts.Dial(context.Background(), "tcp4", target)
	if err != nil {
		return false
	}
	i.opts.Policy.Record(Forward)
	sockopt.Apply(client)
	if _, err := router.Write(head); err == nil {
		go copyRequest(router, client)
		copyBytes(client, router, buf)
	}
	_ = router.Close()
	_ = client.Close()
	return true
}

// copyRequest copies the rest of the request to the other router. Then it closes the connection to the router, because
// the client has left.
func copyRequest(router, client net.Conn) {
	buf := buffers.Get().(*buffer)
	defer buffers.Put(buf)
	copyBytes(router, client, buf)
	_ = router.Close()
}

// copyBytes copies until one side is closed. It does not use io.Copy, which on Linux moves the bytes through a pipe; for
// short messages this takes more system calls.
func copyBytes(to, from net.Conn, buf *buffer) {
	for {
		n, err := from.Read(buf[:])
		if n > 0 {
			if _, writeErr := to.Write(buf[:n]); writeErr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
