package backend

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"gooseberrytide.example/gooseberrytide/internal/coordination/execute"
	protocol "gooseberrytide.example/gooseberrytide/internal/protocol/engine"
	"gooseberrytide.example/gooseberrytide/internal/state/object"
	"gooseberrytide.example/gooseberrytide/test/standin/connend"
	"gooseberrytide.example/gooseberrytide/test/standin/endless"
)

// startCutServer starts a server that answers each request with a text and then ends the connection.
func startCutServer(t *testing.T, answer string, way connend.Way) *object.BackendServer {
	t.Helper()
	address := endless.Serve(t, func(c net.Conn) {
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if _, err := io.WriteString(c, answer); err == nil {
			way.End(c)
		}
	})
	return &object.BackendServer{Name: "cut", Address: address}
}

// hiddenResetConn is a connection whose resets are reported to another call, so that the reader sees an orderly end.
type hiddenResetConn struct{ net.Conn }

func (c hiddenResetConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, syscall.ECONNRESET) {
		err = io.EOF
	}
	return n, err
}

func dialHidingResets(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	return hiddenResetConn{conn}, err
}

// forEachCut calls check with a server for each part of an answer and each way to end the connection.
func forEachCut(t *testing.T, answer string, check func(g *WithT, server *object.BackendServer)) {
	t.Helper()
	for end := 1; end < len(answer); end++ {
		for _, way := range []connend.Way{connend.Close, connend.Reset} {
			t.Run(fmt.Sprintf("%s after %d", way, end), func(t *testing.T) {
				check(NewWithT(t), startCutServer(t, answer[:end], way))
			})
		}
	}
}

// Guards against a part of a response that counts as the whole one, or as one that violates the protocol and is not retried.
func TestEachPartOfAResponseIsBroken(t *testing.T) {
	answers := map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
		"chunks":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"trailer": "HTTP/1.1 200 OK\r\nTrailer: X-Sum\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX-Sum: 9\r\n\r\n",
	}
	for name, answer := range answers {
		t.Run(name, func(t *testing.T) {
			client := newTestClient(t, Options{Dial: dialHidingResets})
			call := execute.Call{Method: "POST", Path: "/", Body: []byte("x")}
			response, err := client.Call(testContext(t), startCutServer(t, answer, connend.Close), call)
			g := NewWithT(t)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(string(response.Body)).To(Equal("body"))
			forEachCut(t, answer, func(g *WithT, server *object.BackendServer) {
				_, err := client.Call(testContext(t), server, call)
				var sendErr *execute.SendError
				g.Expect(errors.As(err, &sendErr)).To(BeTrue(), "%v", err)
				g.Expect(sendErr.Kind).To(Equal(execute.SendBroken), "%v", err)
			})
		})
	}
}

// Guards against a part of a completion that counts as the whole one, or as one that violates the protocol and is not resumed.
func TestEachPartOfAStreamIsBroken(t *testing.T) {
	var events strings.Builder
	g := NewWithT(t)
	for i, finish := range []string{"", protocol.FinishStop} {
		ev := protocol.StreamEvent{ID: "r-1", Choices: []protocol.Choice{
			{Text: "t", TokenIndex: i, Tokens: 1, FinishReason: finish},
		}}
		if finish != "" {
			ev.Usage = &protocol.Usage{PromptTokens: 1, CompletionTokens: 2}
		}
		g.Expect(protocol.WriteEvent(&events, ev)).To(Succeed())
	}
	g.Expect(protocol.WriteDone(&events)).To(Succeed())
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
	answers := map[string]string{
		"no length": head + "\r\n" + events.String(),
		"chunks":    fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", head, events.Len(), events.String()),
	}
	for name, answer := range answers {
		t.Run(name, func(t *testing.T) {
			client := newTestClient(t, Options{Dial: dialHidingResets})
			read := func(server *object.BackendServer) error {
				s, err := client.Stream(testContext(t), server, completion("p", 2))
				if err != nil {
					return err
				}
				defer func() { _ = s.Close() }()
				_, err = readAll(s, &strings.Builder{})
				return err
			}
			g := NewWithT(t)
			g.Expect(read(startCutServer(t, answer, connend.Close))).To(Succeed())
			forEachCut(t, strings.TrimSuffix(answer, "\r\n"), func(g *WithT, server *object.BackendServer) {
				err := read(server)
				var sendErr *execute.SendError
				g.Expect(errors.As(err, &sendErr)).To(BeTrue(), "%v", err)
				g.Expect(sendErr.Kind).To(Equal(execute.SendBroken), "%v", err)
			})
		})
	}
}
