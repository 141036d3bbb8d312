package laburnumdisk

import (
	"encoding/json"
	"fmt"
	"path/filepath"
	"strings"

	"laburnumlever/laburnumlog"
)

const (
	snapshotPrefix = "snapshot-"
	snapshotSuffix = ".snap"
	tempSuffix     = ".tmp"
)

func snapshotName(index uint64) string {
	return fmt.Sprintf("%s%016x%s", snapshotPrefix, index, snapshotSuffix)
}

func isSnapshot(name string) bool {
	return strings.HasPrefix(name, snapshotPrefix) && strings.HasSuffix(name, snapshotSuffix)
}

// writeAtomically is WriteAtomically for a file of the store.
func (s *Store) writeAtomically(name string, data []byte) error {
	return WriteAtomically(s.files, s.folder, name, data)
}

// WriteAtomically writes a file of a folder so that after a crash it either has all its data or was not
// replaced. It is durable when WriteAtomically returns. An error is an *IOError.
func WriteAtomically(files Files, folder, name string, data []byte) error {
	path := filepath.Join(folder, name)
	f, err := files.Create(path + tempSuffix)
	if err != nil {
		return &IOError{Operation: "create", File: name, Cause: err}
	}
	if _, err := f.Write(data); err != nil {
		_ = f.Close()
		return &IOError{Operation: "write", File: name, Cause: err}
	}
	if err := f.Sync(); err != nil {
		_ = f.Close()
		return &IOError{Operation: "sync", File: name, Cause: err}
	}
	if err := f.Close(); err != nil {
		return &IOError{Operation: "close", File: name, Cause: err}
	}
	if err := files.Rename(path+tempSuffix, path); err != nil {
		return &IOError{Operation: "rename", File: name, Cause: err}
	}
	return syncFolder(files, folder)
}

func (s *Store) syncFolder() error { return syncFolder(s.files, s.folder) }

func syncFolder(files Files, folder string) error {
	if err := files.SyncFolder(folder); err != nil {
		return &IOError{Operation: "sync folder", File: folder, Cause: err}
	}
	return nil
}

func (s *Store) writeSnapshot(snapshot laburnumlog.Snapshot) error {
	data, err := json.Marshal(snapshot)
	if err != nil {
		return &IOError{Operation: "encode", File: snapshotName(snapshot.Index), Cause: err}
	}
	if err := s.writeAtomically(snapshotName(snapshot.Index), encodeFrame(snapshot.Index, data)); err != nil {
		return err
	}
	old := s.snapshot
	s.snapshot = snapshotName(snapshot.Index)
	if old != "" && old != s.snapshot {
		return s.remove(old)
	}
	return nil
}

func (s *Store) remove(name string) error {
	if err := s.files.Remove(filepath.Join(s.folder, name)); err != nil {
		return &IOError{Operation: "remove", File: name, Cause: err}
	}
	return nil
}

// readSnapshot reads the newest snapshot and removes older ones, which a crash between the
// rename of a new snapshot and the removal of the old one leaves behind.
func (s *Store) readSnapshot(names []string) (laburnumlog.Snapshot, error) {
	var snapshot laburnumlog.Snapshot
	for _, name := range names {
		if !isSnapshot(name) {
			continue
		}
		if s.snapshot != "" {
			if err := s.remove(s.snapshot); err != nil {
				return snapshot, err
			}
		}
		s.snapshot = name
	}
	if s.snapshot == "" {
		return snapshot, nil
	}
	data, err := s.files.Read(filepath.Join(s.folder, s.snapshot))
	if err != nil {
		return snapshot, &IOError{Operation: "read", File: s.snapshot, Cause: err}
	}
	_, payload, ok := decodeFrame(data)
	if !ok || len(payload)+frameHeaderSize != len(data) {
		return snapshot, &DamagedError{File: s.snapshot, Detail: "the snapshot's length or CRC is wrong"}
	}
	if err := json.Unmarshal(payload, &snapshot); err != nil {
		return snapshot, &DamagedError{File: s.snapshot, Detail: err.Error()}
	}
	return snapshot, nil
}
