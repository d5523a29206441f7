package backend

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"

	"gooseberrytide.example/gooseberrytide/internal/coordination/execute"
	"gooseberrytide.example/gooseberrytide/internal/protocol/engine"
	"gooseberrytide.example/gooseberrytide/internal/state/object"
)

// hopByHopHeaders apply to one connection and are not forwarded. Expect is listed because it would make the transport
// wait before it sends the body.
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect", "Content-Length", "Host",
}

// Call implements execute.Backends. The request is written at most once, whatever error occurs.
func (c *Client) Call(ctx context.Context, server *object.BackendServer, call execute.Call) (*execute.Response, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	req, err := newRequest(ctx, call.Method, server, call.Path, call.Body)
	if err != nil {
		return nil, sendError(server, execute.SendNotSent, 0, err)
	}
	setCallHeader(req, call)
	resp, tracker, err := c.roundTrip(c.callTransport(req, call), req)
	if err != nil {
		return nil, roundTripError(ctx, server, tracker, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if isRefusal(resp) {
		return nil, sendError(server, execute.SendRefused, resp.StatusCode, errRefused)
	}
	return c.readResponse(ctx, server, tracker, resp, call.MaxResponseBytes)
}

// callTransport returns the pooled transport for idempotent calls that net/http cannot send again by itself, and the
// unpooled one for all others.
func (c *Client) callTransport(req *http.Request, call execute.Call) *http.Transport {
	if call.Idempotent && req.Body != http.NoBody {
		return c.pooled
	}
	return c.unpooled
}

// setCallHeader copies the end-to-end headers of the call, and sets the request id, the idempotency key and the fencing
// number. A fencing number that the caller sent is removed.
func setCallHeader(req *http.Request, call execute.Call) {
	if call.Header != nil {
		req.Header = call.Header.Clone()
	}
	for _, name := range strings.Split(strings.Join(req.Header["Connection"], ","), ",") {
		req.Header.Del(strings.TrimSpace(name))
	}
	for _, name := range hopByHopHeaders {
		req.Header.Del(name)
	}
	req.Header.Set(engine.HeaderRequestID, call.RequestID)
	if call.Key != "" {
		req.Header.Set(engine.HeaderIdempotencyKey, call.Key)
	}
	req.Header.Del(engine.HeaderFence)
	if call.Fence != 0 {
		req.Header.Set(engine.HeaderFence, strconv.FormatInt(call.Fence, 10))
	}
}

// readResponse reads the whole response. The body may have at most limit bytes, or Options.MaxResponseBytes if limit is
// not positive.
func (c *Client) readResponse(
	ctx context.Context, server *object.BackendServer, tracker *sendTracker, resp *http.Response, limit int64,
) (*execute.Response, error) {
	if limit <= 0 {
		limit = c.opts.MaxResponseBytes
	}
	if resp.StatusCode == http.StatusSwitchingProtocols {
		return nil, sendError(server, execute.SendInvalid, resp.StatusCode, errStatus)
	}
	if closeDelimited(resp) {
		return nil, sendError(server, execute.SendInvalid, resp.StatusCode, errCloseDelimited)
	}
	if resp.ContentLength > limit && resp.Request.Method != http.MethodHead {
		return nil, sendError(server, execute.SendInvalid, resp.StatusCode, errTooLarge)
	}
	var body bytes.Buffer
	n, err := body.ReadFrom(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return nil, bodyError(ctx, server, tracker, resp.StatusCode, err)
	}
	if n > limit {
		return nil, sendError(server, execute.SendInvalid, resp.StatusCode, errTooLarge)
	}
	return &execute.Response{Status: resp.StatusCode, Header: resp.Header, Trailer: resp.Trailer, Body: body.Bytes()}, nil
}

// closeDelimited reports whether only the end of the connection marks the end of the body, so that a truncated body
// cannot be detected.
func closeDelimited(resp *http.Response) bool {
	chunked := len(resp.TransferEncoding) > 0 && resp.TransferEncoding[0] == "chunked"
	return resp.ContentLength < 0 && !chunked && resp.Request.Method != http.MethodHead
}
