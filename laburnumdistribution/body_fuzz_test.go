package laburnumdistribution

import (
	"testing"

	"laburnumlever"

	"github.com/stretchr/testify/require"
)

// FuzzBody guards against catalogues of another VM that cause a panic, or that can't be passed on.
func FuzzBody(f *testing.F) {
	good, err := (&catalogueBody{catalogue: laburnumlever.Catalogue{Revision: 3}}).envelope()
	require.NoError(f, err)
	f.Add(good.Gzip)
	f.Add(good.Gzip[:len(good.Gzip)/2])
	f.Add([]byte("not compressed"))
	f.Fuzz(func(t *testing.T, data []byte) {
		b, err := envelope{Revision: 3, Gzip: data}.unpack()
		if err != nil {
			return
		}
		again, err := b.envelope()
		require.NoError(t, err)
		require.Equal(t, data, again.Gzip)
	})
}
