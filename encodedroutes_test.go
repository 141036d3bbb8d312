package laburnumlever_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"laburnumlever"
)

func tableWithRoutes(version uint64, routes int) laburnumlever.RouteTable {
	t := laburnumlever.RouteTable{Version: version}
	for i := range routes {
		t.Routes = append(t.Routes, laburnumlever.Route{
			Name: laburnumlever.RouteName(fmt.Sprintf("r%d", i)), Host: "a.example", PathPrefix: fmt.Sprintf("/%d/", i),
			Split: []laburnumlever.RouteShare{{Service: "booking", Weight: 1}},
		})
	}
	return t
}

func TestEncodedRoutesRoundTrip(t *testing.T) {
	for _, routes := range []int{1, 1000} { // plain and compressed
		table := tableWithRoutes(7, routes)
		encoded, err := laburnumlever.EncodeRoutes(table)
		require.NoError(t, err)
		data, err := json.Marshal(laburnumlever.Command{Kind: laburnumlever.CommandApplyRoutes, Routes: &encoded})
		require.NoError(t, err)
		var cmd laburnumlever.Command
		require.NoError(t, json.Unmarshal(data, &cmd))
		require.Equal(t, uint64(7), cmd.Routes.Version())
		got, err := cmd.Routes.Table()
		require.NoError(t, err)
		require.Equal(t, table, got)
	}
}

// Guards against a slow restart that decodes every route table of the log, although only the last is used.
func TestRoutesAreNotDecodedWithTheirCommand(t *testing.T) {
	var cmd laburnumlever.Command
	require.NoError(t, json.Unmarshal([]byte(`{"kind":"apply-routes","routes":{"version":3,"packed":"bm90IGNvbXByZXNzZWQ="}}`), &cmd))
	require.Equal(t, uint64(3), cmd.Routes.Version())
	_, err := cmd.Routes.Table()
	var encoding *laburnumlever.RoutesEncodingError
	require.True(t, errors.As(err, &encoding))
	require.Equal(t, uint64(3), encoding.Version)
}
