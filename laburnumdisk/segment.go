package laburnumdisk

import (
	"fmt"
	"path/filepath"
	"strings"
)

const (
	segmentPrefix = "log-"
	segmentSuffix = ".seg"
	// segmentBytes is the size in bytes from which on a new segment is started.
	segmentBytes = 4 << 20
)

// segment is one file of frames.
type segment struct {
	name string
	size int64
	// last is the index of the last entry in this segment or an earlier one.
	last uint64
}

func segmentName(number uint64) string {
	return fmt.Sprintf("%s%016x%s", segmentPrefix, number, segmentSuffix)
}

func isSegment(name string) bool {
	return strings.HasPrefix(name, segmentPrefix) && strings.HasSuffix(name, segmentSuffix)
}

// readSegments replays all segments, and truncates a torn tail of the last one.
func (s *Store) readSegments(names []string) (replay, error) {
	var log replay
	var segments []string
	for _, name := range names {
		if isSegment(name) {
			segments = append(segments, name)
		}
	}
	for i, name := range segments {
		data, err := s.files.Read(filepath.Join(s.folder, name))
		if err != nil {
			return log, &IOError{Operation: "read", File: name, Cause: err}
		}
		end, err := readFrames(name, data, &log)
		if err != nil {
			return log, err
		}
		if end < len(data) {
			if i < len(segments)-1 || containsFrame(data[end:]) {
				return log, &DamagedError{File: name, Offset: int64(end), Detail: "a synced frame is damaged"}
			}
			if err := s.truncateSegment(name, int64(end)); err != nil {
				return log, err
			}
		}
		s.segments = append(s.segments, segment{name: name, size: int64(end), last: log.lastIndex()})
	}
	return log, nil
}

// readFrames replays the valid frames at the start of data and returns the offset of their
// end.
func readFrames(name string, data []byte, log *replay) (int, error) {
	end := 0
	for {
		number, payload, ok := decodeFrame(data[end:])
		if !ok {
			return end, nil
		}
		if err := log.applyFrame(name, int64(end), number, payload); err != nil {
			return end, err
		}
		end += frameHeaderSize + len(payload)
	}
}

func (r *replay) lastIndex() uint64 {
	if len(r.entries) == 0 {
		return 0
	}
	return r.entries[len(r.entries)-1].Index
}

// truncateSegment truncates a segment to size bytes and syncs it.
func (s *Store) truncateSegment(name string, size int64) error {
	path := filepath.Join(s.folder, name)
	if err := s.files.Truncate(path, size); err != nil {
		return &IOError{Operation: "truncate", File: name, Cause: err}
	}
	f, err := s.files.OpenAppend(path)
	if err != nil {
		return &IOError{Operation: "open", File: name, Cause: err}
	}
	if err := f.Sync(); err != nil {
		_ = f.Close()
		return &IOError{Operation: "sync", File: name, Cause: err}
	}
	if err := f.Close(); err != nil {
		return &IOError{Operation: "close", File: name, Cause: err}
	}
	return nil
}

// roll closes the current segment and starts a new one.
func (s *Store) roll() error {
	if s.file != nil {
		if err := s.file.Close(); err != nil {
			return &IOError{Operation: "close", File: s.segments[len(s.segments)-1].name, Cause: err}
		}
		s.file = nil
	}
	name := segmentName(s.lastFrame + 1)
	f, err := s.files.Create(filepath.Join(s.folder, name))
	if err != nil {
		return &IOError{Operation: "create", File: name, Cause: err}
	}
	s.file = f
	s.segments = append(s.segments, segment{name: name, last: s.lastEntry()})
	return s.syncFolder()
}

func (s *Store) lastEntry() uint64 {
	if len(s.segments) == 0 {
		return 0
	}
	return s.segments[len(s.segments)-1].last
}

// removeCoveredSegments removes the segments whose entries are covered by a durable snapshot.
// Each frame has the hard state, so it is not lost with them. If a crash left the last segment
// empty, it has no hard state, and the segments before it are kept.
func (s *Store) removeCoveredSegments(index uint64) error {
	for len(s.segments) > 1 && s.segments[0].last <= index && s.segments[len(s.segments)-1].size > 0 {
		if err := s.remove(s.segments[0].name); err != nil {
			return err
		}
		s.segments = s.segments[1:]
	}
	return nil
}
