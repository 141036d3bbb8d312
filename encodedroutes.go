package laburnumlever

import (
	"bytes"
	"encoding/json"
)

// EncodedRoutes is a route table as the log carries it. Of many that follow each other, as
// after a restart, only the last is ever decoded.
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

// Version is that of the table.
func (e EncodedRoutes) Version() uint64 { return e.version }

// Table decodes the table. One that is damaged is a *RoutesEncodingError.
func (e EncodedRoutes) Table() (RouteTable, error) {
	var t RouteTable
	if err := json.Unmarshal(e.data, &t); err != nil {
		return RouteTable{}, &RoutesEncodingError{Version: e.version, Cause: err}
	}
	return t, nil
}

// MarshalJSON writes the table as it was encoded.
func (e EncodedRoutes) MarshalJSON() ([]byte, error) { return e.data, nil }

// UnmarshalJSON keeps the table as it is encoded.
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
