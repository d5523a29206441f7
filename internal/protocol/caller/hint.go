package caller

// bytesPerToken is the usual length of a token in European languages.
const bytesPerToken = 4

// Hint is an estimate of a completion's size, in tokens.
type Hint struct {
	Prompt int
	Output int
}

// Hint estimates the size from the prompt's length and max_tokens. The scheduler corrects it by what the team's
// requests took before.
func (c *Completion) Hint() Hint {
	return Hint{
		Prompt: (len(c.Prompt) + bytesPerToken - 1) / bytesPerToken,
		Output: c.MaxTokens,
	}
}
