package etcdkv

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"gooseberrytide.example/gooseberrytide/internal/state/kv"
	"gooseberrytide.example/gooseberrytide/internal/transport/httplimits"
)

// DefaultTimeout is the default time limit of one call. A later response is treated as a lost response.
const DefaultTimeout = 2 * time.Second

// maxResponseBytes is the maximum size of a response, enough for a list of a few values of 1 MB in base64.
const maxResponseBytes = 64 << 20

// maxErrorBytes is the maximum size of the body of an error response.
const maxErrorBytes = 64 << 10

// maxIdleConns is the maximum number of idle connections to the store, enough for the calls of one router.
const maxIdleConns = 16

// Options configure a client.
type Options struct {
	// URL is the base URL of the gateway, such as http://10.0.0.9:2379.
	URL string
	// Timeout is the time limit of one call; 0 means DefaultTimeout. It does not apply to a waiting watch.
	Timeout time.Duration
	// Transport sends the requests; nil means a new transport without a proxy.
	Transport http.RoundTripper
}

// Client is a kv.Store that uses the JSON gateway of etcd. It is safe for concurrent use.
type Client struct {
	cluster clusterTracker
	base    string
	timeout time.Duration
	http    *http.Client
	counts  counters
}

var (
	_ kv.Store        = (*Client)(nil)
	_ kv.ExactSwapper = (*Client)(nil)
)

type counters struct {
	gets, lists, writes, deletes, watches, failed, uncertain atomic.Int64
}

// Counts are the numbers of calls since the client was created. Uncertain counts writes with an unknown effect.
type Counts struct {
	Gets      int64 `json:"gets"`
	Lists     int64 `json:"lists"`
	Writes    int64 `json:"writes"`
	Deletes   int64 `json:"deletes"`
	Watches   int64 `json:"watches"`
	Failed    int64 `json:"failed"`
	Uncertain int64 `json:"uncertain"`
}

// New returns a client. It opens no connection before the first call.
func New(opts Options) *Client {
	if opts.Timeout <= 0 {
		opts.Timeout = DefaultTimeout
	}
	if opts.Transport == nil {
		opts.Transport = newTransport(opts.Timeout)
	}
	return &Client{
		base:    strings.TrimRight(opts.URL, "/"),
		timeout: opts.Timeout,
		http:    &http.Client{Transport: opts.Transport, CheckRedirect: refuseRedirect},
	}
}

func newTransport(timeout time.Duration) *http.Transport {
	dialer := &net.Dialer{Timeout: timeout}
	return &http.Transport{
		DialContext:            dialer.DialContext,
		MaxIdleConnsPerHost:    maxIdleConns,
		IdleConnTimeout:        time.Minute,
		MaxResponseHeaderBytes: httplimits.MaxResponseHeaderBytes,
	}
}

func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Counts returns the numbers of calls so far.
func (c *Client) Counts() Counts {
	return Counts{
		Gets: c.counts.gets.Load(), Lists: c.counts.lists.Load(), Writes: c.counts.writes.Load(),
		Deletes: c.counts.deletes.Load(), Watches: c.counts.watches.Load(),
		Failed: c.counts.failed.Load(), Uncertain: c.counts.uncertain.Load(),
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// callError is the error of a call without a usable response.
type callError struct {
	// maybeSent reports that the request may have reached the store and taken effect.
	maybeSent bool
	// code is the gRPC status code that the gateway returned, or 0.
	code  int
	cause error
}

func (e *callError) Error() string { return e.cause.Error() }

// open sends a request and returns the body of the response if its status is 200.
func (c *Client) open(ctx context.Context, path string, request any) (io.ReadCloser, *callError) {
	body, err := json.Marshal(request)
	if err != nil {
		return nil, &callError{cause: err}
	}
	var sent atomic.Bool
	// The first byte is written after a connection was obtained, so a call without a connection was not sent.
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, &callError{cause: err}
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, &callError{maybeSent: sent.Load(), cause: err}
	}
	if resp.StatusCode != http.StatusOK {
		defer resp.Body.Close()
		return nil, statusError(resp)
	}
	return resp.Body, nil
}

// ClusterID returns the identity of the store's data as of the latest response, or an empty text before the first.
func (c *Client) ClusterID() string { return c.cluster.current() }

// statusError converts an error response of the gateway. Unless the error proves that the call had no effect, the call
// counts as sent.
func statusError(resp *http.Response) *callError {
	data, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	var body gatewayError
	_ = json.Unmarshal(data, &body)
	callErr := &callError{code: body.Code, cause: errors.Errorf("status %d: %s", resp.StatusCode, body.Message)}
	noEffect := body.Code == codeResourceExhausted ||
		body.Code == codeInvalidArgument ||
		body.Code == codeUnavailable && body.Message == messageNoLeader
	callErr.maybeSent = !noEffect
	return callErr
}

// call sends a request and decodes the whole response within the time limit.
func (c *Client) call(ctx context.Context, path string, request any, response callResponse) *callError {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	number := c.cluster.begin()
	body, callErr := c.open(ctx, path, request)
	if callErr != nil {
		c.counts.failed.Add(1)
		return callErr
	}
	defer body.Close()
	data, err := io.ReadAll(io.LimitReader(body, maxResponseBytes))
	if err == nil {
		err = json.Unmarshal(data, response)
	}
	if err != nil {
		c.counts.failed.Add(1)
		return &callError{maybeSent: true, cause: err}
	}
	if !c.cluster.record(number, response.clusterID()) {
		c.counts.failed.Add(1)
		return &callError{maybeSent: true, cause: errors.New("response of the cluster before a restore")}
	}
	return nil
}
