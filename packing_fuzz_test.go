package laburnumlever_test

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumlever"
)

// FuzzRouteTable guards against tables of the log or another VM that cause a panic, or that change when they are decoded and encoded.
func FuzzRouteTable(f *testing.F) {
	for _, routes := range []int{2, 300} { // plain and compressed
		data, err := json.Marshal(tableOf(routes))
		require.NoError(f, err)
		f.Add(data)
	}
	f.Add([]byte(`{"version":3,"packed":"bm90IGNvbXByZXNzZWQ="}`))
	f.Add([]byte(`{"version":18446744073709551615,"routes":[{"split":[{}]}],"accounts":[{"keys":["00"]}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var encoded laburnumlever.EncodedRoutes
		if json.Unmarshal(data, &encoded) != nil {
			return
		}
		table, err := encoded.Table()
		if err != nil {
			return
		}
		first, err := json.Marshal(table)
		require.NoError(t, err)
		var again laburnumlever.RouteTable
		require.NoError(t, json.Unmarshal(first, &again))
		second, err := json.Marshal(again)
		require.NoError(t, err)
		require.Equal(t, string(first), string(second))
	})
}
