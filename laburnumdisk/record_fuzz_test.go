package laburnumdisk

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// FuzzRecords guards against files with a right checksum around any payload, as of another build, that cause a panic, or a log with a gap.
func FuzzRecords(f *testing.F) {
	const entries = `{"hard":{"term":2},"entries":[{"index":1,"term":1},{"index":2,"term":2}]}`
	const later = `{"hard":{"term":2},"reset":9,"entries":[{"index":10,"term":2}]}`
	f.Add([]byte(entries), []byte(later), []byte(`{"index":9,"term":2}`), []byte(`{"instance":"a","boot":1}`))
	f.Add([]byte(entries), []byte(entries), []byte{}, []byte(`{"boot":18446744073709551615}`))
	f.Add([]byte(`{"entries":[{"index":18446744073709551615},{"index":0}]}`), []byte(`{"reset":1}`), []byte(`{"index":18446744073709551615}`), []byte(`null`))
	f.Fuzz(func(t *testing.T, first, second, snapshot, identity []byte) {
		folder := t.TempDir()
		for name, data := range map[string][]byte{
			"log-0000000000000001.seg": append(encodeFrame(1, first), encodeFrame(2, second)...), "snapshot-0000000000000001.snap": encodeFrame(1, snapshot),
			identityName: encodeFrame(1, identity),
		} {
			if name != "snapshot-0000000000000001.snap" || len(snapshot) > 0 {
				require.NoError(t, os.WriteFile(filepath.Join(folder, name), data, 0o600))
			}
		}
		s, r, err := Open(folder)
		if err != nil {
			return
		}
		for i, e := range r.Entries {
			require.Equal(t, r.Snapshot.Index+1+uint64(i), e.Index)
		}
		require.NoError(t, s.Close())
	})
}
