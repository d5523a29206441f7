package caller

import (
	"encoding/json"

	"gooseberrytide.example/gooseberrytide/internal/coordination/execute"
)

// CompletionEncoder encodes the response to one completion request, streamed or whole.
type CompletionEncoder struct {
	kind  Kind
	id    string
	model string
	// created is in seconds since the Unix epoch.
	created int64
}

// NewCompletionEncoder returns an encoder for the response to a request. created is in seconds since the Unix epoch.
func NewCompletionEncoder(c *Completion, requestID string, created int64) *CompletionEncoder {
	return &CompletionEncoder{kind: c.Kind, id: requestID, model: c.Model, created: created}
}

// completionBody is the JSON object of a whole completion or of one chunk.
type completionBody struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index        int          `json:"index"`
	Text         *string      `json:"text,omitempty"`
	Delta        *chatMessage `json:"delta,omitempty"`
	Message      *chatMessage `json:"message,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

type chatMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// outcomeEvent is the data of the last event of a stream.
type outcomeEvent struct {
	Outcome      execute.Outcome `json:"outcome"`
	RequestID    string          `json:"request_id"`
	Error        *Error          `json:"error,omitempty"`
	RetryAfterMS int64           `json:"retry_after_ms,omitempty"`
	Usage        *usage          `json:"usage,omitempty"`
}

// ContentTypeEvents is the content type of a stream.
const ContentTypeEvents = "text/event-stream"

// ContentTypeJSON is the content type of all other responses that routers generate.
const ContentTypeJSON = "application/json"

// EncodeChunk returns the server-sent event for one chunk.
func (e *CompletionEncoder) EncodeChunk(c execute.Chunk) ([]byte, error) {
	item := choice{Text: &c.Text}
	object := "text_completion"
	if e.kind == KindChat {
		item = choice{Delta: &chatMessage{Content: c.Text}}
		object = "chat.completion.chunk"
		if c.Index == 0 {
			item.Delta.Role = "assistant"
		}
	}
	if c.Done {
		item.FinishReason = &c.FinishReason
	}
	return encodeEvent("", e.newBody(object, item))
}

// EncodeEnd returns the events that end a stream: the [DONE] marker if the request completed, then in any case an event
// named "outcome".
func (e *CompletionEncoder) EncodeEnd(r execute.CompletionResult) ([]byte, error) {
	data := outcomeEvent{
		Outcome:      r.Outcome,
		RequestID:    r.RequestID,
		RetryAfterMS: r.RetryAfter.Milliseconds(),
		Usage:        usageOf(r),
	}
	if r.Outcome != execute.Completed {
		data.Error = NewError(r.Outcome, r.Reason)
		return encodeEvent("outcome", data)
	}
	encoded, err := encodeEvent("outcome", data)
	return append([]byte("data: [DONE]\n\n"), encoded...), err
}

// EncodeResponse returns the body of a completion that is not streamed.
func (e *CompletionEncoder) EncodeResponse(text string, r execute.CompletionResult) ([]byte, error) {
	item := choice{Text: &text, FinishReason: &r.FinishReason}
	object := "text_completion"
	if e.kind == KindChat {
		item.Text = nil
		item.Message = &chatMessage{Role: "assistant", Content: text}
		object = "chat.completion"
	}
	body := e.newBody(object, item)
	body.Usage = usageOf(r)
	return json.Marshal(body)
}

func (e *CompletionEncoder) newBody(object string, item choice) completionBody {
	return completionBody{ID: e.id, Object: object, Created: e.created, Model: e.model, Choices: []choice{item}}
}

func usageOf(r execute.CompletionResult) *usage {
	return &usage{
		PromptTokens:     r.PromptTokens,
		CompletionTokens: r.OutputTokens,
		TotalTokens:      r.PromptTokens + r.OutputTokens,
	}
}

// encodeEvent encodes a server-sent event. Encoded JSON contains no line breaks, so one data line is enough.
func encodeEvent(name string, data any) ([]byte, error) {
	encoded, err := json.Marshal(data)
	if err != nil {
		return nil, err
	}
	var out []byte
	if name != "" {
		out = append(out, "event: "+name+"\n"...)
	}
	out = append(out, "data: "...)
	out = append(out, encoded...)
	return append(out, "\n\n"...), nil
}
