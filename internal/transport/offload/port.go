package offload

import (
	"net"
	"sync"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/transport/sockopt"
)

// reopenRetryPeriod is the time between attempts to open a port again.
const reopenRetryPeriod = 20 * time.Millisecond

// portListener accepts connections on a port that can be closed for a while. Meanwhile the system refuses connections at
// once, which costs the process nothing.
type portListener struct {
	listen  func() (*sockopt.PlainListener, error)
	address net.Addr

	mu sync.Mutex
	// current is nil while the port is closed.
	current *sockopt.PlainListener
	// reopened is closed when the port is opened again or closed for good.
	reopened chan struct{}
	closed   bool
	// pending holds the connections that had been made before the port was closed and were not accepted.
	pending []net.Conn
}

var _ net.Listener = (*portListener)(nil)

func newPortListener(listen func() (*sockopt.PlainListener, error)) (*portListener, error) {
	l, err := listen()
	if err != nil {
		return nil, err
	}
	return &portListener{listen: listen, address: l.Addr(), current: l}, nil
}

// Accept implements net.Listener. While the port is closed, it returns the pending connections and then waits.
func (p *portListener) Accept() (net.Conn, error) {
	for {
		if conn := p.takePending(); conn != nil {
			return conn, nil
		}
		l, reopened, err := p.state()
		if err != nil {
			return nil, err
		}
		if l == nil {
			<-reopened
			continue
		}
		conn, err := l.Accept()
		if err == nil || p.isCurrent(l) {
			return conn, err
		}
	}
}

// takePending removes and returns the pending connection that has waited longest, or nil if there is none.
func (p *portListener) takePending() net.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.pending) == 0 {
		return nil
	}
	conn := p.pending[0]
	p.pending[0] = nil
	p.pending = p.pending[1:]
	return conn
}

func (p *portListener) state() (*sockopt.PlainListener, <-chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, nil, net.ErrClosed
	}
	return p.current, p.reopened, nil
}

func (p *portListener) isCurrent(l *sockopt.PlainListener) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.current == l
}

// Pause closes the port for d, unless it is closed already. It reports whether it did. The system would reset
// connections that wait to be accepted, with the requests that their clients have sent; so they are accepted first.
func (p *portListener) Pause(d time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.current == nil {
		return false
	}
	p.pending = append(p.pending, p.current.AcceptPending()...)
	_ = p.current.Close()
	p.current, p.reopened = nil, make(chan struct{})
	time.AfterFunc(d, p.reopen)
	return true
}

func (p *portListener) paused() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.current == nil
}

func (p *portListener) reopen() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	l, err := p.listen()
	if err != nil {
		time.AfterFunc(reopenRetryPeriod, p.reopen)
		return
	}
	p.current = l
	close(p.reopened)
}

// Close implements net.Listener.
func (p *portListener) Close() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil
	}
	p.closed = true
	for _, conn := range p.pending {
		_ = conn.Close()
	}
	p.pending = nil
	if p.current == nil {
		close(p.reopened)
		return nil
	}
	return p.current.Close()
}

// Addr implements net.Listener.
func (p *portListener) Addr() net.Addr { return p.address }
