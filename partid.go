package laburnumlever

import "strconv"

// PartID identifies the content of a part of prompts, as callers name it.
type PartID uint64

const (
	partIDBase = 16
	partIDBits = 64
)

// String returns the ID in hexadecimal.
func (p PartID) String() string { return strconv.FormatUint(uint64(p), partIDBase) }

// MarshalText implements encoding.TextMarshaler.
func (p PartID) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. An error is an *InvalidValueError.
func (p *PartID) UnmarshalText(text []byte) error {
	n, err := strconv.ParseUint(string(text), partIDBase, partIDBits)
	if err != nil {
		return &InvalidValueError{Name: "part of a prompt", Value: string(text), Want: "up to 16 hexadecimal digits"}
	}
	*p = PartID(n)
	return nil
}
