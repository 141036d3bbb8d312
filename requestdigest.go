package laburnumlever

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// RequestDigest identifies a request by its content. Attempts of a caller that repeat the same
// request have the same digest, whatever their request ids and gateways. The zero value is no
// digest.
type RequestDigest [16]byte

// NewRequestDigest returns the digest of a request; target is the path with the query, body the pieces of its body. The caller's
// address is not part of it, as it may differ between repeats.
func NewRequestDigest(method, host, target string, body ...[]byte) RequestDigest {
	h := sha256.New()
	for _, part := range []string{method, host, target} {
		// The length keeps two requests apart whose parts are split differently.
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		h.Write([]byte(part))
	}
	for _, piece := range body {
		h.Write(piece)
	}
	var d RequestDigest
	copy(d[:], h.Sum(nil))
	return d
}

// IsZero reports whether there is no digest.
func (d RequestDigest) IsZero() bool { return d == RequestDigest{} }

// String returns the digest in hexadecimal; empty for no digest.
func (d RequestDigest) String() string {
	if d.IsZero() {
		return ""
	}
	return hex.EncodeToString(d[:])
}

// MarshalText implements encoding.TextMarshaler.
func (d RequestDigest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. An error is an *InvalidValueError.
func (d *RequestDigest) UnmarshalText(text []byte) error {
	decoded, err := hex.DecodeString(string(text))
	if err != nil || len(decoded) != len(d) {
		return &InvalidValueError{Name: "request digest", Value: string(text), Want: "32 hexadecimal digits"}
	}
	copy(d[:], decoded)
	return nil
}
