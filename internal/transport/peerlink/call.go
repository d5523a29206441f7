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

// responseMargin leaves room for the JSON-RPC envelope of a result, in bytes.
const responseMargin = 1 << 10

// caller holds the connection for calls to one peer.
type caller struct {
	n  *Network
	id ident.RouterID
	// dialing admits one dial at a time.
	dialing chan struct{}

	mu   sync.Mutex
	conn *callConn
	used time.Time
}

// callConn is a connection for calls. The caller's lock guards the counts.
type callConn struct {
	*jsonrpc2.Conn
	running int
	// broken says that no more calls may use it.
	broken bool
}

// Call calls a JSON-RPC method of a peer. Errors: *RefusedError, *jsonrpc2.Error from the peer, ErrBlocked,
// ErrUnresolved, ErrTooLarge, the context's error, or an error of the connection, after which the call may have run.
func (n *Network) Call(ctx context.Context, to ident.RouterID, method string, params, result any) error {
	if n.cut(to) {
		return ErrBlocked
	}
	c, err := n.caller(to)
	if err != nil {
		return err
	}
	err = c.call(ctx, method, params, result)
	return errors.Wrapf(err, "peerlink: call %s of %s", method, to)
}

// call sends a request and waits for its response. A request that could not be written whole is refused by the peer's
// record check, so it is sent again once over a new connection.
func (c *caller) call(ctx context.Context, method string, params, result any) error {
	conn, waiter, err := c.dispatch(ctx, method, params)
	if errors.Is(err, jsonrpc2.ErrClosed) {
		conn, waiter, err = c.dispatch(ctx, method, params)
	}
	if err != nil {
		return err
	}
	err = waiter.Wait(ctx, result)
	c.end(conn, errors.Is(err, context.DeadlineExceeded))
	return err
}

// dispatch sends a request over the open connection or a new one.
func (c *caller) dispatch(ctx context.Context, method string, params any) (*callConn, jsonrpc2.Waiter, error) {
	conn, err := c.begin(ctx)
	if err != nil {
		return nil, jsonrpc2.Waiter{}, err
	}
	waiter, err := conn.DispatchCall(ctx, method, params)
	if err != nil {
		c.end(conn, errors.Is(err, jsonrpc2.ErrClosed))
	}
	return conn, waiter, err
}

// caller returns the peer's entry for calls.
func (n *Network) caller(id ident.RouterID) (*caller, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return nil, ErrClosed
	}
	c := n.callers[id]
	if c == nil {
		c = &caller{n: n, id: id, dialing: make(chan struct{}, 1), used: time.Now()}
		n.callers[id] = c
	}
	return c, nil
}

// begin returns an open connection and keeps it from being retired.
func (c *caller) begin(ctx context.Context) (*callConn, error) {
	select {
	case c.dialing <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	defer func() { <-c.dialing }()
	if conn := c.reuse(); conn != nil {
		return conn, nil
	}
	raw, s, err := c.n.dial(ctx, c.id, kindRPC)
	if err != nil {
		return nil, err
	}
	conn := &callConn{Conn: c.n.open(raw, s), running: 1}
	if !c.n.spawn(func() { c.watch(conn, raw) }) {
		_ = conn.Close()
		c.n.release(raw)
		return nil, ErrClosed
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conn = conn
	return conn, nil
}

// reuse returns the open connection, or nil.
func (c *caller) reuse() *callConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		c.conn.running++
	}
	return c.conn
}

// end counts a call as over. A connection that failed or did not answer in time is not used again, because the peer may
// be gone; it closes when its other calls are over.
func (c *caller) end(conn *callConn, broken bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.used = time.Now()
	conn.running--
	conn.broken = conn.broken || broken
	if !conn.broken {
		return
	}
	if c.conn == conn {
		c.conn = nil
	}
	if conn.running == 0 {
		_ = conn.Close()
	}
}

// watch forgets the connection when it closes.
func (c *caller) watch(conn *callConn, raw net.Conn) {
	<-conn.DisconnectNotify()
	c.n.release(raw)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn == conn {
		c.conn = nil
	}
}

// retire closes an idle connection. It returns true when the entry is of no more use.
func (c *caller) retire() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.used) < c.n.opts.IdleTimeout {
		return false
	}
	if c.conn == nil {
		return true
	}
	if c.conn.running == 0 {
		_ = c.conn.Close()
		c.conn = nil
	}
	return false
}

// open starts JSON-RPC on a connection. Both ends serve the methods; only the dialing end calls.
func (n *Network) open(conn net.Conn, s *session) *jsonrpc2.Conn {
	stream := &stream{n: n, conn: conn, records: newRecords(conn, s, peer.MaxRPCMessageBytes)}
	h := &handler{n: n, from: s.peer, slots: make(chan struct{}, maxCalls)}
	return jsonrpc2.NewConn(n.ctx, stream, h, jsonrpc2.SetLogger(zap.NewStdLog(n.opts.Logger)))
}

// serveCalls serves an accepted connection to its end.
func (n *Network) serveCalls(conn net.Conn, s *session) {
	rpc := n.open(conn, s)
	<-rpc.DisconnectNotify()
}

// stream carries JSON-RPC objects in records.
type stream struct {
	n       *Network
	conn    net.Conn
	mu      sync.Mutex
	records *records
}

// WriteObject sends one object.
func (s *stream) WriteObject(obj any) error {
	data, err := json.Marshal(obj)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	size, err := s.records.write(data)
	s.n.counters.out[peer.ClassRPC].add(1, size)
	if err != nil && !errors.Is(err, ErrTooLarge) {
		_ = s.conn.Close() // a record cut short cannot be continued
	}
	return err
}

// ReadObject receives one object.
func (s *stream) ReadObject(v any) error {
	data, size, err := s.records.read()
	if err != nil {
		return err
	}
	s.n.counters.in[peer.ClassRPC].add(1, size)
	return json.Unmarshal(data, v)
}

// Close closes the connection.
func (s *stream) Close() error { return s.conn.Close() }

// handler serves the calls of one connection.
type handler struct {
	n     *Network
	from  peer.Endpoint
	slots chan struct{}
}

// Handle runs a call on a goroutine of its own. It waits while too many run, which stops the peer's stream.
func (h *handler) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
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

// serve runs a call and sends its response.
func (h *handler) serve(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
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

// invoke calls the method unless a test cut the peer off.
func (h *handler) invoke(ctx context.Context, req *jsonrpc2.Request) (any, error) {
	if h.n.cut(h.from.Router) {
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

// rpcError converts a method's error.
func rpcError(err error) *jsonrpc2.Error {
	var typed *jsonrpc2.Error
	if errors.As(err, &typed) {
		return typed
	}
	return &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()}
}
