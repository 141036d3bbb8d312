package laburnumendpoints

import (
	"encoding/binary"
	"encoding/json"
	"io/fs"
	"path/filepath"

	"laburnumlever"
	"laburnumlever/laburnumdisk"
	"laburnumlever/laburnumregistry"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

const (
	fileName = "endpoints"
	// sumBytes is the size of the checksum at the start of the file.
	sumBytes = 8
)

// Store is the file that holds the state.
type Store struct {
	folder string
	files  laburnumdisk.Files
}

// Option changes a new store.
type Option func(*Store)

// WithFiles sets the file operations; the default is those of the operating system.
func WithFiles(files laburnumdisk.Files) Option { return func(s *Store) { s.files = files } }

// New returns a store in a data folder, which must exist when something is saved.
func New(folder string, opts ...Option) *Store {
	s := &Store{folder: folder, files: laburnumdisk.OSFiles()}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// Load returns the records that were saved last; none if nothing was. Errors: *laburnumdisk.IOError, *laburnumdisk.DamagedError.
func (s *Store) Load() ([]laburnumregistry.Record, error) {
	data, err := s.files.Read(filepath.Join(s.folder, fileName))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, &laburnumdisk.IOError{Operation: "read", File: fileName, Cause: err}
	}
	if len(data) < sumBytes || binary.BigEndian.Uint64(data) != xxhash.Sum64(data[sumBytes:]) {
		return nil, &laburnumdisk.DamagedError{File: fileName, Detail: "the checksum differs"}
	}
	encoded, err := laburnumlever.Unpack(data[sumBytes:])
	if err != nil {
		return nil, &laburnumdisk.DamagedError{File: fileName, Detail: err.Error()}
	}
	var records []laburnumregistry.Record
	if err := json.Unmarshal(encoded, &records); err != nil {
		return nil, &laburnumdisk.DamagedError{File: fileName, Detail: err.Error()}
	}
	return records, nil
}

// Save replaces what was saved by the records of servers that accept requests and announce themselves. It is durable when Save
// returns. Errors: *laburnumdisk.IOError and those of the encoding.
func (s *Store) Save(records []laburnumregistry.Record) error {
	kept := make([]laburnumregistry.Record, 0, len(records))
	for _, r := range records {
		if r.AcceptsRequests() && !r.Silent {
			kept = append(kept, r)
		}
	}
	encoded, err := json.Marshal(kept)
	if err != nil {
		return err
	}
	packed, err := laburnumlever.Pack(encoded)
	if err != nil {
		return err
	}
	data := binary.BigEndian.AppendUint64(nil, xxhash.Sum64(packed))
	return laburnumdisk.WriteAtomically(s.files, s.folder, fileName, append(data, packed...))
}
