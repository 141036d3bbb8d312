package laburnumdisk_test

import (
	"fmt"
	"io/fs"
	"path/filepath"
	"slices"
	"syscall"
	"testing"

	"laburnumlever/laburnumdisk"
	"laburnumlever/laburnumlog"

	"github.com/stretchr/testify/require"
)

// memoryFiles is an in-memory folder that on a crash loses what was not synced: written bytes
// and created, renamed or removed names.
type memoryFiles struct {
	current map[string]*memoryFile
	durable map[string]*memoryFile
	// untilFailure is the number of operations before the first one that fails; a negative
	// number means none. A failing write writes half of its data.
	untilFailure int
	// torn keeps half of the unsynced bytes at the crash, and makes removals durable
	// at once, as a file system may do.
	torn bool
}

type memoryFile struct {
	files  *memoryFiles
	data   []byte
	synced int
}

func newMemoryFiles() *memoryFiles {
	return &memoryFiles{current: map[string]*memoryFile{}, durable: map[string]*memoryFile{}, untilFailure: -1}
}

func (m *memoryFiles) crash(after int, torn bool) { m.untilFailure, m.torn = after, torn }

// fails counts one operation and reports whether it fails.
func (m *memoryFiles) fails() bool {
	if m.untilFailure == 0 {
		return true
	}
	m.untilFailure--
	return false
}

// restart replaces the folder with what is left of it after the crash.
func (m *memoryFiles) restart() {
	m.current = map[string]*memoryFile{}
	for name, f := range m.durable {
		keep := f.synced
		if m.torn {
			keep += (len(f.data) - f.synced) / 2
		}
		g := &memoryFile{files: m, data: slices.Clone(f.data[:min(keep, len(f.data))])}
		g.synced = len(g.data)
		m.current[name] = g
	}
	m.durable = map[string]*memoryFile{}
	for name, f := range m.current {
		m.durable[name] = f
	}
	m.untilFailure = -1
}

func (m *memoryFiles) MakeFolder(string) error { return nil }

func (m *memoryFiles) List(string) ([]string, error) {
	var names []string
	for name := range m.current {
		names = append(names, filepath.Base(name))
	}
	slices.Sort(names)
	return names, nil
}

func (m *memoryFiles) Read(path string) ([]byte, error) {
	f, ok := m.current[path]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(f.data), nil
}

func (m *memoryFiles) OpenAppend(path string) (laburnumdisk.File, error) {
	if f, ok := m.current[path]; ok {
		return f, nil
	}
	return m.Create(path)
}

func (m *memoryFiles) Create(path string) (laburnumdisk.File, error) {
	if m.fails() {
		return nil, syscall.EIO
	}
	f := &memoryFile{files: m}
	m.current[path] = f
	return f, nil
}

func (m *memoryFiles) Rename(from, to string) error {
	if m.fails() {
		return syscall.EIO
	}
	m.current[to] = m.current[from]
	delete(m.current, from)
	return nil
}

func (m *memoryFiles) Remove(path string) error {
	if m.fails() {
		return syscall.EIO
	}
	delete(m.current, path)
	if m.torn {
		delete(m.durable, path)
	}
	return nil
}

func (m *memoryFiles) Truncate(path string, size int64) error {
	if m.fails() {
		return syscall.EIO
	}
	m.current[path].data = m.current[path].data[:size]
	return nil
}

func (m *memoryFiles) SyncFolder(string) error {
	if m.fails() {
		return syscall.EIO
	}
	m.durable = map[string]*memoryFile{}
	for name, f := range m.current {
		m.durable[name] = f
	}
	return nil
}

func (f *memoryFile) Write(data []byte) (int, error) {
	if f.files.fails() {
		f.data = append(f.data, data[:len(data)/2]...)
		return len(data) / 2, syscall.ENOSPC
	}
	f.data = append(f.data, data...)
	return len(data), nil
}

func (f *memoryFile) Sync() error {
	if f.files.fails() {
		return syscall.EIO
	}
	f.synced = len(f.data)
	return nil
}

func (f *memoryFile) Close() error { return nil }

// Guards against acknowledged writes that are lost in a crash, or a store that accepts no writes after one.
func TestCrashAtEveryOperation(t *testing.T) {
	writes := []laburnumlog.Write{
		write(1, 1, 4), write(1, 5, 9), snapshotWrite(4, 1, false), write(2, 8, 12), snapshotWrite(12, 2, false),
		write(2, 13, 14), snapshotWrite(30, 3, true), write(3, 31, 33), write(4, 33, 35),
	}
	for _, torn := range []bool{false, true} {
		for at := 0; ; at++ {
			files := newMemoryFiles()
			files.crash(at, torn)
			done := writeWithCrashes(t, files, writes)
			if done {
				require.Greater(t, at, 30)
				break
			}
		}
	}
}

