package laburnumrouter

import "github.com/cespare/xxhash/v2"

const (
	// prefixSlots bounds the memory of prefixes; two that fall into one slot
	// replace each other, which costs a cache hit and no more.
	prefixSlots = 1 << 14
	// PrefixBytes of a prompt are hashed: a system prompt's length, and less than
	// any prompt that is worth caching.
	PrefixBytes = 512
	// reportedPrefixes of each report are taken in, the most recent ones.
	reportedPrefixes = 32
)

// PrefixHash is the hash of a prompt's beginning, which engines report as cached. It
// is 0 for a prompt too short to be worth keeping together.
func PrefixHash(prompt string) uint64 {
	if len(prompt) < PrefixBytes {
		return 0
	}
	return xxhash.Sum64String(prompt[:PrefixBytes])
}

// prefixes remembers which server was last given a prefix, or reported it.
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

// addReported takes a server's cache events in. Events are late and incomplete, so they
// only fill what this VM doesn't know from its own sending.
func (p *prefixes) addReported(s *Server, hashes []uint64) {
	for _, hash := range hashes[:min(len(hashes), reportedPrefixes)] {
		slot := &p.slots[hash%prefixSlots]
		if slot.hash != hash {
			*slot = prefixSlot{hash: hash, server: s}
		}
	}
}
