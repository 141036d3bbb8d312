package laburnummembership

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"
	"sync"

	"laburnumlever"
)

// maxUnpackedBytes limits the size of an unpacked message, in bytes: without it, a faulty peer
// could exhaust the memory with a small message.
const maxUnpackedBytes = 32 << 20

// packedUpdates are the large updates, compressed together: announcements and inventories are
// so similar that ten take little more space than one.
type packedUpdates struct {
	VMs         []laburnumlever.VM `json:"vms,omitempty"`
	Backends    []backendState     `json:"backends,omitempty"`
	Inventories []inventoryUpdate  `json:"inventories,omitempty"`
}

func (p packedUpdates) size() int { return len(p.VMs) + len(p.Backends) + len(p.Inventories) }

// flateWriters are pooled because each takes most of a megabyte.
var flateWriters = sync.Pool{New: func() any {
	w, err := flate.NewWriter(io.Discard, flate.BestSpeed)
	if err != nil {
		return nil // happens only with an invalid level
	}
	return w
}}

func (p packedUpdates) pack() []byte {
	raw, err := json.Marshal(p)
	if err != nil || p.size() == 0 {
		return nil
	}
	w, ok := flateWriters.Get().(*flate.Writer)
	if !ok {
		return nil
	}
	defer flateWriters.Put(w)
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

// unpack decodes packed updates. Those that can't be decoded are ignored and pulled later.
func unpack(packed []byte) packedUpdates {
	var p packedUpdates
	if len(packed) == 0 {
		return p
	}
	r := flate.NewReader(bytes.NewReader(packed))
	raw, err := io.ReadAll(io.LimitReader(r, maxUnpackedBytes))
	if err != nil || json.Unmarshal(raw, &p) != nil {
		return packedUpdates{}
	}
	return p
}
