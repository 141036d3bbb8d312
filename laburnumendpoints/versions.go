package laburnumendpoints

import (
	"encoding/binary"
	"encoding/json"
	"io/fs"
	"path/filepath"

	"laburnumlever"
	"laburnumlever/laburnumdisk"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

const versionsName = "versions"

// Versions are the software versions that a control VM knew.
type Versions struct {
	// Start is the number of the start in which they were saved. If it isn't the last one, the VM may have known others since.
	Start uint64 `json:"start"`
	// Whole is set if these are all versions that the fleet had in the last minutes: the VM has neither lost its disk nor started
	// for the first time since.
	Whole bool `json:"whole"`
	// Controls is the number of control VMs that the VM knew of.
	Controls int                                                           `json:"controls"`
	Services map[laburnumlever.ServiceName][]laburnumlever.SoftwareVersion `json:"services"`
}

// LoadVersions returns the versions that were saved last; none if nothing was. Errors: *laburnumdisk.IOError,
// *laburnumdisk.DamagedError.
func (s *Store) LoadVersions() (Versions, error) {
	var v Versions
	data, err := s.files.Read(filepath.Join(s.folder, versionsName))
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return v, nil
	case err != nil:
		return v, &laburnumdisk.IOError{Operation: "read", File: versionsName, Cause: err}
	case len(data) < sumBytes || binary.BigEndian.Uint64(data) != xxhash.Sum64(data[sumBytes:]):
		return v, &laburnumdisk.DamagedError{File: versionsName, Detail: "the checksum differs"}
	}
	if err := json.Unmarshal(data[sumBytes:], &v); err != nil {
		return Versions{}, &laburnumdisk.DamagedError{File: versionsName, Detail: err.Error()}
	}
	return v, nil
}

// SaveVersions replaces the versions that were saved. They are durable when SaveVersions returns. Errors: *laburnumdisk.IOError and
// those of the encoding.
func (s *Store) SaveVersions(v Versions) error {
	encoded, err := json.Marshal(v)
	if err != nil {
		return err
	}
	data := binary.BigEndian.AppendUint64(nil, xxhash.Sum64(encoded))
	return laburnumdisk.WriteAtomically(s.files, s.folder, versionsName, append(data, encoded...))
}