// Guards against a folder that is reopened after a write error and returns data that is not durable.
func TestReopenAfterWriteError(t *testing.T) {
	writes := []laburnumlog.Write{
		write(1, 1, 4), write(1, 5, 9), snapshotWrite(4, 1, false), write(2, 8, 12), snapshotWrite(12, 2, false),
		write(2, 13, 14), snapshotWrite(30, 3, true), write(3, 31, 33), write(4, 33, 35),
	}
	opts := func(files *memoryFiles) []laburnumdisk.Option {
		return []laburnumdisk.Option{laburnumdisk.WithFiles(files), laburnumdisk.WithSegmentBytes(300)}
	}
	for _, torn := range []bool{false, true} {
		for at, failed := 0, true; failed; at++ {
			files := newMemoryFiles()
			s, _ := open(t, "data", opts(files)...)
			files.crash(at, torn)
			acknowledged := 0
			for acknowledged < len(writes) && s.Write(writes[acknowledged:acknowledged+1]) == nil {
				acknowledged++
			}
			failed = acknowledged < len(writes)
			files.untilFailure = -1
			require.NoError(t, s.DiscardUnsynced())
			_, found := open(t, "data", opts(files)...)
			requireAcknowledged(t, found, writes, acknowledged)
			files.restart()
			_, r := open(t, "data", opts(files)...)
			require.Equal(t, summary(found), summary(r), "operation %d failed", at)
		}
	}
}

// writeWithCrashes writes all writes, restarting after each crash and checking what each start
// recovers. It reports whether no crash happened.
func writeWithCrashes(t *testing.T, files *memoryFiles, writes []laburnumlog.Write) bool {
	t.Helper()
	acknowledged, crashes := 0, 0
	for {
		s, r, err := laburnumdisk.Open("data", laburnumdisk.WithFiles(files), laburnumdisk.WithSegmentBytes(300))
		if err == nil {
			requireAcknowledged(t, r, writes, acknowledged)
		}
		for err == nil && acknowledged < len(writes) {
			if err = s.Write(writes[acknowledged : acknowledged+1]); err == nil {
				acknowledged++
			}
		}
		if err == nil {
			return crashes == 0
		}
		var damaged *laburnumdisk.DamagedError
		require.NotErrorAs(t, err, &damaged)
		crashes++
		files.restart()
		if crashes == 1 {
			files.crash(7, files.torn)
		}
	}
}

// requireAcknowledged checks that a start has recovered the acknowledged writes. The next write may
// have been recovered too, or only its snapshot.
func requireAcknowledged(t *testing.T, r laburnumlog.Recovered, writes []laburnumlog.Write, acknowledged int) {
	t.Helper()
	want := []string{summary(model(writes[:acknowledged]))}
	if acknowledged < len(writes) {
		next := writes[acknowledged]
		want = append(want, summary(model(writes[:acknowledged+1])))
		if next.Snapshot != nil {
			half := model(writes[:acknowledged+1])
			half.Hard = model(writes[:acknowledged]).Hard
			want = append(want, summary(half))
		}
	}
	require.Contains(t, want, summary(r))
}

// model returns what a disk should hold after the writes.
func model(writes []laburnumlog.Write) laburnumlog.Recovered {
	var r laburnumlog.Recovered
	for _, w := range writes {
		r.Hard = w.Hard
		if w.Snapshot != nil {
			r.Snapshot = *w.Snapshot
		}
		r.Entries = slices.DeleteFunc(r.Entries, func(e laburnumlog.Entry) bool {
			return w.Reset || e.Index <= r.Snapshot.Index || len(w.Entries) > 0 && e.Index >= w.Entries[0].Index
		})
		r.Entries = append(r.Entries, w.Entries...)
	}
	return r
}

func summary(r laburnumlog.Recovered) string {
	text := fmt.Sprintf("term %d snapshot %d:", r.Hard.Term, r.Snapshot.Index)
	for _, e := range r.Entries {
		text += fmt.Sprintf(" %d/%d", e.Index, e.Term)
	}
	return text
}

// Guards against a replica that votes twice: the last segment is empty after a crash, and a snapshot covers that of the vote.
func TestEmptyLastSegmentKeepsTheVote(t *testing.T) {
	for at := 0; ; at++ {
		files := newMemoryFiles()
		opts := []laburnumdisk.Option{laburnumdisk.WithFiles(files), laburnumdisk.WithSegmentBytes(300)}
		s, _ := open(t, "data", opts...)
		require.NoError(t, s.Write([]laburnumlog.Write{write(7, 1, 9)}))
		_, err := files.Create("data/log-00000000000000ff.seg")
		require.NoError(t, err)
		require.NoError(t, files.SyncFolder("data"))
		s, _ = open(t, "data", opts...)
		files.crash(at, true)
		err = s.Write([]laburnumlog.Write{snapshotWrite(9, 7, false)})
		files.restart()
		_, r := open(t, "data", opts...)
		require.Equal(t, laburnumlog.HardState{Term: 7, Vote: "a/1"}, r.Hard, "crash at %d", at)
		if err == nil {
			return
		}
	}
}

// Guards against new entries appended to old ones after a crash between the leader's snapshot and its frame.
func TestEntriesAfterSnapshotWithoutItsFrame(t *testing.T) {
	for name, tail := range map[string]uint64{"the old log ends before it": 5, "the old log continues beyond it": 30} {
		t.Run(name, func(t *testing.T) {
			for at := 0; ; at++ {
				files := newMemoryFiles()
				s, _ := open(t, "data", laburnumdisk.WithFiles(files))
				require.NoError(t, s.Write([]laburnumlog.Write{write(1, 1, tail)}))
				files.crash(at, false)
				failed := s.Write([]laburnumlog.Write{snapshotWrite(20, 2, true)})
				files.restart()
				s, r := open(t, "data", laburnumdisk.WithFiles(files))
				if r.Snapshot.Index == 20 {
					require.NoError(t, s.Write([]laburnumlog.Write{write(2, 21, 22)}))
					_, r = open(t, "data", laburnumdisk.WithFiles(files))
					require.Len(t, r.Entries, 2, "crash at %d", at)
				}
				if failed == nil {
					return
				}
			}
		})
	}
}
