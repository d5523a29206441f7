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
	// dialTimeout bounds the opening of a connection; servers are milliseconds away.
	dialTimeout = time.Second
	// defaultIdle is how long a connection is kept when the server names no time.
	defaultIdle = 4 * time.Second
	// idleMargin is taken from the time that the server names, since its clock starts earlier.
	idleMargin = 700 * time.Millisecond
	// readBuffer holds the head of an answer and several events.
	readBuffer = 4 << 10
)

// Options configure a Pool.
type Options struct {
	// Dial opens a connection. Default: TCP with probes.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Opened is told of each new connection. Default: none.
	Opened func()
}

// Pool keeps idle connections by server. It is safe for concurrent use.
type Pool struct {
	dial   func(ctx context.Context, network, address string) (net.Conn, error)
	opened func()

	mu   sync.Mutex
	idle map[string][]*conn
}

// conn is a connection to one server.
type conn struct {
	net.Conn
	key string
	br  *bufio.Reader
	// usable is the end of the time in which the server keeps it.
	usable time.Time
	reused bool
}

// New returns an empty pool.
func New(opts Options) *Pool {
	if opts.Dial == nil {
		opts.Dial = sockopt.Dial(dialTimeout)
	}
	if opts.Opened == nil {
		opts.Opened = func() {}
	}
	return &Pool{dial: opts.Dial, opened: opts.Opened, idle: make(map[string][]*conn)}
}

// get returns an idle connection or opens one.
func (p *Pool) get(ctx context.Context, key, address string) (*conn, error) {
	for {
		c := p.take(key)
		if c == nil {
			break
		}
		if time.Now().Before(c.usable) && sockopt.Open(c.Conn) {
			c.reused = true
			return c, nil
		}
		_ = c.Close()
	}
	raw, err := p.dial(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	p.opened()
	return &conn{Conn: raw, key: key, br: bufio.NewReaderSize(raw, readBuffer)}, nil
}

// take returns the idle connection that was used last, or nil.
func (p *Pool) take(key string) *conn {
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

// put keeps a connection for another request.
func (p *Pool) put(c *conn, idle time.Duration) {
	if idle <= 0 || c.br.Buffered() > 0 {
		_ = c.Close()
		return
	}
	c.usable = time.Now().Add(idle)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[c.key] = append(p.idle[c.key], c)
}

// Retain closes the idle connections to servers that are not wanted any more, and those whose time has ended.
func (p *Pool) Retain(wanted func(key string) bool) {
	now := time.Now()
	p.mu.Lock()
	var closing []*conn
	for key, list := range p.idle {
		keep := list[:0]
		for _, c := range list {
			if wanted(key) && now.Before(c.usable) {
				keep = append(keep, c)
			} else {
				closing = append(closing, c)
			}
		}
		if len(keep) == 0 {
			delete(p.idle, key)
		} else {
			p.idle[key] = keep
		}
	}
	p.mu.Unlock()
	for _, c := range closing {
		_ = c.Close()
	}
}

// idleTime returns how long the server keeps the connection after the answer; 0 means not at all.
func idleTime(resp *http.Response) time.Duration {
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
			return time.Duration(s)*time.Second - idleMargin
		}
	}
	return defaultIdle
}
