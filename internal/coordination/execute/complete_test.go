package execute

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"

	"pgregory.net/rapid"

	"gooseberrytide.example/gooseberrytide/internal/coordination/message"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
)

var promptRequest = CompletionRequest{
	Team: "fernleigh", Model: "m", Prompt: "alarm", MaxTokens: 8, PromptTokens: 5, OutputTokens: 8,
}

// tokenChunks returns the chunks with the tokens [from, until) of an 8-token completion. Tokens 4 and 5 are in one
// chunk.
func tokenChunks(from, until int) []Chunk {
	var chunks []Chunk
	for i := from; i < until; i++ {
		c := Chunk{Index: i, Tokens: 1, Text: fmt.Sprintf("%d ", i)}
		if i == 4 && i+1 < until {
			i++
			c.Tokens, c.Text = 2, "4 5 "
		}
		chunks = append(chunks, c)
	}
	if until == 8 {
		last := &chunks[len(chunks)-1]
		last.Done, last.FinishReason, last.PromptTokens = true, "length", 4
	}
	return chunks
}

const wholeText = "0 1 2 3 4 5 6 7 "

// collect runs the completion and returns the text passed to the caller.
func collect(ctx context.Context, t *testing.T, r *testRouter) (string, CompletionResult) {
	t.Helper()
	var text strings.Builder
	next := 0
	result := r.Complete(ctx, promptRequest, func(c Chunk) error {
		if c.Index != next {
			t.Fatalf("caller got token %d, expected %d", c.Index, next)
		}
		next += c.Tokens
		text.WriteString(c.Text)
		return nil
	})
	return text.String(), result
}

// Guards against lost and duplicate tokens, wrong costs, and a resumed request that does not contain the tokens already
// passed to the caller.
func TestBrokenStreamIsResumed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestRouter(t, "r1", newFakeStore())
		var requests []Completion
		r.backends.stream = func(_ context.Context, _ string, c Completion) (Stream, error) {
			requests = append(requests, c)
			return &fakeStream{chunks: tokenChunks(c.ResumeAt, min(c.ResumeAt+3, 8)), err: sendError(SendBroken)}, nil
		}
		text, result := collect(t.Context(), t, r)
		if text != wholeText || result.Outcome != Completed || result.Resumes != 2 || result.OutputTokens != 8 ||
			result.FinishReason != "length" {
			t.Fatalf("text %q, result %+v", text, result)
		}
		if len(requests) != 3 || requests[1].ResumeAt != 3 || requests[1].Emitted != "0 1 2 " || requests[0].Version != "v1" {
			t.Fatalf("engine requests %+v", requests)
		}
		settled, costs := r.admitter.settlements(t)
		if !slices.Equal(settled, []message.SettleResult{message.SettleFailed, message.SettleFailed, message.SettleOK}) {
			t.Fatalf("settled %v", settled)
		}
		if !slices.Equal(costs, []ident.Cost{35, 35, 24}) {
			t.Fatalf("costs %v", costs)
		}
		if progress := r.admitter.attempts[0].progress; !slices.Equal(progress, []ident.Cost{15, 25, 35}) {
			t.Fatalf("progress %v", progress)
		}
		if r.admitter.works[0].Hint != 85 || len(r.admitter.works[1].Exclude) != 1 {
			t.Fatalf("works %+v", r.admitter.works)
		}
	})
}

// Guards against unlimited resumes and against a stream that ends without an outcome.
func TestStreamFailsAfterThreeResumes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestRouter(t, "r1", newFakeStore())
		r.backends.stream = func(_ context.Context, _ string, c Completion) (Stream, error) {
			return &fakeStream{chunks: tokenChunks(c.ResumeAt, c.ResumeAt+1), err: sendError(SendBroken)}, nil
		}
		text, result := collect(t.Context(), t, r)
		if text != "0 1 2 3 " || result.Outcome != Failed || result.Resumes != 3 || r.backends.sent.Load() != 4 {
			t.Fatalf("text %q, result %+v, sent %d", text, result, r.backends.sent.Load())
		}
		r.admitter.settlements(t)
	})
}

