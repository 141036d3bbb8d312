package laburnumlever

import (
	"bytes"
	"encoding/json"
	"strconv"
)

// MaxRoutesDocument is the size in bytes of the longest operators' text of a route table.
const MaxRoutesDocument = 4 << 20

// EncodedRoutes is a route table in the encoded form of the log. Decoding is deferred to
// Table, since only the last of several consecutive tables, as after a restart, is used.
type EncodedRoutes struct {
	version uint64
	data    json.RawMessage
}

// EncodeRoutes encodes a table. An error is a *RoutesEncodingError.
func EncodeRoutes(t RouteTable) (EncodedRoutes, error) {
	data, err := json.Marshal(t)
	if err != nil {
		return EncodedRoutes{}, &RoutesEncodingError{Version: t.Version, Cause: err}
	}
	return EncodedRoutes{version: t.Version, data: data}, nil
}

// EncodeDocument encodes a table as the operators' text alone, from which every VM decodes the same table. The size of the
// result is bounded by that of the text, which that of a whole table is not. An error is a *RoutesEncodingError.
func EncodeDocument(version uint64, document []byte) (EncodedRoutes, error) {
	return EncodeRoutes(RouteTable{Version: version, Document: document})
}

// Version returns the version of the table.
func (e EncodedRoutes) Version() uint64 { return e.version }

// Table decodes the table. Damaged data is a *RoutesEncodingError.
func (e EncodedRoutes) Table() (RouteTable, error) {
	var t RouteTable
	if err := json.Unmarshal(e.data, &t); err != nil {
		return RouteTable{}, &RoutesEncodingError{Version: e.version, Cause: err}
	}
	return t, nil
}

// MarshalJSON returns the encoded table unchanged.
func (e EncodedRoutes) MarshalJSON() ([]byte, error) { return e.data, nil }

// UnmarshalJSON decodes the version only and stores the encoded table.
func (e *EncodedRoutes) UnmarshalJSON(data []byte) error {
	version, ok := leadingVersion(data)
	if !ok {
		var head struct {
			Version uint64 `json:"version"`
		}
		if err := json.Unmarshal(data, &head); err != nil {
			return err
		}
		version = head.Version
	}
	e.version, e.data = version, bytes.Clone(data)
	return nil
}

// leadingVersion returns the version if it is the first field of an encoded table, as in all tables that MarshalJSON writes.
// Unlike json.Unmarshal it does not read the rest, which may be megabytes.
func leadingVersion(data []byte) (uint64, bool) {
	rest, ok := bytes.CutPrefix(data, []byte(`{"version":`))
	end := bytes.IndexAny(rest, ",}")
	if !ok || end < 0 {
		return 0, false
	}
	version, err := strconv.ParseUint(string(rest[:end]), 10, 64)
	return version, err == nil
}
