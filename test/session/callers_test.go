package session

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/coordination/execute"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/state/object"
	"gooseberrytide.example/gooseberrytide/internal/state/timeline"
)

const (
	// tokenInterval is the time that an engine takes for each token.
	tokenInterval = 701 * time.Millisecond
	// callDuration is the time that a call to a plain service takes.
	callDuration = 103 * time.Millisecond
)

// noRetries is a retry budget that allows no retries.
type noRetries struct{}

func (noRetries) Deposit(ident.TeamID, ident.PoolID)    {}
func (noRetries) Allow(ident.TeamID, ident.PoolID) bool { return false }
func (noRetries) Backoff(int) time.Duration             { return time.Millisecond }

// backends simulates the backend servers for one router and records the calls to them.
type backends struct{ node *node }

// Call implements execute.Backends.
func (b backends) Call(ctx context.Context, s *object.BackendServer, c execute.Call) (*execute.Response, error) {
	b.node.log(c.RequestID, "%s => %s  %s %s request=%s key=%s fence=%d",
		b.node.id, s.Name, c.Method, c.Path, c.RequestID, c.Key, c.Fence)
	if !sleep(ctx, callDuration) {
		return nil, &execute.SendError{Kind: execute.SendBroken, Backend: s.Name, Cause: ctx.Err()}
	}
	b.node.log(c.RequestID, "%s <= %s  status=201", b.node.id, s.Name)
	return &execute.Response{Status: http.StatusCreated, Header: http.Header{}, Body: []byte("credited")}, nil
}

// Stream implements execute.Backends.
func (b backends) Stream(ctx context.Context, s *object.BackendServer, c execute.Completion) (execute.Stream, error) {
	b.node.log(c.RequestID, "%s => %s  stream request=%s model=%s version=%s max=%d resume=%d",
		b.node.id, s.Name, c.RequestID, c.Model, c.Version, c.MaxTokens, c.ResumeAt)
	return &stream{ctx: ctx, node: b.node, server: s.Name, request: c}, nil
}

// stream is a completion that yields one token per tokenInterval.
type stream struct {
	ctx     context.Context
	node    *node
	server  string
	request execute.Completion
	next    int
}

// Next implements execute.Stream.
func (s *stream) Next() (execute.Chunk, error) {
	if !sleep(s.ctx, tokenInterval) {
		return execute.Chunk{}, &execute.SendError{Kind: execute.SendBroken, Backend: s.server, Cause: s.ctx.Err()}
	}
	c := execute.Chunk{Index: s.next, Tokens: 1, Text: fmt.Sprintf("t%d ", s.next)}
	s.next++
	if s.next == s.request.MaxTokens {
		c.Done, c.FinishReason, c.PromptTokens = true, "length", 3
	}
	s.node.log(s.request.RequestID, "%s <= %s  token request=%s index=%d done=%t",
		s.node.id, s.server, s.request.RequestID, c.Index, c.Done)
	return c, nil
}

// Close implements execute.Stream.
func (s *stream) Close() error { return nil }

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// startCompletion requests a completion in the background. The request gets the next number of its router.
func (f *fleet) startCompletion(ctx context.Context, at ident.RouterID, team ident.TeamID, tokens int) {
	n := f.node(at)
	f.calls.Go(func() {
		ref := n.executor.NewRequest()
		n.events.Add(timeline.Event{Kind: timeline.KindRequest, Request: ref.String(), Team: team, Detail: "model/m"})
		var text strings.Builder
		r := n.executor.Complete(ctx, execute.CompletionRequest{
			Ref: ref, Team: team, Model: "m", Prompt: "one two three", MaxTokens: tokens, PromptTokens: 3, OutputTokens: tokens,
		}, func(c execute.Chunk) error {
			text.WriteString(c.Text)
			return nil
		})
		n.recordAnswer(ref, team, r.Outcome, r.Reason, fmt.Sprintf("tokens=%d text=%q", r.OutputTokens, text.String()))
	})
}

// call makes a call to the plain service and waits for its answer.
func (f *fleet) call(at ident.RouterID, team ident.TeamID, key, body string) {
	n := f.node(at)
	ref := n.executor.NewRequest()
	n.events.Add(timeline.Event{Kind: timeline.KindRequest, Request: ref.String(), Team: team,
		Detail: "POST service/credits"})
	r := n.executor.Call(context.Background(), execute.CallRequest{
		Ref: ref, Team: team, Service: "credits", Method: http.MethodPost, Path: "/credits", Body: []byte(body), Key: key,
	})
	detail := fmt.Sprintf("replayed=%t", r.Replayed)
	if r.Response != nil {
		detail += fmt.Sprintf(" status=%d body=%q", r.Response.Status, r.Response.Body)
	}
	if r.Err != nil {
		detail += fmt.Sprintf(" error=%q", r.Err)
	}
	n.recordAnswer(ref, team, r.Outcome, r.Reason, detail)
}

// recordAnswer records the answer that the caller gets, as a timeline event and as a line.
func (n *node) recordAnswer(
	ref ident.RequestRef, team ident.TeamID, outcome execute.Outcome, reason execute.Reason, detail string,
) {
	text := string(outcome)
	if reason != "" {
		text += ": " + string(reason)
	}
	n.events.Add(timeline.Event{Kind: timeline.KindOutcome, Request: ref.String(), Team: team, Detail: text})
	n.log(ref.String(), "%s -> caller  %s %s %s", n.id, ref, text, detail)
}