// Guards against passing chunks to the caller in which an engine repeats, skips or miscounts tokens.
func TestInvalidChunksAreNotPassedToTheCaller(t *testing.T) {
	for name, wrong := range map[string]Chunk{
		"repeated":              {Index: 2, Tokens: 1, Text: "2 "},
		"skipped":               {Index: 4, Tokens: 1, Text: "4 "},
		"overlapping":           {Index: 2, Tokens: 2, Text: "2 3 "},
		"end of another answer": {Index: 7, Tokens: 1, Text: "7 ", Done: true},
		"negative":              {Index: 3, Tokens: -1},
		"too long":              {Index: 3, Tokens: 6, Text: "x"},
		"uncounted":             {Index: 3, Text: "x"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newTestRouter(t, "r1", newFakeStore())
				first := &fakeStream{chunks: append(tokenChunks(0, 3), wrong)}
				r.backends.stream = func(_ context.Context, _ string, c Completion) (Stream, error) {
					if c.ResumeAt == 0 {
						return first, nil
					}
					return &fakeStream{chunks: tokenChunks(c.ResumeAt, 8)}, nil
				}
				text, result := collect(t.Context(), t, r)
				if text != wholeText || result.Outcome != Completed || first.closed != 1 {
					t.Fatalf("text %q, result %+v, closed %d", text, result, first.closed)
				}
				r.admitter.settlements(t)
			})
		})
	}
}

// Guards against the outcome not-run when an engine may have run the request, and against other outcomes when none did.
func TestOutcomeOfRefusedAndBrokenStreams(t *testing.T) {
	for _, c := range []struct {
		name    string
		kinds   []SendErrorKind
		outcome Outcome
	}{
		{"refused everywhere", []SendErrorKind{SendRefused, SendNotSent}, NotRun},
		{"broken before the first token, then refused", []SendErrorKind{SendBroken, SendRefused}, Failed},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newTestRouter(t, "r1", newFakeStore())
				next := 0
				r.backends.stream = func(context.Context, string, Completion) (Stream, error) {
					kind := c.kinds[min(next, len(c.kinds)-1)]
					next++
					return nil, sendError(kind)
				}
				_, result := collect(t.Context(), t, r)
				if result.Outcome != c.outcome || result.RetryAfter <= 0 || next > maxAttempts+1 {
					t.Fatalf("result %+v after %d attempts", result, next)
				}
				r.admitter.settlements(t)
			})
		})
	}
}

// Guards against an engine that keeps generating after the caller has disconnected.
func TestDisconnectEndsTheStream(t *testing.T) {
	r := newTestRouter(t, "r1", newFakeStore())
	stream := &fakeStream{chunks: tokenChunks(0, 8)}
	r.backends.stream = func(context.Context, string, Completion) (Stream, error) { return stream, nil }
	gone := errors.New("connection closed")
	result := r.Complete(t.Context(), promptRequest, func(c Chunk) error {
		if c.Index == 2 {
			return gone
		}
		return nil
	})
	settled, costs := r.admitter.settlements(t)
	if result.Outcome != Failed || result.Reason != ReasonCancelled || !errors.Is(result.Err, gone) || stream.closed != 1 {
		t.Fatalf("result %+v, closed %d", result, stream.closed)
	}
	if len(settled) != 1 || settled[0] != message.SettleFailed || costs[0] != 25 {
		t.Fatalf("settled %v at %v", settled, costs)
	}
}

// Guards against a text with gaps or duplicates, and a wrong outcome, under random combinations of faults.
func TestFaultyStreamsDeliverAPrefix(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		synctest.Test(t, func(t *testing.T) {
			r := newTestRouter(t, "r1", newFakeStore())
			r.backends.stream = func(_ context.Context, _ string, c Completion) (Stream, error) {
				if rapid.Bool().Draw(rt, "refused") {
					return nil, sendError(rapid.SampledFrom([]SendErrorKind{SendNotSent, SendRefused, SendBroken}).Draw(rt, "kind"))
				}
				chunks := tokenChunks(c.ResumeAt, 8)
				at := rapid.IntRange(0, len(chunks)-1).Draw(rt, "wrong at")
				chunks[at].Index += rapid.IntRange(-2, 2).Draw(rt, "shift")
				return &fakeStream{chunks: chunks[:rapid.IntRange(0, len(chunks)).Draw(rt, "cut")], err: sendError(SendBroken)}, nil
			}
			text, result := collect(t.Context(), t, r)
			r.admitter.settlements(t)
			if !strings.HasPrefix(wholeText, text) || (result.Outcome == Completed) != (text == wholeText) {
				rt.Fatalf("text %q, result %+v", text, result)
			}
			if result.Outcome == NotRun && text != "" {
				rt.Fatalf("not-run after %q", text)
			}
		})
	})
}
