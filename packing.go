package laburnumlever

import (
	"bytes"
	"compress/flate"
	"encoding/base64"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"
)

const (
	// packAbove is the size in bytes above which an encoded table is compressed. A smaller
	// table fits into a few packets and stays readable in a log or a snapshot.
	packAbove = 16 << 10
	// maxUnpacked bounds the decompressed size in bytes. It is 16 times the largest body
	// that operators may send.
	maxUnpacked = 64 << 20
	// sampleBytes is how much of a table tells whether the rest compresses.
	sampleBytes = 64 << 10
	// maxPackedShare is the share of its size that a packed table may have: unpacking takes longer than what little it saves
	// above that.
	maxPackedShare = 0.8
)

// Pack compresses a message. Lists of routes or backend servers are repetitive and
// shrink to a tenth of their size or less.
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

// Unpack decompresses a message. Damaged data, or data that exceeds 64 MiB decompressed,
// is an *InvalidValueError.
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

// MaxRoutesTable is the size in bytes of the largest route table that VMs hand to each other, decoded from the operators' text
// and before it is packed.
const MaxRoutesTable = 24 << 20

// Size returns the size in bytes to which MaxRoutesTable applies. An error is a *RoutesEncodingError.
func (t RouteTable) Size() (int, error) {
	data, err := json.Marshal(plainTable(t.WithoutDocument()))
	if err != nil {
		return 0, &RoutesEncodingError{Version: t.Version, Cause: err}
	}
	return len(data), nil
}

// PackRoutes encodes and compresses a table. An error is a *RoutesEncodingError.
func PackRoutes(t RouteTable) ([]byte, error) {
	data, err := json.Marshal(plainTable(t))
	if err == nil {
		data, err = Pack(data)
	}
	if err != nil {
		return nil, &RoutesEncodingError{Version: t.Version, Cause: err}
	}
	return data, nil
}

// UnpackRoutes decodes a table of PackRoutes. Damaged data is a *RoutesEncodingError.
func UnpackRoutes(packed []byte) (RouteTable, error) {
	whole, err := Unpack(packed)
	var t plainTable
	if err == nil {
		err = json.Unmarshal(whole, &t)
	}
	if err != nil {
		return RouteTable{}, &RoutesEncodingError{Version: t.Version, Cause: err}
	}
	return RouteTable(t), nil
}

// plainTable is a route table without the custom JSON methods.
type plainTable RouteTable

// encodedTable is the JSON form of a route table: plain, or compressed in Packed.
type encodedTable struct {
	plainTable
	Packed []byte `json:"packed,omitempty"`
}

// packedTable is the JSON form of a compressed route table.
type packedTable struct {
	Version uint64 `json:"version"`
	Packed  []byte `json:"packed"`
}

// MarshalJSON compresses a large table, if that makes it smaller. Two thousand routes take a megabyte plain and a
// twentieth of that compressed. Each change sends the whole table through the log to each
// voter, into snapshots and to every gateway. Encoding, copying and sending a megabyte a
// few dozen times keeps a small control VM busy for seconds, in which it answers neither
// voters nor operators and loses leadership.
func (t RouteTable) MarshalJSON() ([]byte, error) {
	data, err := json.Marshal(plainTable(t))
	if err != nil || len(data) <= packAbove {
		return data, err
	}
	for _, part := range [][]byte{data[:min(sampleBytes, len(data))], data} {
		packed, err := Pack(part)
		switch {
		case err != nil:
			return nil, err
		case base64.StdEncoding.EncodedLen(len(packed)) > int(maxPackedShare*float64(len(part))):
			return data, nil
		case len(part) == len(data):
			return json.Marshal(packedTable{Version: t.Version, Packed: packed})
		}
	}
	return data, nil
}

// UnmarshalJSON decodes a plain or compressed table. A compressed table that is damaged
// or exceeds 64 MiB decompressed is an *InvalidValueError.
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
