package laburnummembership

import (
	"encoding/binary"
	"strconv"

	"laburnumlever"

	"github.com/cespare/xxhash/v2"
)

// bucketCount splits the facts for comparison. A pull names all buckets by
// bucketBytes each and gets the facts of those that differ: while news is on its way
// about ten do, of five facts each in a fleet of 780 VMs with 2,100 engines.
const bucketCount = 512

// bucketBytes is enough to tell two states of one bucket apart.
const bucketBytes = 4

// loadKeyBits is the width of a load key: two of 2,100 backend servers share one with
// a chance of two in a million, and JSON readers keep it exact.
const loadKeyBits = 40

// digest is a hash of all facts, kept up to date fact by fact.
type digest struct {
	buckets [bucketCount]uint64
	total   uint64
}

// toggle adds a fact's hash or, called again, takes it out.
func (d *digest) toggle(key string, hash uint64) {
	d.buckets[bucketOf(key)] ^= hash
	d.total ^= hash
}

func (d *digest) sum() uint64 { return d.total }

// pack is the buckets for a pull.
func (d *digest) pack() []byte {
	packed := make([]byte, 0, bucketCount*bucketBytes)
	for _, b := range d.buckets {
		packed = binary.BigEndian.AppendUint32(packed, uint32(b))
	}
	return packed
}

// differs tells whether a bucket is not as in a packed digest.
func (d *digest) differs(packed []byte, bucket int) bool {
	return binary.BigEndian.Uint32(packed[bucket*bucketBytes:]) != uint32(d.buckets[bucket])
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
	return hashFields(string(id), incarnation) >> (64 - loadKeyBits)
}
