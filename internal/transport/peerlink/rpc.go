package peerlink

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"
	"go.uber.org/zap"

	"gooseberrytide.example/gooseberrytide/internal/protocol/peer"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
)

// responseMargin is the space reserved for the JSON-RPC envelope of a result, in bytes.
const responseMargin = 1 << 10

// rpcClient holds the connection for calls to one peer.
type rpcClient struct {
	n  *Network
	id ident.RouterID
	// dialSlot is a semaphore that allows one dial at a time.
	dialSlot chan struct{}

	mu sync.Mutex
	// conn is the open connection, or nil.
	conn *rpcConn
	// lastUsed is the time when the latest call ended, or when the client was created.
	lastUsed time.Time
}

// rpcConn is a connection for calls. The lock of its rpcClient guards the fields.
type rpcConn struct {
	*jsonrpc2.Conn
	// activeCalls is the number of calls in progress.
	activeCalls int
	// broken reports that no new calls may use the connection.
	broken bool
}

// Call calls a JSON-RPC method of a peer. Errors: *RefusedError, *jsonrpc2.Error from the peer, ErrBlocked, ErrClosed,
// ErrUnresolved, ErrTooLarge, the context's error, or a connection error, after which the call may have run.
func (n *Network) Call(ctx context.Context, to ident.RouterID, method string, params, result any) error {
	if n.isBlocked(to) {
		return ErrBlocked
	}
	c, err := n.rpcClientFor(to)
	if err != nil {
		return err
	}
	err = c.call(ctx, method, params, result)
	return errors.Wrapf(err, "peerlink: call %s of %s", method, to)
}

// call sends a request and waits for its response. A request that could not be written completely is sent again once
// over a new connection, because the peer rejects the incomplete record.
func (c *rpcClient) call(ctx context.Context, method string, params, result any) error {
	conn, waiter, err := c.dispatch(ctx, method, params)
	if errors.Is(err, jsonrpc2.ErrClosed) {
		conn, waiter, err = c.dispatch(ctx, method, params)
	}
	if err != nil {
		return err
	}
	err = waiter.Wait(ctx, result)
	c.release(conn, errors.Is(err, context.DeadlineExceeded))
	return err
}

// dispatch sends a request on the open connection or on a new one.
func (c *rpcClient) dispatch(ctx context.Context, method string, params any) (*rpcConn, jsonrpc2.Waiter, error) {
	conn, err := c.acquire(ctx)
	if err != nil {
		return nil, jsonrpc2.Waiter{}, err
	}
	waiter, err := conn.DispatchCall(ctx, method, params)
	if err != nil {
		c.release(conn, errors.Is(err, jsonrpc2.ErrClosed))
	}
	return conn, waiter, err
}

// rpcClientFor returns the client for calls to a peer, creating it if needed.
func (n *Network) rpcClientFor(id ident.RouterID) (*rpcClient, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return nil, ErrClosed
	}
	c := n.rpcClients[id]
	if c == nil {
		c = &rpcClient{n: n, id: id, dialSlot: make(chan struct{}, 1), lastUsed: time.Now()}
		n.rpcClients[id] = c
	}
	return c, nil
}

// acquire returns an open connection, dialing if needed, and counts a call on it. Each acquire needs one release.
func (c *rpcClient) acquire(ctx context.Context) (*rpcConn, error) {
	select {
	case c.dialSlot <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	defer func() { <-c.dialSlot }()
	if conn := c.acquireOpen(); conn != nil {
		return conn, nil
	}
	netConn, s, err := c.n.dial(ctx, c.id, kindRPC)
	if err != nil {
		return nil, err
	}
	conn := &rpcConn{Conn: c.n.newRPCConn(netConn, s), activeCalls: 1}
	if !c.n.spawn(func() { c.watchConn(conn, netConn) }) {
		_ = conn.Close()
		c.n.closeConn(netConn)
		return nil, ErrClosed
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conn = conn
	return conn, nil
}

// acquireOpen returns the open connection and counts a call on it. It returns nil if there is none.
func (c *rpcClient) acquireOpen() *rpcConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		c.conn.activeCalls++
	}
	return c.conn
}

// release ends a call on a connection. broken reports that the connection failed or that the call timed out. Such a
// connection gets no new calls, because the peer may be down, and is closed after its other calls have ended.
func (c *rpcClient) release(conn *rpcConn, broken bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastUsed = time.Now()
	conn.activeCalls--
	conn.broken = conn.broken || broken
	if !conn.broken {
		return
	}
	if c.conn == conn {
		c.conn = nil
	}
	if conn.activeCalls == 0 {
		_ = conn.Close()
	}
}

// watchConn removes the connection when it is closed.
func (c *rpcClient) watchConn(conn *rpcConn, netConn net.Conn) {
	<-conn.DisconnectNotify()
	c.n.closeConn(netConn)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn == conn {
		c.conn = nil
	}
}

