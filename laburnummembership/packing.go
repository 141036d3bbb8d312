package laburnummembership

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"
	"sync"

	"laburnumlever"
)

// maxUnpacked bounds what a packed message may unpack to, in bytes: a broken peer
// could else fill the memory by a small message.
const maxUnpacked = 32 << 20

// packedNews is the bulky news, compressed as one: announcements and inventories
// are alike, and ten of them take little more than one.
type packedNews struct {
	VMs         []laburnumlever.VM `json:"vms,omitempty"`
	Backends    []backendNews      `json:"backends,omitempty"`
	Inventories []inventoryNews    `json:"inventories,omitempty"`
}

func (p packedNews) size() int { return len(p.VMs) + len(p.Backends) + len(p.Inventories) }

// packers are kept for reuse: each is most of a megabyte.
var packers = sync.Pool{New: func() any {
	w, err := flate.NewWriter(io.Discard, flate.BestSpeed)
	if err != nil {
		return nil // only for a level that is not one
	}
	return w
}}

func (p packedNews) pack() []byte {
	raw, err := json.Marshal(p)
	if err != nil || p.size() == 0 {
		return nil
	}
	w, ok := packers.Get().(*flate.Writer)
	if !ok {
		return nil
	}
	defer packers.Put(w)
	var packed bytes.Buffer
	w.Reset(&packed)
	if _, err := w.Write(raw); err != nil {
		return nil
	}
	if err := w.Close(); err != nil {
		return nil
	}
	return packed.Bytes()
}

// unpack reads packed news; what can't be read is no news, and is pulled later.
func unpack(packed []byte) packedNews {
	var p packedNews
	if len(packed) == 0 {
		return p
	}
	r := flate.NewReader(bytes.NewReader(packed))
	raw, err := io.ReadAll(io.LimitReader(r, maxUnpacked))
	if err != nil || json.Unmarshal(raw, &p) != nil {
		return packedNews{}
	}
	return p
}
