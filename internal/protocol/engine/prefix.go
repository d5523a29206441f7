package engine

import "github.com/cespare/xxhash/v2"

const (
	// FirstPrefixBytes is the length of the shortest prefix that is hashed. Each further prefix is twice as long.
	FirstPrefixBytes = 256
	// MaxPrefixes bounds the number of prefixes per prompt. The longest prefix thus has 32 KiB.
	MaxPrefixes = 8
)

// PrefixHashes returns the XXH64 hashes of the prompt's leading 256, 512, 1024, ... bytes, shortest first. Engines and
// routers identify cached prefixes by them. A prompt shorter than 256 bytes has none.
func PrefixHashes(prompt string) []uint64 {
	var hashes []uint64
	digest := xxhash.New()
	from := 0
	for to := FirstPrefixBytes; to <= len(prompt) && len(hashes) < MaxPrefixes; to *= 2 {
		_, _ = digest.WriteString(prompt[from:to])
		hashes = append(hashes, digest.Sum64())
		from = to
	}
	return hashes
}
