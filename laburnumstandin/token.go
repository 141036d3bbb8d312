package laburnumstandin

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

const (
	// promptHashBits keeps the hash of a prompt to 8 hex digits.
	promptHashBits = 32
	// prefixBytes is the length of prompt that one more prefix hash covers.
	prefixBytes = 256
	// maxPrefixes bounds the prefix hashes of one prompt.
	maxPrefixes = 4
	// bytesPerToken is the usual length of a token of prompt.
	bytesPerToken = 4
)

// Token is the token at place i, from 0, of the answer to a prompt.
func Token(prompt string, i int) string {
	sum := xxhash.Sum64String(prompt) >> promptHashBits
	return fmt.Sprintf("t%d-%08x ", i, sum)
}

// PromptTokens is how many tokens a prompt counts as.
func PromptTokens(prompt string) int { return len(prompt)/bytesPerToken + 1 }

// PrefixHashes are the xxhash64 of the prompt's first 256, 512, 768 and 1024
// bytes, as far as it is that long, and of the whole prompt if it is shorter than 256.
func PrefixHashes(prompt string) []uint64 {
	if len(prompt) < prefixBytes {
		return []uint64{xxhash.Sum64String(prompt)}
	}
	var hashes []uint64
	for n := prefixBytes; n <= len(prompt) && len(hashes) < maxPrefixes; n += prefixBytes {
		hashes = append(hashes, xxhash.Sum64String(prompt[:n]))
	}
	return hashes
}
