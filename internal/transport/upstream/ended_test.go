package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
)

// Guards against a server that lives, or that is only out of reach, and is taken for one that has ended.
func TestProbeTellsAnEndedServerFromALiveOne(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(w, r.Body)
	})}
	go func() { _ = server.Serve(listener) }()
	address := listener.Addr().String()
	var connects int
	p := New(Options{OnConnect: func() { connects++ }})
	key := "s@" + address
	g.Expect(p.Probe(t.Context(), key, address)).To(Equal(PortServing))
	g.Expect(p.Probe(t.Context(), key, address)).To(Equal(PortServing))
	g.Expect(connects).To(Equal(1), "the first connection is kept")
	g.Expect(server.Close()).To(Succeed())
	g.Expect(p.Probe(t.Context(), key, address)).To(Equal(PortRefusing))

	silent := New(Options{Dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	g.Expect(silent.Probe(ctx, key, address)).To(Equal(PortUnknown))
}

// Guards against a server that has ended behind a port that another process holds and is taken for a live one, and against
// a server that closes one connection and is taken for an ended one.
func TestProbeOfAPortThatClosesConnections(t *testing.T) {
	for closed, want := range map[int]PortState{1: PortServing, closingConnections: PortClosing} {
		g := NewWithT(t)
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		g.Expect(err).NotTo(HaveOccurred())
		t.Cleanup(func() { _ = listener.Close() })
		go func() {
			for n := 0; ; n++ {
				c, err := listener.Accept()
				if err != nil {
					return
				}
				if n < closed {
					_ = c.Close()
				}
			}
		}()
		address := listener.Addr().String()
		g.Expect(New(Options{}).Probe(t.Context(), "s@"+address, address)).To(Equal(want), "%d closed", closed)
	}
}

// Guards against timeouts and invalid responses that count as the end of a server.
func TestConnectionLost(t *testing.T) {
	g := NewWithT(t)
	for _, err := range []error{
		io.EOF, io.ErrUnexpectedEOF, &SendError{Stage: Sent, Err: errors.WithStack(syscall.ECONNRESET)},
		&net.OpError{Op: "read", Err: syscall.ECONNRESET}, &net.OpError{Op: "write", Err: syscall.EPIPE},
	} {
		g.Expect(ConnectionLost(err)).To(BeTrue(), "%v", err)
	}
	for _, err := range []error{nil, context.DeadlineExceeded, ErrWithdrawn, errMismatchedResponses} {
		g.Expect(ConnectionLost(err)).To(BeFalse(), "%v", err)
	}
}
