package engine

import (
	"encoding/binary"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Token returns token i of the completion of a prompt. It depends only on the seed, the prompt and i.
func Token(seed uint64, prompt string, i int) string {
	return tokenOf(promptSeed(seed, prompt), i)
}

// Text returns the tokens from (included) to to (excluded), so that a test can check a whole answer.
func Text(seed uint64, prompt string, from, to int) string {
	base := promptSeed(seed, prompt)
	var b strings.Builder
	for i := from; i < to; i++ {
		b.WriteString(tokenOf(base, i))
	}
	return b.String()
}

// Length returns the number of tokens of a whole completion. With natural it is between 1 and maxTokens and depends
// only on the seed and the prompt.
func Length(seed uint64, prompt string, maxTokens int, natural bool) int {
	if !natural || maxTokens < 1 {
		return maxTokens
	}
	return 1 + int(promptSeed(seed, prompt)%uint64(maxTokens))
}

// PromptTokens returns the number of tokens of a prompt.
func PromptTokens(prompt string) int {
	return (len(prompt) + bytesPerToken - 1) / bytesPerToken
}

func promptSeed(seed uint64, prompt string) uint64 {
	return seed ^ xxhash.Sum64String(prompt)
}

func tokenOf(base uint64, i int) string {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], base)
	binary.LittleEndian.PutUint64(buf[8:], uint64(i))
	return " " + strconv.FormatUint(xxhash.Sum64(buf[:])&0xfffff, 36)
}
