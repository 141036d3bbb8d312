package laburnummembership

import (
	"strconv"

	"laburnumlever"

	"github.com/cespare/xxhash/v2"
)

// bucketCount splits the facts for comparison: a pull names the buckets that
// differ by 64 numbers and gets about a sixty-fourth of the facts for each.
const bucketCount = 64

// keyBits is the width of a load key: two of 2,100 backend servers share one with
// a chance of two in a million, and JSON readers keep it exact.
const keyBits = 40

// digest is a hash of all facts, kept up to date fact by fact.
type digest [bucketCount]uint64

// toggle adds a fact's hash or, called again, takes it out.
func (d *digest) toggle(key string, hash uint64) {
	d[xxhash.Sum64String(key)%bucketCount] ^= hash
}

func (d *digest) sum() uint64 {
	var total uint64
	for _, b := range d {
		total ^= b
	}
	return total
}

func bucketOf(key string) int { return int(xxhash.Sum64String(key) % bucketCount) }

func hashFields(id string, numbers ...uint64) uint64 {
	text := make([]byte, 0, len(id)+len(numbers)*8)
	text = append(text, id...)
	for _, n := range numbers {
		text = append(text, ' ')
		text = strconv.AppendUint(text, n, 10)
	}
	return xxhash.Sum64(text)
}

// loadKey stands for a backend server's incarnation in load rows.
func loadKey(id laburnumlever.BackendID, incarnation uint64) uint64 {
	return hashFields(string(id), incarnation) >> (64 - keyBits)
}
