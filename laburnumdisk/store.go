package laburnumdisk

import (
	"encoding/json"
	"path/filepath"
	"strings"

	"laburnumlever/laburnumlog"
)

// Store is an open data folder. It is not safe for concurrent use.
type Store struct {
	files        Files
	folder       string
	identity     Identity
	snapshot     string // file name
	segments     []segment
	file         File
	lastFrame    uint64
	segmentLimit int64
	// reset, if not 0, is written with the next frame: a crash between a snapshot from
	// the leader and its frame has left old entries, which the next entries must not
	// be appended to.
	reset  uint64
	failed error
}

// Option configures a store that is being opened.
type Option func(*Store)

// WithFiles sets the file operations.
func WithFiles(files Files) Option { return func(s *Store) { s.files = files } }

// WithSegmentBytes sets the size in bytes from which on a new segment is started.
func WithSegmentBytes(n int64) Option { return func(s *Store) { s.segmentLimit = n } }

// Open opens the folder, creating it if needed, and increments its boot. Errors are
// *DamagedError and *IOError.
func Open(folder string, opts ...Option) (*Store, laburnumlog.Recovered, error) {
	s := &Store{files: OSFiles(), folder: folder, segmentLimit: segmentBytes}
	for _, opt := range opts {
		opt(s)
	}
	var recovered laburnumlog.Recovered
	if err := s.files.MakeFolder(folder); err != nil {
		return nil, recovered, &IOError{Operation: "make folder", File: folder, Cause: err}
	}
	names, err := s.files.List(folder)
	if err != nil {
		return nil, recovered, &IOError{Operation: "list", File: folder, Cause: err}
	}
	if names, err = s.removeTempFiles(names); err != nil {
		return nil, recovered, err
	}
	if err := s.readIdentity(names); err != nil {
		return nil, recovered, err
	}
	if recovered, err = s.recover(names); err != nil {
		return nil, recovered, err
	}
	return s, recovered, s.openLastSegment()
}

func (s *Store) removeTempFiles(names []string) ([]string, error) {
	var kept []string
	for _, name := range names {
		if !strings.HasSuffix(name, tempSuffix) {
			kept = append(kept, name)
			continue
		}
		if err := s.remove(name); err != nil {
			return nil, err
		}
	}
	return kept, nil
}

func (s *Store) recover(names []string) (laburnumlog.Recovered, error) {
	var recovered laburnumlog.Recovered
	snapshot, err := s.readSnapshot(names)
	if err != nil {
		return recovered, err
	}
	log, err := s.readSegments(names)
	if err != nil {
		return recovered, err
	}
	entries, ok := log.entriesAfter(snapshot)
	if !ok {
		return recovered, &DamagedError{File: s.folder, Detail: "entries between the snapshot and the log are missing"}
	}
	s.lastFrame = log.number
	if len(log.entries) > 0 && len(entries) == 0 {
		s.reset = snapshot.Index
	}
	return laburnumlog.Recovered{Hard: log.hard, Snapshot: snapshot, Entries: entries}, nil
}

// openLastSegment opens the last segment for appending.
func (s *Store) openLastSegment() error {
	if len(s.segments) == 0 {
		return s.roll()
	}
	name := s.segments[len(s.segments)-1].name
	f, err := s.files.OpenAppend(filepath.Join(s.folder, name))
	if err != nil {
		return &IOError{Operation: "open", File: name, Cause: err}
	}
	s.file = f
	return nil
}

// Identity returns the folder's identity.
func (s *Store) Identity() Identity { return s.identity }

// Write writes and syncs the writes in order; they are durable when it returns nil. After an
// error every later call returns a *FailedError.
func (s *Store) Write(writes []laburnumlog.Write) error {
	if s.failed != nil {
		return &FailedError{Cause: s.failed}
	}
	if err := s.write(writes); err != nil {
		s.failed = err
		return err
	}
	return nil
}

func (s *Store) write(writes []laburnumlog.Write) error {
	var rec record
	hasWrites := false
	for _, w := range writes {
		if w.Empty {
			continue
		}
		if w.Snapshot != nil {
			if err := s.flush(rec, hasWrites); err != nil {
				return err
			}
			rec = record{}
			if err := s.saveSnapshot(w); err != nil {
				return err
			}
			if w.Reset {
				rec.Reset = w.Snapshot.Index
			}
		}
		rec.Hard = w.Hard
		rec.Entries = append(rec.Entries, w.Entries...)
		hasWrites = true
	}
	return s.flush(rec, hasWrites)
}

// saveSnapshot writes a snapshot and removes the segments that it covers.
func (s *Store) saveSnapshot(w laburnumlog.Write) error {
	if err := s.writeSnapshot(*w.Snapshot); err != nil {
		return err
	}
	return s.removeCoveredSegments(w.Snapshot.Index)
}

// flush writes and syncs the record as one frame, if it holds any writes.
func (s *Store) flush(rec record, hasWrites bool) error {
	if !hasWrites {
		return nil
	}
	if s.segments[len(s.segments)-1].size >= s.segmentLimit {
		if err := s.roll(); err != nil {
			return err
		}
	}
	if rec.Reset == 0 {
		rec.Reset = s.reset
	}
	current := &s.segments[len(s.segments)-1]
	payload, err := json.Marshal(rec)
	if err != nil {
		return &IOError{Operation: "encode", File: current.name, Cause: err}
	}
	frame := encodeFrame(s.lastFrame+1, payload)
	if _, err := s.file.Write(frame); err != nil {
		return &IOError{Operation: "write", File: current.name, Cause: err}
	}
	if err := s.file.Sync(); err != nil {
		return &IOError{Operation: "sync", File: current.name, Cause: err}
	}
	s.lastFrame++
	s.reset = 0
	current.size += int64(len(frame))
	if n := len(rec.Entries); n > 0 {
		current.last = rec.Entries[n-1].Index
	}
	if rec.Reset > 0 && len(rec.Entries) == 0 {
		current.last = rec.Reset
	}
	return nil
}

// DiscardUnsynced truncates the log of a store whose Write has failed to the data that is known to be
// durable, so that the folder can be opened again. A failed write or fsync may leave bytes that
// can be read but are not on the disk: Open would count them as durable, and a power loss could
// remove them after they were acknowledged.
func (s *Store) DiscardUnsynced() error {
	current := s.segments[len(s.segments)-1]
	return s.truncateSegment(current.name, current.size)
}

// Close closes the current segment. Completed writes are already durable.
func (s *Store) Close() error {
	if s.file == nil {
		return nil
	}
	if err := s.file.Close(); err != nil {
		return &IOError{Operation: "close", File: s.folder, Cause: err}
	}
	return nil
}
