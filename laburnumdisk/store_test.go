package laburnumdisk_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"laburnumlever/laburnumdisk"
	"laburnumlever/laburnumlog"

	"github.com/stretchr/testify/require"
)

func entries(first, last, term uint64) []laburnumlog.Entry {
	var list []laburnumlog.Entry
	for i := first; i <= last; i++ {
		list = append(list, laburnumlog.Entry{Index: i, Term: term, Data: fmt.Appendf(nil, "entry %d of term %d", i, term)})
	}
	return list
}

func write(term, first, last uint64) laburnumlog.Write {
	return laburnumlog.Write{Hard: laburnumlog.HardState{Term: term, Vote: "a/1"}, Entries: entries(first, last, term)}
}

func snapshotWrite(index, term uint64, reset bool) laburnumlog.Write {
	return laburnumlog.Write{
		Hard:     laburnumlog.HardState{Term: term, Vote: "a/1"},
		Snapshot: &laburnumlog.Snapshot{Index: index, Term: term, Data: []byte("state")}, Reset: reset,
	}
}

func open(t *testing.T, folder string, opts ...laburnumdisk.Option) (*laburnumdisk.Store, laburnumlog.Recovered) {
	t.Helper()
	s, r, err := laburnumdisk.Open(folder, opts...)
	require.NoError(t, err)
	return s, r
}

func segments(t *testing.T, folder string) []string {
	t.Helper()
	names, err := filepath.Glob(filepath.Join(folder, "log-*.seg"))
	require.NoError(t, err)
	return names
}

func TestWriteAndReopen(t *testing.T) {
	cases := map[string]struct {
		writes      []laburnumlog.Write
		first, last uint64 // entries expected
		snapshot    uint64
	}{
		"entries":                   {writes: []laburnumlog.Write{write(1, 1, 3), write(1, 4, 9)}, first: 1, last: 9},
		"a later term replaces":     {writes: []laburnumlog.Write{write(1, 1, 9), write(2, 5, 6)}, first: 1, last: 6},
		"a snapshot covers":         {writes: []laburnumlog.Write{write(1, 1, 9), snapshotWrite(6, 1, false)}, first: 7, last: 9, snapshot: 6},
		"a snapshot covers all":     {writes: []laburnumlog.Write{write(1, 1, 9), snapshotWrite(9, 1, false)}, snapshot: 9},
		"a leader's snapshot":       {writes: []laburnumlog.Write{write(1, 1, 9), snapshotWrite(6, 2, true), write(2, 7, 8)}, first: 7, last: 8, snapshot: 6},
		"a gap before the snapshot": {writes: []laburnumlog.Write{write(1, 1, 3), snapshotWrite(20, 2, true), write(2, 21, 22)}, first: 21, last: 22, snapshot: 20},
		"the vote alone":            {writes: []laburnumlog.Write{{Hard: laburnumlog.HardState{Term: 7, Vote: "a/1"}}}},
	}
	for name, c := range cases {
		for _, rollAt := range []int64{1, 1 << 20} {
			for _, together := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/%d/%v", name, rollAt, together), func(t *testing.T) {
					folder := t.TempDir()
					s, _ := open(t, folder, laburnumdisk.WithSegmentBytes(rollAt))
					if together {
						require.NoError(t, s.Write(c.writes))
					} else {
						for _, w := range c.writes {
							require.NoError(t, s.Write([]laburnumlog.Write{w}))
						}
					}
					require.NoError(t, s.Close())
					s, r := open(t, folder)
					require.Equal(t, c.writes[len(c.writes)-1].Hard, r.Hard)
					require.Equal(t, c.snapshot, r.Snapshot.Index)
					require.EqualValues(t, 2, s.Identity().Boot)
					if c.last == 0 {
						require.Empty(t, r.Entries)
						return
					}
					require.Equal(t, c.first, r.Entries[0].Index)
					require.Equal(t, c.last, r.Entries[len(r.Entries)-1].Index)
				})
			}
		}
	}
}

func TestTornTailIsCutAtEveryByte(t *testing.T) {
	folder := t.TempDir()
	s, _ := open(t, folder)
	require.NoError(t, s.Write([]laburnumlog.Write{write(1, 1, 2)}))
	whole, err := os.ReadFile(segments(t, folder)[0])
	require.NoError(t, err)
	require.NoError(t, s.Write([]laburnumlog.Write{write(1, 3, 4)}))
	require.NoError(t, s.Close())
	name := segments(t, folder)[0]
	both, err := os.ReadFile(name)
	require.NoError(t, err)
	for end := len(whole); end < len(both); end++ {
		require.NoError(t, os.WriteFile(name, both[:end], 0o600))
		s, r := open(t, folder)
		require.Len(t, r.Entries, 2, "cut at %d", end)
		require.NoError(t, s.Write([]laburnumlog.Write{write(2, 3, 3)}))
		require.NoError(t, s.Close())
		s, r = open(t, folder)
		require.NoError(t, s.Close())
		require.Len(t, r.Entries, 3, "after a cut at %d", end)
	}
}

