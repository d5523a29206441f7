package upstream

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/transport/sockopt"
)

const (
	// dialTimeout bounds the time to open a connection. Servers are only milliseconds away.
	dialTimeout = time.Second
	// defaultIdleTimeout is how long an idle connection is kept if the server does not send a keep-alive timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutMargin is subtracted from the server's keep-alive timeout, since the server starts to count earlier.
	idleTimeoutMargin = 700 * time.Millisecond
	// readBufferBytes is enough for a response header and several events.
	readBufferBytes = 4 << 10
)

// Options configure a Pool.
type Options struct {
	// Dial opens a connection. The default opens a TCP connection with keep-alive probes.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// OnConnect is called after each new connection is opened. It may be nil.
	OnConnect func()
}

// Pool sends requests and keeps idle connections for each server. It is safe for concurrent use.
type Pool struct {
	dial      func(ctx context.Context, network, address string) (net.Conn, error)
	onConnect func()

	mu   sync.Mutex
	idle map[string][]*conn
}

// conn is a connection to one server.
type conn struct {
	net.Conn
	serverKey string
	br        *bufio.Reader
	// guard is what br reads from.
	guard *guardedReader
	// expires is the time until which the idle connection may be reused. The server may close it later.
	expires time.Time
	reused  bool
}

// New returns an empty pool.
func New(opts Options) *Pool {
	if opts.Dial == nil {
		opts.Dial = sockopt.DialFunc(dialTimeout)
	}
	if opts.OnConnect == nil {
		opts.OnConnect = func() {}
	}
	return &Pool{dial: opts.Dial, onConnect: opts.OnConnect, idle: make(map[string][]*conn)}
}

// get returns a usable idle connection to a server, or opens a new one.
func (p *Pool) get(ctx context.Context, key, address string) (*conn, error) {
	for {
		c := p.popIdle(key)
		if c == nil {
			break
		}
		if time.Now().Before(c.expires) && sockopt.IsOpen(c.Conn) {
			c.reused = true
			return c, nil
		}
		_ = c.Close()
	}
	return p.open(ctx, key, address)
}

// open opens a connection to a server.
func (p *Pool) open(ctx context.Context, key, address string) (*conn, error) {
	raw, err := p.dial(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	p.onConnect()
	guard := &guardedReader{src: raw}
	return &conn{Conn: raw, serverKey: key, guard: guard, br: bufio.NewReaderSize(guard, readBufferBytes)}, nil
}

// popIdle removes and returns the most recently used idle connection to a server, or nil if there is none.
func (p *Pool) popIdle(key string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[key]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	list[len(list)-1] = nil
	p.idle[key] = list[:len(list)-1]
	return c
}

// put stores a connection for reuse. It closes the connection if idleTimeout is not positive or unread data is left.
func (p *Pool) put(c *conn, idleTimeout time.Duration) {
	if idleTimeout <= 0 || c.br.Buffered() > 0 {
		_ = c.Close()
		return
	}
	c.expires = time.Now().Add(idleTimeout)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[c.serverKey] = append(p.idle[c.serverKey], c)
}

// unusedIdleTimeout returns how long a connection may stay idle on which nothing was sent since it was taken.
func unusedIdleTimeout(c *conn) time.Duration {
	if c.reused {
		return time.Until(c.expires)
	}
	return defaultIdleTimeout
}

// Retain closes the idle connections to servers for which wanted returns false, those that have expired, and those on
// which bytes have arrived. It takes a system call for each idle connection.
func (p *Pool) Retain(wanted func(key string) bool) {
	now := time.Now()
	p.mu.Lock()
	var closing []*conn
	for key, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if wanted(key) && now.Before(c.expires) && sockopt.IsOpen(c.Conn) {
				kept = append(kept, c)
			} else {
				closing = append(closing, c)
			}
		}
		if len(kept) == 0 {
			delete(p.idle, key)
		} else {
			p.idle[key] = kept
		}
	}
	p.mu.Unlock()
	for _, c := range closing {
		_ = c.Close()
	}
}

// serverIdleTimeout returns how long the connection may stay idle after the response. If the result is not positive,
// the connection must not be reused.
func serverIdleTimeout(resp *http.Response) time.Duration {
	if resp.Close {
		return 0
	}
	value := resp.Header.Get("Keep-Alive")
	for _, field := range strings.Split(value, ",") {
		text, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !ok {
			continue
		}
		if s, err := strconv.Atoi(text); err == nil {
			return time.Duration(s)*time.Second - idleTimeoutMargin
		}
	}
	return defaultIdleTimeout
}
