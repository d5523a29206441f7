package caller

import (
	"encoding/json"

	"gooseberrytide.example/gooseberrytide/internal/coordination/execute"
)

// Form writes completions in the form of one request.
type Form struct {
	kind  Kind
	id    string
	model string
	// created is in seconds since 1970.
	created int64
}

// NewForm returns the form of a request's answers. created is in seconds since 1970.
func NewForm(c *Completion, requestID string, created int64) *Form {
	return &Form{kind: c.Kind, id: requestID, model: c.Model, created: created}
}

// answer is the JSON body of a completion, whole or in parts.
type answer struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index        int      `json:"index"`
	Text         *string  `json:"text,omitempty"`
	Delta        *content `json:"delta,omitempty"`
	Message      *content `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type content struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// outcomeEvent is the data of a stream's last event.
type outcomeEvent struct {
	Outcome      execute.Outcome `json:"outcome"`
	RequestID    string          `json:"request_id"`
	Error        *Error          `json:"error,omitempty"`
	RetryAfterMS int64           `json:"retry_after_ms,omitempty"`
	Usage        *usage          `json:"usage,omitempty"`
}

// ContentTypeEvents is the content type of a stream.
const ContentTypeEvents = "text/event-stream"

// ContentTypeJSON is the content type of all other answers of the routers.
const ContentTypeJSON = "application/json"

// Chunk returns the event of one chunk.
func (f *Form) Chunk(c execute.Chunk) ([]byte, error) {
	one := choice{Text: &c.Text}
	object := "text_completion"
	if f.kind == KindChat {
		one = choice{Delta: &content{Content: c.Text}}
		object = "chat.completion.chunk"
		if c.Index == 0 {
			one.Delta.Role = "assistant"
		}
	}
	if c.Done {
		one.FinishReason = &c.FinishReason
	}
	return event("", f.answer(object, one))
}

// Last returns the events that end a stream: for a completed stream the usual end mark, and always an event "outcome".
func (f *Form) Last(r execute.CompletionResult) ([]byte, error) {
	last := outcomeEvent{
		Outcome:      r.Outcome,
		RequestID:    r.RequestID,
		RetryAfterMS: r.RetryAfter.Milliseconds(),
		Usage:        usageOf(r),
	}
	if r.Outcome != execute.Completed {
		last.Error = NewError(r.Outcome, r.Reason)
		return event("outcome", last)
	}
	end, err := event("outcome", last)
	return append([]byte("data: [DONE]\n\n"), end...), err
}

// Whole returns the body of a completion that is not streamed.
func (f *Form) Whole(text string, r execute.CompletionResult) ([]byte, error) {
	one := choice{Text: &text, FinishReason: &r.FinishReason}
	object := "text_completion"
	if f.kind == KindChat {
		one.Text = nil
		one.Message = &content{Role: "assistant", Content: text}
		object = "chat.completion"
	}
	a := f.answer(object, one)
	a.Usage = usageOf(r)
	return json.Marshal(a)
}

func (f *Form) answer(object string, one choice) answer {
	return answer{ID: f.id, Object: object, Created: f.created, Model: f.model, Choices: []choice{one}}
}

func usageOf(r execute.CompletionResult) *usage {
	return &usage{
		PromptTokens:     r.PromptTokens,
		CompletionTokens: r.OutputTokens,
		TotalTokens:      r.PromptTokens + r.OutputTokens,
	}
}

// event encodes a server-sent event. JSON has no line breaks, so one data line is enough.
func event(name string, data any) ([]byte, error) {
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
