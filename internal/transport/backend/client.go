package backend

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"

	"gooseberrytide.example/gooseberrytide/internal/coordination/execute"
	"gooseberrytide.example/gooseberrytide/internal/state/object"
)

// Client sends requests to backend servers. It is safe for concurrent use.
type Client struct {
	opts Options
	// single opens a connection for each request and closes it afterwards.
	single *http.Transport
	pooled *http.Transport
}

var _ execute.Backends = (*Client)(nil)

// New returns a client.
func New(opts Options) *Client {
	c := &Client{opts: opts.withDefaults()}
	c.single = c.transport()
	c.single.DisableKeepAlives = true
	c.pooled = c.transport()
	return c
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.single.CloseIdleConnections()
	c.pooled.CloseIdleConnections()
}

// transport returns an HTTP/1.1 transport without proxy and compression. Its users call RoundTrip, which follows no
// redirects and keeps no cookies.
func (c *Client) transport() *http.Transport {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	return &http.Transport{
		DialContext:            c.dial,
		Protocols:              &protocols,
		DisableCompression:     true,
		MaxResponseHeaderBytes: c.opts.MaxHeaderBytes,
		MaxIdleConnsPerHost:    maxIdlePerHost,
		IdleConnTimeout:        pooledIdleTimeout,
	}
}

func (c *Client) dial(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.DialTimeout)
	defer cancel()
	conn, err := c.opts.Dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &trackedConn{Conn: conn}, nil
}

// roundTrip sends the request once.
func (c *Client) roundTrip(t *http.Transport, req *http.Request) (*http.Response, *sending, error) {
	s := &sending{}
	req = req.WithContext(httptrace.WithClientTrace(req.Context(), s.trace()))
	resp, err := t.RoundTrip(req)
	return resp, s, err
}

// newRequest builds a request that the transport cannot repeat: a body has no GetBody, and a request without a body
// gets an empty reader, since net/http repeats requests with a nil body on a broken pooled connection.
func newRequest(ctx context.Context, method string, server *object.BackendServer, path string, body []byte) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+server.Address+path, nil)
	if err != nil {
		return nil, err
	}
	req.GetBody = nil
	req.ContentLength = int64(len(body))
	req.Body = &onceBody{data: body}
	if len(body) == 0 && !lacksBody(method) {
		// An empty reader would be sent as a chunked body. Requests of this shape go over the single transport.
		req.Body = http.NoBody
	}
	return req, nil
}

// lacksBody reports a method whose empty body net/http recognises before it writes the header.
func lacksBody(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodDelete, http.MethodOptions:
		return true
	}
	return false
}

// onceBody is a body that is read once.
type onceBody struct{ data []byte }

// Read implements io.Reader.
func (b *onceBody) Read(p []byte) (int, error) {
	if len(b.data) == 0 {
		return 0, io.EOF
	}
	n := copy(p, b.data)
	b.data = b.data[n:]
	return n, nil
}

// Close implements io.Closer.
func (b *onceBody) Close() error { return nil }
