package caller

import (
	"encoding/json"
	"errors"
	"strings"
)

// Kind distinguishes text completions from chat completions.
type Kind int

// The kinds of completions.
const (
	KindCompletion Kind = iota + 1
	KindChat
)

// Completion is a parsed completion request.
type Completion struct {
	Kind    Kind
	Model   string
	Version string
	// Prompt is the text sent to the engine.
	Prompt    string
	MaxTokens int
	Stream    bool
	// User is the caller's own identifier of an end user. It is not used for scheduling.
	User string
	// Prefix holds hashes of leading parts of the prompt, longest prefix last.
	Prefix []uint64
}

// PrefixHashes returns hashes of leading parts of a prompt, longest prefix last.
type PrefixHashes func(prompt string) []uint64

// wireCompletion is the JSON body of both kinds of completion requests.
type wireCompletion struct {
	Model               *string         `json:"model"`
	Prompt              json.RawMessage `json:"prompt"`
	Messages            []wireMessage   `json:"messages"`
	MaxTokens           *int            `json:"max_tokens"`
	MaxCompletionTokens *int            `json:"max_completion_tokens"`
	Stream              bool            `json:"stream"`
	User                string          `json:"user"`
	N                   *int            `json:"n"`
	BestOf              *int            `json:"best_of"`
	Echo                bool            `json:"echo"`
	Suffix              *string         `json:"suffix"`
	Stop                json.RawMessage `json:"stop"`
	Logprobs            json.RawMessage `json:"logprobs"`
	Tools               json.RawMessage `json:"tools"`
	Functions           json.RawMessage `json:"functions"`
	ResponseFormat      json.RawMessage `json:"response_format"`
}

type wireMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// ParseCompletion parses the body of a completion request. It rejects unsupported fields that would change the form of
// the response, and ignores sampling parameters. prefixHashes may be nil. Errors are of type *Error.
func ParseCompletion(kind Kind, body []byte, prefixHashes PrefixHashes) (*Completion, error) {
	if len(body) > MaxBodyBytes {
		return nil, ErrTooLarge("body", MaxBodyBytes)
	}
	var w wireCompletion
	if err := json.Unmarshal(body, &w); err != nil {
		return nil, jsonError(err)
	}
	if err := w.rejectUnsupported(); err != nil {
		return nil, err
	}
	c := &Completion{Kind: kind, Stream: w.Stream, User: w.User}
	for _, parse := range []func(wireCompletion) *Error{c.parseModel, c.parsePrompt, c.parseMaxTokens} {
		if err := parse(w); err != nil {
			return nil, err
		}
	}
	if prefixHashes != nil {
		c.Prefix = lastN(prefixHashes(c.Prompt), MaxPrefixHashes)
	}
	return c, nil
}

// jsonError converts a decoding error. The result names the field if its value has the wrong type.
func jsonError(err error) *Error {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) && typeErr.Field != "" {
		return invalid(typeErr.Field, "must not be a %s", typeErr.Value)
	}
	return invalid("body", "not valid JSON: %v", err)
}

// rejectUnsupported returns an error for the first field that is set but not supported.
func (w wireCompletion) rejectUnsupported() *Error {
	for _, f := range []struct {
		name string
		set  bool
	}{
		{"n", w.N != nil && *w.N != 1},
		{"best_of", w.BestOf != nil && *w.BestOf != 1},
		{"echo", w.Echo},
		{"suffix", w.Suffix != nil},
		{"stop", isSet(w.Stop)},
		{"logprobs", isSet(w.Logprobs)},
		{"tools", isSet(w.Tools)},
		{"functions", isSet(w.Functions)},
		{"response_format", isSet(w.ResponseFormat)},
	} {
		if f.set {
			return invalid(f.name, "not supported")
		}
	}
	return nil
}

// isSet reports whether a field has a value other than null, false and the empty list.
func isSet(raw json.RawMessage) bool {
	switch string(raw) {
	case "", "null", "false", "[]":
		return false
	}
	return true
}

// parseModel parses the model field, "NAME" or "NAME@VERSION".
func (c *Completion) parseModel(w wireCompletion) *Error {
	if w.Model == nil || *w.Model == "" {
		return invalid("model", "required")
	}
	name, version, versioned := strings.Cut(*w.Model, "@")
	if name == "" || versioned && version == "" {
		return invalid("model", "must be NAME or NAME@VERSION")
	}
	if len(name) > MaxNameBytes || len(version) > MaxNameBytes {
		return invalid("model", "longer than %d bytes", MaxNameBytes)
	}
	c.Model, c.Version = name, version
	return nil
}

func (c *Completion) parsePrompt(w wireCompletion) *Error {
	if c.Kind == KindChat {
		return c.parseMessages(w)
	}
	if len(w.Messages) > 0 {
		return invalid("messages", "not allowed here; use /v1/chat/completions")
	}
	prompt, ok := promptText(w.Prompt)
	if !ok {
		return invalid("prompt", "must be a string or a list of one string")
	}
	if prompt == "" {
		return invalid("prompt", "required")
	}
	c.Prompt = prompt
	return nil
}

// promptText returns the prompt, which is a JSON string or a list of one string. A missing prompt is empty. It reports
// false for anything else.
func promptText(raw json.RawMessage) (string, bool) {
	if len(raw) == 0 {
		return "", true
	}
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return text, true
	}
	var list []string
	if json.Unmarshal(raw, &list) != nil || len(list) != 1 {
		return "", false
	}
	return list[0], true
}

func (c *Completion) parseMaxTokens(w wireCompletion) *Error {
	field, value := "max_tokens", w.MaxTokens
	if value == nil && w.MaxCompletionTokens != nil {
		field, value = "max_completion_tokens", w.MaxCompletionTokens
	}
	if value == nil {
		c.MaxTokens = DefaultMaxTokens
		return nil
	}
	if *value < 1 || *value > MaxTokensLimit {
		return invalid(field, "must be between 1 and %d", MaxTokensLimit)
	}
	c.MaxTokens = *value
	return nil
}

// lastN returns the last n elements of a list, or the whole list if it is shorter.
func lastN(list []uint64, n int) []uint64 {
	if len(list) > n {
		return list[len(list)-n:]
	}
	return list
}
