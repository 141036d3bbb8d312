package laburnumstandin

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

const (
	// promptHashBits is the shift that leaves 32 bits, 8 hex digits, of a prompt's hash.
	promptHashBits = 32
	// prefixBytes is the step in bytes between the prefixes that are hashed.
	prefixBytes = 256
	// maxPrefixes is the maximum number of prefix hashes of one prompt.
	maxPrefixes = 4
	// bytesPerToken is the usual length of a prompt token.
	bytesPerToken = 4
)

// Token is the token at index i, from 0, of the answer to a prompt.
func Token(prompt string, i int) string {
	sum := xxhash.Sum64String(prompt) >> promptHashBits
	return fmt.Sprintf("t%d-%08x ", i, sum)
}

// PromptTokens estimates the number of tokens in a prompt.
func PromptTokens(prompt string) int { return len(prompt)/bytesPerToken + 1 }

// PrefixHashes returns the xxhash64 of each of the prompt's first 256, 512, 768 and
// 1024 bytes that it is long enough for; if it is shorter than 256, of the whole prompt.
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
