package laburnumlever

import (
	"bytes"
	"encoding/json"
)

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
	var head struct {
		Version uint64 `json:"version"`
	}
	if err := json.Unmarshal(data, &head); err != nil {
		return err
	}
	e.version, e.data = head.Version, bytes.Clone(data)
	return nil
}
