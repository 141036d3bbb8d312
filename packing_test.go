package laburnumlever_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"laburnumlever"
)

func tableOf(routes int) laburnumlever.RouteTable {
	t := laburnumlever.RouteTable{Version: 7, Document: []byte(`{"version":7}`)}
	for i := range routes {
		t.Routes = append(t.Routes, laburnumlever.Route{
			Name: laburnumlever.RouteName(fmt.Sprintf("r-%d", i)), Host: "quotes.example", PathPrefix: fmt.Sprintf("/%x/", i*7919),
			Kind: laburnumlever.KindStream, Timeout: 12e9, Target: 3e8, MaxAttempts: 2,
			Split: []laburnumlever.RouteShare{{Service: "quotes", Weight: 1}},
		})
	}
	return t
}

// Guards against large route tables sent uncompressed to every voter and gateway, which keep small control VMs busy.
func TestLargeTableIsCompressed(t *testing.T) {
	table := tableOf(1900)
	data, err := json.Marshal(table)
	require.NoError(t, err)
	require.Less(t, len(data), 100_000)
	var got laburnumlever.RouteTable
	require.NoError(t, json.Unmarshal(data, &got))
	require.Equal(t, table, got)
}

// A small table is encoded as plain JSON, the format from before tables were compressed.
func TestSmallTableStaysPlain(t *testing.T) {
	table := tableOf(3)
	data, err := json.Marshal(table)
	require.NoError(t, err)
	require.Contains(t, string(data), `"path-prefix":"/1eef/"`)
	var got laburnumlever.RouteTable
	require.NoError(t, json.Unmarshal(data, &got))
	require.Equal(t, table, got)
}

// Guards against a compressed table that was truncated on disk and decodes as a table without routes.
func TestDamagedTableIsAnError(t *testing.T) {
	data, err := json.Marshal(tableOf(1900))
	require.NoError(t, err)
	var packed map[string]any
	require.NoError(t, json.Unmarshal(data, &packed))
	text, _ := packed["packed"].(string)
	packed["packed"] = text[:len(text)/2/4*4]
	data, err = json.Marshal(packed)
	require.NoError(t, err)
	var got laburnumlever.RouteTable
	err = json.Unmarshal(data, &got)
	var invalid *laburnumlever.InvalidValueError
	require.True(t, errors.As(err, &invalid), "%v", err)
}

func BenchmarkMarshalLargeTable(b *testing.B) {
	table := tableOf(1900)
	for b.Loop() {
		_, _ = json.Marshal(table)
	}
}

// Guards against control VMs that take long to unpack a table that packing has hardly made smaller.
func TestTableThatDoesNotCompressStaysPlain(t *testing.T) {
	random := make([]byte, 1<<20)
	_, _ = rand.NewChaCha8([32]byte{1}).Read(random) // never fails
	table := laburnumlever.RouteTable{Version: 7, Document: random}
	data, err := json.Marshal(table)
	require.NoError(t, err)
	require.Contains(t, string(data[:200]), `"document":"`)
	var got laburnumlever.RouteTable
	require.NoError(t, json.Unmarshal(data, &got))
	require.Equal(t, table, got)
}

// Guards against a table that is larger than its text by so much that gateways can't take it.
func TestSizeOfATableIsThatOfItsDecodedForm(t *testing.T) {
	table := tableOf(1900)
	size, err := table.Size()
	require.NoError(t, err)
	require.Greater(t, size, 1900*len(`{"name":"r-0","host":"quotes.example"}`))
	packed, err := laburnumlever.PackRoutes(table.WithoutDocument())
	require.NoError(t, err)
	require.Less(t, len(packed), size/5)
	got, err := laburnumlever.UnpackRoutes(packed)
	require.NoError(t, err)
	require.Equal(t, table.WithoutDocument(), got)
}
