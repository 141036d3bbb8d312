package laburnumrouter

import "github.com/cespare/xxhash/v2"

const (
	// prefixSlots bounds the memory for prefixes. A collision replaces the older prefix,
	// which costs only a cache hit.
	prefixSlots = 1 << 14
	// PrefixBytes is how many bytes of a prompt are hashed: about the length of a system
	// prompt, and less than any prompt worth caching.
	PrefixBytes = 512
	// reportedPrefixes is how many prefixes of each report are used, most recent first.
	reportedPrefixes = 32
)

// PrefixHash returns the hash of a prompt's first PrefixBytes, by which engines report
// cached prefixes. It is 0 for shorter prompts, for which affinity is not worthwhile.
func PrefixHash(prompt string) uint64 {
	if len(prompt) < PrefixBytes {
		return 0
	}
	return xxhash.Sum64String(prompt[:PrefixBytes])
}

// prefixes maps each prefix hash to the server that last got or reported the prefix.
type prefixes struct{ slots []prefixSlot }

type prefixSlot struct {
	hash   uint64
	server *Server
}

func newPrefixes() *prefixes { return &prefixes{slots: make([]prefixSlot, prefixSlots)} }

func (p *prefixes) find(hash uint64) *Server {
	slot := &p.slots[hash%prefixSlots]
	if hash == 0 || slot.hash != hash {
		return nil
	}
	return slot.server
}

func (p *prefixes) recordSent(hash uint64, s *Server) {
	p.slots[hash%prefixSlots] = prefixSlot{hash: hash, server: s}
}

// addReported adds a server's reported prefixes. Reports are late and incomplete, so they
// do not replace a known server of the same prefix.
func (p *prefixes) addReported(s *Server, hashes []uint64) {
	for _, hash := range hashes[:min(len(hashes), reportedPrefixes)] {
		slot := &p.slots[hash%prefixSlots]
		if slot.hash != hash {
			*slot = prefixSlot{hash: hash, server: s}
		}
	}
}
