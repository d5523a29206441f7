package backend

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"gooseberrytide.example/gooseberrytide/internal/coordination/execute"
	"gooseberrytide.example/gooseberrytide/internal/coordination/scheduler"
	protocol "gooseberrytide.example/gooseberrytide/internal/protocol/engine"
	"gooseberrytide.example/gooseberrytide/internal/state/object"
	"gooseberrytide.example/gooseberrytide/test/standin/connend"
	"gooseberrytide.example/gooseberrytide/test/standin/cutserver"
)

// cutServer returns the backend server at the address of a cutserver.
func cutServer(address string) *object.BackendServer {
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
			response, err := client.Call(testContext(t), cutServer(cutserver.Start(t, answer, connend.Close)), call)
			g := NewWithT(t)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(string(response.Body)).To(Equal("body"))
			cutserver.ForEachPart(t, answer, func(t *testing.T, address string) {
				_, err := client.Call(testContext(t), cutServer(address), call)
				var sendErr *execute.SendError
				g := NewWithT(t)
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
			g.Expect(read(cutServer(cutserver.Start(t, answer, connend.Close)))).To(Succeed())
			cutserver.ForEachPart(t, strings.TrimSuffix(answer, "\r\n"), func(t *testing.T, address string) {
				err := read(cutServer(address))
				var sendErr *execute.SendError
				g := NewWithT(t)
				g.Expect(errors.As(err, &sendErr)).To(BeTrue(), "%v", err)
				g.Expect(sendErr.Kind).To(Equal(execute.SendBroken), "%v", err)
			})
		})
	}
}

// Guards against a part of an engine's state without a length that counts as the state.
func TestEachPartOfAStateIsAnError(t *testing.T) {
	const answer = cutserver.NoLength + `{"model":"m","version":"2","loading":{"kind":"load-model","model":"n","fence":1}}`
	client := newTestClient(t, Options{Dial: dialHidingResets})
	state, err := client.State(testContext(t), cutServer(cutserver.Start(t, answer, connend.Close)))
	g := NewWithT(t)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(state.Loading).NotTo(BeNil())
	cutserver.ForEachPart(t, answer, func(t *testing.T, address string) {
		_, err := client.State(testContext(t), cutServer(address))
		NewWithT(t).Expect(err).To(HaveOccurred())
	})
}

// Guards against a part of a report that is delivered, as one that lists fewer prefixes.
func TestOnlyWholeReportsAreDelivered(t *testing.T) {
	const first = `{"cache":{"seq":1,"added":["a","b"],"cleared":true}}` + "\n"
	const second = `{"cache":{"seq":2,"added":["c","d"]}}` + "\n"
	client := newTestClient(t, Options{Dial: dialHidingResets})
	read := func(address string) (hashes []uint64) {
		s := &subscription{client: client, server: cutServer(address), onCache: func(e scheduler.CacheEvent) {
			hashes = append(hashes, e.Added...)
		}}
		NewWithT(t).Expect(s.readStream(testContext(t))).NotTo(Succeed())
		return hashes
	}
	NewWithT(t).Expect(read(cutserver.Start(t, cutserver.NoLength+first+second, connend.Close))).
		To(Equal([]uint64{0xa, 0xb, 0xc, 0xd}))
	cutserver.ForEachPart(t, cutserver.NoLength+first+second, func(t *testing.T, address string) {
		NewWithT(t).Expect(read(address)).To(Or(BeEmpty(), Equal([]uint64{0xa, 0xb})))
	})
}