// closeIdle closes a connection that was not used for the idle timeout. It returns true if the client was not used for
// that time and has no connection, so that it can be removed.
func (c *rpcClient) closeIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.lastUsed) < c.n.opts.IdleTimeout {
		return false
	}
	if c.conn == nil {
		return true
	}
	if c.conn.activeCalls == 0 {
		_ = c.conn.Close()
		c.conn = nil
	}
	return false
}

// newRPCConn starts JSON-RPC on a connection. Both ends serve methods, but only the dialing end sends calls.
func (n *Network) newRPCConn(conn net.Conn, s *session) *jsonrpc2.Conn {
	stream := &recordStream{n: n, conn: conn, records: newRecordConn(conn, s, peer.MaxRPCMessageBytes)}
	handler := &rpcHandler{n: n, from: s.peer, slots: make(chan struct{}, maxConcurrentCalls)}
	return jsonrpc2.NewConn(n.ctx, stream, handler, jsonrpc2.SetLogger(zap.NewStdLog(n.opts.Logger)))
}

// serveCalls serves JSON-RPC on an accepted connection until the connection ends.
func (n *Network) serveCalls(conn net.Conn, s *session) {
	rpc := n.newRPCConn(conn, s)
	<-rpc.DisconnectNotify()
}

// recordStream is a jsonrpc2.ObjectStream that transports each JSON-RPC object in one record.
type recordStream struct {
	n       *Network
	conn    net.Conn
	mu      sync.Mutex
	records *recordConn
}

// WriteObject implements jsonrpc2.ObjectStream.
func (s *recordStream) WriteObject(obj any) error {
	data, err := json.Marshal(obj)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	size, err := s.records.write(data)
	s.n.counters.out[peer.ClassRPC].add(1, size)
	if err != nil && !errors.Is(err, ErrTooLarge) {
		_ = s.conn.Close() // a partially written record makes the stream unusable
	}
	return err
}

// ReadObject implements jsonrpc2.ObjectStream.
func (s *recordStream) ReadObject(v any) error {
	data, size, err := s.records.read()
	if err != nil {
		return err
	}
	s.n.counters.in[peer.ClassRPC].add(1, size)
	return json.Unmarshal(data, v)
}

// Close closes the connection.
func (s *recordStream) Close() error { return s.conn.Close() }

// rpcHandler serves the calls of one connection.
type rpcHandler struct {
	n    *Network
	from peer.Endpoint
	// slots is a semaphore that limits the concurrent calls.
	slots chan struct{}
}

// Handle implements jsonrpc2.Handler. It serves the call on a new goroutine. While too many calls are running it
// blocks, so that no more requests are read from the connection.
func (h *rpcHandler) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	select {
	case h.slots <- struct{}{}:
	case <-ctx.Done():
		return
	}
	go func() {
		defer func() { <-h.slots }()
		h.serve(ctx, conn, req)
	}()
}

// serve runs a call and sends the response.
func (h *rpcHandler) serve(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	result, err := h.invoke(ctx, req)
	if req.Notif {
		return
	}
	resp := &jsonrpc2.Response{ID: req.ID}
	if err == nil {
		err = resp.SetResult(result)
	}
	if err == nil && len(*resp.Result) > peer.MaxRPCMessageBytes-responseMargin {
		err = ErrTooLarge
	}
	if err != nil {
		resp.Result = nil
		resp.Error = rpcError(err)
	}
	if err := conn.SendResponse(ctx, resp); err != nil && ctx.Err() == nil {
		h.n.opts.Logger.Info("peerlink: response not sent", zap.String("method", req.Method), zap.Error(err))
	}
}

// invoke calls the method unless the peer is blocked.
func (h *rpcHandler) invoke(ctx context.Context, req *jsonrpc2.Request) (any, error) {
	if h.n.isBlocked(h.from.Router) {
		return nil, ErrBlocked
	}
	var params json.RawMessage
	if req.Params != nil {
		params = *req.Params
	}
	method, ok := h.n.opts.Methods[req.Method]
	if ok {
		return method(ctx, h.from, params)
	}
	if req.Method == peer.MethodEcho {
		return h.n.echo(params)
	}
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "no method " + req.Method}
}

// echo serves peer.MethodEcho.
func (n *Network) echo(params json.RawMessage) (any, error) {
	var p peer.EchoParams
	if err := json.Unmarshal(params, &p); err != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	self := n.self()
	return peer.EchoResult{Text: p.Text, Router: string(self.Router), Incarnation: uint64(self.Incarnation)}, nil
}

// rpcError converts the error of a method to a JSON-RPC error.
func rpcError(err error) *jsonrpc2.Error {
	var rpcErr *jsonrpc2.Error
	if errors.As(err, &rpcErr) {
		return rpcErr
	}
	return &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()}
}
