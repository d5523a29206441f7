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
)

// DefaultTimeout bounds one call. A store that answers later is treated as one that lost the answer.
const DefaultTimeout = 2 * time.Second

// maxAnswerBytes bounds an answer: a list of a few values of 1 MB in base64.
const maxAnswerBytes = 64 << 20

// maxErrorBytes bounds the body of an error.
const maxErrorBytes = 64 << 10

// maxIdleConns is enough for the calls of one router.
const maxIdleConns = 16

// Options configure a client.
type Options struct {
	// URL is the gateway's base URL, as in http://10.0.0.9:2379.
	URL string
	// Timeout bounds one call; 0 means DefaultTimeout. It does not bound a waiting watch.
	Timeout time.Duration
	// Transport sends the requests; nil means a transport of its own without proxy.
	Transport http.RoundTripper
}

// Client is a kv.Store. It is safe for concurrent use.
type Client struct {
	base    string
	timeout time.Duration
	http    *http.Client
	counts  counters
}

var _ kv.Store = (*Client)(nil)

type counters struct {
	gets, lists, writes, deletes, watches, failed, uncertain atomic.Int64
}

// Counts are the numbers of calls to the store since the start.
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
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     time.Minute,
	}
}

func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Counts returns the numbers of calls.
func (c *Client) Counts() Counts {
	return Counts{
		Gets: c.counts.gets.Load(), Lists: c.counts.lists.Load(), Writes: c.counts.writes.Load(),
		Deletes: c.counts.deletes.Load(), Watches: c.counts.watches.Load(),
		Failed: c.counts.failed.Load(), Uncertain: c.counts.uncertain.Load(),
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// callError is a call without a usable answer.
type callError struct {
	// sent says that the request may have reached the store.
	sent  bool
	code  int
	cause error
}

func (e *callError) Error() string { return e.cause.Error() }

// open sends a request and returns the answer's body after a success status.
func (c *Client) open(ctx context.Context, path string, request any) (io.ReadCloser, *callError) {
	body, err := json.Marshal(request)
	if err != nil {
		return nil, &callError{cause: err}
	}
	var sent atomic.Bool
	// A connection is needed before the first byte is written, so a call that got none was not sent.
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	call, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, &callError{cause: err}
	}
	call.Header.Set("Content-Type", "application/json")
	answer, err := c.http.Do(call)
	if err != nil {
		return nil, &callError{sent: sent.Load(), cause: err}
	}
	if answer.StatusCode != http.StatusOK {
		defer answer.Body.Close()
		return nil, refusal(answer)
	}
	return answer.Body, nil
}

// refusal reads an error of the gateway. An error that does not prove that the call had no effect counts as sent.
func refusal(answer *http.Response) *callError {
	data, _ := io.ReadAll(io.LimitReader(answer.Body, maxErrorBytes))
	var body gatewayError
	_ = json.Unmarshal(data, &body)
	failure := &callError{code: body.Code, cause: errors.Errorf("status %d: %s", answer.StatusCode, body.Message)}
	harmless := body.Code == codeExhausted ||
		body.Code == codeInvalid ||
		body.Code == codeUnavailable && body.Message == messageNoLeader
	failure.sent = !harmless
	return failure
}

// call sends a request and decodes the whole answer within the time limit.
func (c *Client) call(ctx context.Context, path string, request, response any) *callError {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	body, failure := c.open(ctx, path, request)
	if failure != nil {
		c.counts.failed.Add(1)
		return failure
	}
	defer body.Close()
	data, err := io.ReadAll(io.LimitReader(body, maxAnswerBytes))
	if err == nil {
		err = json.Unmarshal(data, response)
	}
	if err != nil {
		c.counts.failed.Add(1)
		return &callError{sent: true, cause: err}
	}
	return nil
}
