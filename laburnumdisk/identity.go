package laburnumdisk

import (
	"encoding/json"
	"path/filepath"
	"slices"

	"github.com/google/uuid"
)

const identityName = "identity"

// Identity identifies a data folder and one start of a replica on it.
type Identity struct {
	Instance string `json:"instance"`
	// Boot is the number of starts, including this one.
	Boot uint64 `json:"boot"`
}

// readIdentity reads the folder's identity, or creates one for an empty folder, and
// increments its boot. A folder with a log but without an identity is damaged: under a new
// identity the replica's votes and acknowledgements would be lost.
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
