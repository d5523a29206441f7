package backend

import (
	"context"
	"errors"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/coordination/execute"
	"gooseberrytide.example/gooseberrytide/internal/state/object"
	"gooseberrytide.example/gooseberrytide/test/standin/engine"
)

// pipeListener accepts in-memory connections, so that timers use the fake clock of a synctest bubble.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	close(l.closed)
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (l *pipeListener) dial(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	l.conns <- far
	return near, nil
}

// startPipeEngine starts an engine and a client with default timeouts that reaches it over in-memory connections.
func startPipeEngine(opts engine.Options) (e *engine.Engine, c *Client, server *object.BackendServer, stop func()) {
	l := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
	opts.Seed = testSeed
	e = engine.New(opts)
	go func() { _ = e.Serve(l) }()
	c = New(Options{Dial: l.dial})
	synctest.Wait()
	return e, c, &object.BackendServer{Name: "engine", Address: "engine:1"}, func() {
		c.Close()
		_ = e.Close()
	}
}

// When an engine stops sending without closing the connection, the stream must fail after the idle timeout and not
// earlier.
func TestFrozenEngineFailsTheStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, client, server, stop := startPipeEngine(engine.Options{DecodeRate: 100})
		defer stop()
		s, err := client.Stream(t.Context(), server, completion("p", 100000))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := s.Next(); err != nil {
			t.Fatal(err)
		}
		e.SetFaults(engine.Faults{Freeze: true})
		start := time.Now()
		var text strings.Builder
		_, err = readAll(s, &text)
		if sendErr := requireSendError(t, err, execute.SendBroken); !errors.Is(sendErr, errIdle) {
			t.Fatalf("cause %v", sendErr.Cause)
		}
		if d := time.Since(start); d < defaultIdleTimeout || d > defaultIdleTimeout+time.Second {
			t.Fatalf("the stream failed after %s", d)
		}
		_ = s.Close()
	})
}

// Neither a request that waits for a slot longer than the idle timeout nor a stream with a slow reader may fail while
// the engine is alive.
func TestWaitingStreamIsKeptAlive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, client, server, stop := startPipeEngine(engine.Options{Slots: 1, DecodeRate: 10})
		defer stop()
		first, err := client.Stream(t.Context(), server, completion("p", 600))
		if err != nil {
			t.Fatal(err)
		}
		second, err := client.Stream(t.Context(), server, completion("q", 1))
		if err != nil {
			t.Fatal(err)
		}
		done := make(chan error)
		go func() {
			var text strings.Builder
			time.Sleep(2 * defaultIdleTimeout)
			_, err := readAll(first, &text)
			done <- err
		}()
		start := time.Now()
		var text strings.Builder
		if _, err := readAll(second, &text); err != nil {
			t.Fatal(err)
		}
		if err := <-done; err != nil {
			t.Fatal(err)
		}
		if d := time.Since(start); d < time.Minute {
			t.Fatalf("waited only %s, too short for this test", d)
		}
		_ = first.Close()
		_ = second.Close()
	})
}
