package engine

import (
	"encoding/binary"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Token returns token i of the completion of a prompt. It depends only on the seed, the prompt and i.
func Token(seed uint64, prompt string, i int) string {
	return tokenAt(seededPromptHash(seed, prompt), i)
}

// Text returns the text of the tokens with indexes in [from, to). Tests compare whole responses with it.
func Text(seed uint64, prompt string, from, to int) string {
	promptHash := seededPromptHash(seed, prompt)
	var b strings.Builder
	for i := from; i < to; i++ {
		b.WriteString(tokenAt(promptHash, i))
	}
	return b.String()
}

// CompletionLength returns the number of tokens of a whole completion. With naturalStop it is between 1 and maxTokens
// and depends only on these arguments; otherwise it is maxTokens.
func CompletionLength(seed uint64, prompt string, maxTokens int, naturalStop bool) int {
	if !naturalStop || maxTokens < 1 {
		return maxTokens
	}
	return 1 + int(seededPromptHash(seed, prompt)%uint64(maxTokens))
}

// PromptTokens returns the number of tokens of a prompt.
func PromptTokens(prompt string) int {
	return (len(prompt) + bytesPerToken - 1) / bytesPerToken
}

func seededPromptHash(seed uint64, prompt string) uint64 {
	return seed ^ xxhash.Sum64String(prompt)
}

func tokenAt(promptHash uint64, i int) string {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], promptHash)
	binary.LittleEndian.PutUint64(buf[8:], uint64(i))
	return " " + strconv.FormatUint(xxhash.Sum64(buf[:])&0xfffff, 36)
}
