package laburnumdistribution

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"sync"

	"laburnumlever"
)

// maxUnpackedBytes limits the size of an unpacked catalogue, in bytes: without it, a faulty
// peer could exhaust the memory with a small message.
const maxUnpackedBytes = 64 << 20

// catalogueBody is a catalogue and its packed form, which is made on first use and off the
// control thread.
type catalogueBody struct {
	catalogue laburnumlever.Catalogue
	once      sync.Once
	packed    []byte
	err       error
}

// envelope is a catalogue on the wire. Compression reduces the JSON to about a tenth.
type envelope struct {
	Revision uint64 `json:"revision"`
	Gzip     []byte `json:"gzip"`
}

func (b *catalogueBody) envelope() (envelope, error) {
	b.once.Do(func() { b.packed, b.err = pack(b.catalogue) })
	return envelope{Revision: b.catalogue.Revision, Gzip: b.packed}, b.err
}

func pack(c laburnumlever.Catalogue) ([]byte, error) {
	var packed bytes.Buffer
	w := gzip.NewWriter(&packed)
	if err := json.NewEncoder(w).Encode(c); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return packed.Bytes(), nil
}

func (e envelope) unpack() (*catalogueBody, error) {
	r, err := gzip.NewReader(bytes.NewReader(e.Gzip))
	if err != nil {
		return nil, &BodyError{Revision: e.Revision, Cause: err}
	}
	raw, err := io.ReadAll(io.LimitReader(r, maxUnpackedBytes+1))
	if err != nil {
		return nil, &BodyError{Revision: e.Revision, Cause: err}
	}
	if len(raw) > maxUnpackedBytes {
		return nil, &BodyError{Revision: e.Revision, Cause: &TooLargeError{Limit: maxUnpackedBytes}}
	}
	b := &catalogueBody{packed: e.Gzip}
	if err := json.Unmarshal(raw, &b.catalogue); err != nil {
		return nil, &BodyError{Revision: e.Revision, Cause: err}
	}
	b.once.Do(func() {}) // already packed
	return b, nil
}
