package laburnumdisk

import (
	"encoding/json"
	"path/filepath"
	"slices"

	"github.com/google/uuid"
)

const identityName = "identity"

// Identity tells one data folder from another, and one start on it from the next.
type Identity struct {
	Instance string `json:"instance"`
	// Boot counts the starts, this one included.
	Boot uint64 `json:"boot"`
}

// readIdentity reads the folder's identity and raises its boot, or makes one for
// an empty folder. A folder with a log but without an identity is damaged: under
// a new one its votes and acknowledgements would be forgotten.
func (s *Store) readIdentity(names []string) error {
	if slices.Contains(names, identityName) {
		data, err := s.files.Read(filepath.Join(s.folder, identityName))
		if err != nil {
			return &IOError{Operation: "read", File: identityName, Cause: err}
		}
		_, payload, ok := decodeFrame(data)
		if !ok {
			return &DamagedError{File: identityName, Detail: "the length or CRC is wrong"}
		}
		if err := json.Unmarshal(payload, &s.identity); err != nil {
			return &DamagedError{File: identityName, Detail: err.Error()}
		}
	} else if slices.ContainsFunc(names, func(n string) bool { return isSegment(n) || isSnapshot(n) }) {
		return &DamagedError{File: identityName, Detail: "the folder has a log but no identity"}
	}
	if s.identity.Instance == "" {
		s.identity.Instance = uuid.NewString()
	}
	s.identity.Boot++
	data, err := json.Marshal(s.identity)
	if err != nil {
		return &IOError{Operation: "encode", File: identityName, Cause: err}
	}
	return s.writeAtomically(identityName, encodeFrame(s.identity.Boot, data))
}
