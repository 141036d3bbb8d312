package laburnumstate_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumlever"
	"laburnumlever/laburnumstate"
)

// BenchmarkReplay measures a restart after 50 changes of a route table with 353 models.
func BenchmarkReplay(b *testing.B) {
	const changes, models = 50, 353
	class := laburnumlever.EngineClass{Slots: 12}
	for i := range models {
		class.Models = append(class.Models, laburnumlever.ModelClass{Name: laburnumlever.ModelName(fmt.Sprintf("model-%d", i)), WeightsMB: 72700, AdapterMB: 66})
	}
	table := laburnumlever.RouteTable{Services: []laburnumlever.RoutedService{{Name: "quotes", Engine: &class}}}
	document, err := json.Marshal(table)
	require.NoError(b, err)
	table.Document = document
	var entries [][]byte
	for v := range uint64(changes) {
		table.Version = v + 1
		encoded, err := laburnumlever.EncodeRoutes(table)
		require.NoError(b, err)
		data, err := json.Marshal(laburnumlever.Command{Kind: laburnumlever.CommandApplyRoutes, Routes: &encoded})
		require.NoError(b, err)
		entries = append(entries, data)
	}
	for b.Loop() {
		m := laburnumstate.New()
		for _, data := range entries {
			var cmd laburnumlever.Command
			require.NoError(b, json.Unmarshal(data, &cmd))
			m.Apply(1, cmd)
		}
		_, err := m.Routes().Table()
		require.NoError(b, err)
	}
}
