package engine

// CompletionRequest is the body of POST /v1/completions.
type CompletionRequest struct {
	Model string `json:"model"`
	// Version is the version of the model. If it is empty, the loaded version is used.
	Version   string `json:"version,omitempty"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
	// ResumeAt is the index of the first token to return. The tokens before it were received from an earlier stream.
	ResumeAt int `json:"resume_at,omitempty"`
	// Emitted is the text of the tokens before ResumeAt.
	Emitted string `json:"emitted,omitempty"`
}

// Finish reasons.
const (
	FinishStop      = "stop"
	FinishLength    = "length"
	FinishCancelled = "cancelled"
)

// StreamEvent is the data of one server-sent event of a completion.
type StreamEvent struct {
	// ID is the id of the request.
	ID      string      `json:"id"`
	Choices []Choice    `json:"choices,omitempty"`
	Usage   *Usage      `json:"usage,omitempty"`
	Error   *ErrorEvent `json:"error,omitempty"`
}

// Choice holds consecutive tokens. Only choices[0] is used.
type Choice struct {
	Text string `json:"text"`
	// TokenIndex is the index of the first token of Text in the whole completion, from 0.
	TokenIndex int `json:"token_index"`
	// Tokens is the number of tokens in Text.
	Tokens int `json:"tokens"`
	// FinishReason is set in the last event.
	FinishReason string `json:"finish_reason,omitempty"`
}

// Usage holds the token counts of a completion. It is part of the last event.
type Usage struct {
	// PromptTokens is the number of prompt tokens charged.
	PromptTokens int `json:"prompt_tokens"`
	// CompletionTokens is the number of tokens of the whole completion, including those before ResumeAt.
	CompletionTokens int `json:"completion_tokens"`
	// CachedTokens is the number of prompt tokens found in the prefix cache.
	CachedTokens int `json:"cached_tokens,omitempty"`
}

// ErrorEvent reports an error that ends the stream.
type ErrorEvent struct {
	Message string `json:"message"`
}
