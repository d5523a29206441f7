package caller

// bytesPerToken is the typical length of a token in European languages.
const bytesPerToken = 4

// Hint is an estimate of a completion's size, in tokens.
type Hint struct {
	Prompt int
	Output int
}

// Hint estimates the size from the length of the prompt and max_tokens. The scheduler corrects the estimate by the
// actual cost of the team's earlier requests.
func (c *Completion) Hint() Hint {
	return Hint{
		Prompt: (len(c.Prompt) + bytesPerToken - 1) / bytesPerToken,
		Output: c.MaxTokens,
	}
}
