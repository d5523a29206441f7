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
	// unpooled opens a new connection for each request and closes it afterwards.
	unpooled *http.Transport
	pooled   *http.Transport
}

var _ execute.Backends = (*Client)(nil)

// New returns a client. It opens no connection.
func New(opts Options) *Client {
	c := &Client{opts: opts.withDefaults()}
	c.unpooled = c.newTransport()
	c.unpooled.DisableKeepAlives = true
	c.pooled = c.newTransport()
	return c
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.unpooled.CloseIdleConnections()
	c.pooled.CloseIdleConnections()
}

// newTransport returns an HTTP/1.1 transport without proxy or compression. Requests go through RoundTrip, which follows
// no redirects and stores no cookies.
func (c *Client) newTransport() *http.Transport {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	return &http.Transport{
		DialContext:            c.dial,
		Protocols:              &protocols,
		DisableCompression:     true,
		MaxResponseHeaderBytes: c.opts.MaxHeaderBytes,
		MaxIdleConnsPerHost:    maxIdleConnsPerHost,
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

// roundTrip sends the request once. The sendTracker tells what was written if an error is returned.
func (c *Client) roundTrip(transport *http.Transport, req *http.Request) (*http.Response, *sendTracker, error) {
	tracker := &sendTracker{}
	req = req.WithContext(httptrace.WithClientTrace(req.Context(), tracker.trace()))
	resp, err := transport.RoundTrip(req)
	return resp, tracker, err
}

// newRequest builds a request that the transport cannot send again: GetBody is nil, and a request without a body gets
// an empty reader, because net/http resends requests with a nil body when a pooled connection breaks.
func newRequest(
	ctx context.Context, method string, server *object.BackendServer, path string, body []byte,
) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+server.Address+path, nil)
	if err != nil {
		return nil, err
	}
	req.GetBody = nil
	req.ContentLength = int64(len(body))
	req.Body = &oneShotBody{data: body}
	if len(body) == 0 && !usuallyLacksBody(method) {
		// An empty reader would be sent as a chunked body. Such requests use the unpooled transport.
		req.Body = http.NoBody
	}
	return req, nil
}

// usuallyLacksBody reports whether net/http detects an empty body of this method before it writes the header.
func usuallyLacksBody(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodDelete, http.MethodOptions:
		return true
	}
	return false
}

// oneShotBody is a request body that can be read only once.
type oneShotBody struct{ data []byte }

// Read implements io.Reader.
func (b *oneShotBody) Read(p []byte) (int, error) {
	if len(b.data) == 0 {
		return 0, io.EOF
	}
	n := copy(p, b.data)
	b.data = b.data[n:]
	return n, nil
}

// Close implements io.Closer.
func (b *oneShotBody) Close() error { return nil }
