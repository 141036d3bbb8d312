package laburnumlever

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"
)

const (
	// packAbove is the size in bytes of an encoded table from which it is compressed: below
	// it fits into a few packets as it is, and stays readable in a log or a snapshot.
	packAbove = 16 << 10
	// maxUnpacked bounds what packed bytes may grow to when they are read; the largest body
	// that operators may send is a sixteenth of it.
	maxUnpacked = 64 << 20
)

// Pack compresses a message. Lists of routes or backend servers are alike from item to
// item: they take a tenth or less of their size.
func Pack(data []byte) ([]byte, error) {
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(data); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return packed.Bytes(), nil
}

// Unpack is the opposite of Pack. Bytes that are damaged, or larger unpacked than any
// message can be, are an *InvalidValueError.
func Unpack(packed []byte) ([]byte, error) {
	r := io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxUnpacked+1)
	whole, err := io.ReadAll(r)
	if err != nil {
		return nil, errors.CombineErrors(&InvalidValueError{Name: "packed", Value: "message", Want: "a compressed message"}, err)
	}
	if len(whole) > maxUnpacked {
		return nil, &InvalidValueError{Name: "packed", Value: "message", Want: "a message of 64 MiB or less"}
	}
	return whole, nil
}

// plainTable is a table without its own encoding.
type plainTable RouteTable

// encodedTable is a table as it is written: whole, or packed.
type encodedTable struct {
	plainTable
	Packed []byte `json:"packed,omitempty"`
}

// packedTable is a compressed table.
type packedTable struct {
	Version uint64 `json:"version"`
	Packed  []byte `json:"packed"`
}

// MarshalJSON encodes a large table compressed. Routes are alike: two thousand take a
// megabyte and a twentieth of that compressed. Each change carries all of them through
// the log, to each voter, into snapshots and to every gateway, and encoding, copying and
// sending a megabyte a few dozen times takes a small control VM seconds, in which it
// answers neither voters nor operators and loses the lead.
func (t RouteTable) MarshalJSON() ([]byte, error) {
	data, err := json.Marshal(plainTable(t))
	if err != nil || len(data) <= packAbove {
		return data, err
	}
	packed, err := Pack(data)
	if err != nil {
		return nil, err
	}
	return json.Marshal(packedTable{Version: t.Version, Packed: packed})
}

// UnmarshalJSON decodes a table in either form. A packed one that is damaged, or larger
// than any table can be, is an *InvalidValueError.
func (t *RouteTable) UnmarshalJSON(data []byte) error {
	var e encodedTable
	if err := json.Unmarshal(data, &e); err != nil {
		return err
	}
	if len(e.Packed) == 0 {
		*t = RouteTable(e.plainTable)
		return nil
	}
	whole, err := Unpack(e.Packed)
	if err != nil {
		return err
	}
	return json.Unmarshal(whole, (*plainTable)(t))
}