// Guards against the silent loss of acknowledged entries by truncating the log at a damaged synced frame.
func TestDamageElsewhereIsAnError(t *testing.T) {
	folder := t.TempDir()
	s, _ := open(t, folder, laburnumdisk.WithSegmentBytes(300))
	for i := range uint64(6) {
		require.NoError(t, s.Write([]laburnumlog.Write{write(1, i+1, i+1)}))
	}
	require.NoError(t, s.Write([]laburnumlog.Write{snapshotWrite(1, 1, false)}))
	require.NoError(t, s.Write([]laburnumlog.Write{write(1, 7, 7)}))
	require.NoError(t, s.Close())
	files, err := filepath.Glob(filepath.Join(folder, "*"))
	require.NoError(t, err)
	require.Greater(t, len(segments(t, folder)), 2)
	last := segments(t, folder)[len(segments(t, folder))-1]
	for _, name := range files {
		good, err := os.ReadFile(name)
		require.NoError(t, err)
		end := len(good)
		if name == last {
			end = strings.LastIndex(string(good), "1FLL") // a damaged last frame looks like a torn one
		}
		for i := 0; i < end; i += 7 {
			bad := append([]byte{}, good...)
			bad[i] ^= 0x40
			require.NoError(t, os.WriteFile(name, bad, 0o600))
			_, _, err := laburnumdisk.Open(folder)
			var damaged *laburnumdisk.DamagedError
			require.ErrorAs(t, err, &damaged, "%s byte %d", name, i)
		}
		require.NoError(t, os.WriteFile(name, good, 0o600))
		if name != last && strings.HasSuffix(name, ".seg") && name != segments(t, folder)[0] {
			require.NoError(t, os.Remove(name))
			_, _, err := laburnumdisk.Open(folder)
			require.Error(t, err, "without %s", name)
			require.NoError(t, os.WriteFile(name, good, 0o600))
		}
	}
	require.NoError(t, laburnumdisk.Quarantine(folder))
	s, r := open(t, folder)
	require.NoError(t, s.Close())
	require.Empty(t, r.Entries)
	require.EqualValues(t, 1, s.Identity().Boot)
}

func TestFolderStaysBounded(t *testing.T) {
	folder := t.TempDir()
	s, _ := open(t, folder, laburnumdisk.WithSegmentBytes(2000))
	for i := range uint64(400) {
		require.NoError(t, s.Write([]laburnumlog.Write{write(1, i+1, i+1)}))
		if i%20 == 19 {
			require.NoError(t, s.Write([]laburnumlog.Write{snapshotWrite(i+1, 1, false)}))
		}
	}
	require.NoError(t, s.Close())
	require.LessOrEqual(t, len(segments(t, folder)), 3)
}

func FuzzReader(f *testing.F) {
	folder := f.TempDir()
	s, _, err := laburnumdisk.Open(folder)
	require.NoError(f, err)
	require.NoError(f, s.Write([]laburnumlog.Write{write(1, 1, 3)}))
	require.NoError(f, s.Write([]laburnumlog.Write{write(2, 2, 5)}))
	require.NoError(f, s.Close())
	names, err := filepath.Glob(filepath.Join(folder, "log-*.seg"))
	require.NoError(f, err)
	good, err := os.ReadFile(names[0])
	require.NoError(f, err)
	f.Add(good, good)
	f.Add(good[:len(good)-3], []byte{})
	f.Add([]byte{}, good[:30])
	f.Add(append(append([]byte{}, good...), good...), good[7:])
	f.Fuzz(func(t *testing.T, log, snapshot []byte) {
		folder := t.TempDir()
		require.NoError(t, os.WriteFile(filepath.Join(folder, "log-0000000000000001.seg"), log, 0o600))
		if len(snapshot) > 0 {
			require.NoError(t, os.WriteFile(filepath.Join(folder, "snapshot-0000000000000001.snap"), snapshot, 0o600))
		}
		require.NoError(t, os.WriteFile(filepath.Join(folder, "identity"), identityFile(t), 0o600))
		s, r, err := laburnumdisk.Open(folder)
		if err != nil {
			return
		}
		// A folder that was opened once accepts writes and can be opened again.
		next := r.Snapshot.Index + uint64(len(r.Entries)) + 1
		require.NoError(t, s.Write([]laburnumlog.Write{write(9, next, next)}))
		require.NoError(t, s.Close())
		_, again, err := laburnumdisk.Open(folder)
		require.NoError(t, err)
		require.Len(t, again.Entries, len(r.Entries)+1)
	})
}

func identityFile(t *testing.T) []byte {
	t.Helper()
	folder := t.TempDir()
	s, _ := open(t, folder)
	require.NoError(t, s.Close())
	data, err := os.ReadFile(filepath.Join(folder, "identity"))
	require.NoError(t, err)
	return data
}
