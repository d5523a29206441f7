package caller

import (
	"encoding/json"
	"fmt"
	"strings"
)

// Delimiters of the role names in the prompt that a chat is converted to.
const (
	markerBegin = "<|"
	markerEnd   = "|>"
	// escapedMarkerBegin replaces markerBegin inside a message, so that its text cannot start a message of another
	// role.
	escapedMarkerBegin = "< |"
)

var chatRoles = map[string]bool{"system": true, "developer": true, "user": true, "assistant": true}

// parseMessages converts a chat to one prompt, which ends where the assistant's answer begins.
func (c *Completion) parseMessages(w wireCompletion) *Error {
	if isSet(w.Prompt) {
		return invalid("prompt", "not allowed here; use /v1/completions")
	}
	if len(w.Messages) == 0 {
		return invalid("messages", "required")
	}
	if len(w.Messages) > MaxMessages {
		return invalid("messages", "more than %d", MaxMessages)
	}
	var prompt strings.Builder
	for i, m := range w.Messages {
		if !chatRoles[m.Role] {
			return invalid(fmt.Sprintf("messages[%d].role", i), "must be system, developer, user or assistant")
		}
		text, ok := contentText(m.Content)
		if !ok {
			return invalid(fmt.Sprintf("messages[%d].content", i), "must be a string or a list of text parts")
		}
		prompt.WriteString(markerBegin + m.Role + markerEnd + "\n")
		prompt.WriteString(strings.ReplaceAll(text, markerBegin, escapedMarkerBegin) + "\n")
	}
	prompt.WriteString(markerBegin + "assistant" + markerEnd + "\n")
	c.Prompt = prompt.String()
	return nil
}

// contentText returns the text of a message, which is a JSON string or a list of text parts. It reports false for
// anything else.
func contentText(raw json.RawMessage) (string, bool) {
	var text string
	if len(raw) == 0 || string(raw) == "null" {
		return "", false
	}
	if json.Unmarshal(raw, &text) == nil {
		return text, true
	}
	var parts []struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}
	if json.Unmarshal(raw, &parts) != nil {
		return "", false
	}
	var all strings.Builder
	for _, p := range parts {
		if p.Type != "text" {
			return "", false
		}
		all.WriteString(p.Text)
	}
	return all.String(), true
}
