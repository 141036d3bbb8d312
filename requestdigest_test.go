package laburnumlever

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestRequestDigestTellsRequestsApart(t *testing.T) {
	digest := func(method, host, target, body string) RequestDigest {
		return NewRequestDigest(method, host, target, []byte(body))
	}
	first := digest("POST", "quotes.example", "/quote/1", "oak")
	require.Equal(t, first, digest("POST", "quotes.example", "/quote/1", "oak"))
	for _, other := range []RequestDigest{
		digest("PUT", "quotes.example", "/quote/1", "oak"),
		digest("POST", "quotes.example/", "quote/1", "oak"),
		digest("POST", "quotes.example", "/quote/2", "oak"),
		digest("POST", "quotes.example", "/quote/1", "ash"),
		{},
	} {
		require.NotEqual(t, first, other)
	}
}

func TestRequestDigestIsTextInJSON(t *testing.T) {
	first := NewRequestDigest("POST", "quotes.example", "/quote/1", nil)
	text, err := json.Marshal(first)
	require.NoError(t, err)
	var decoded RequestDigest
	require.NoError(t, json.Unmarshal(text, &decoded))
	require.Equal(t, first, decoded)
	require.Len(t, first.String(), 32)
	require.Empty(t, RequestDigest{}.String())
	for _, bad := range []string{`""`, `"00"`, `"zz"`, `1`} {
		require.Error(t, json.Unmarshal([]byte(bad), &decoded), bad)
	}
}
