package laburnumendpoints_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumlever"
	"laburnumlever/laburnumdisk"
	"laburnumlever/laburnumendpoints"
	"laburnumlever/laburnumregistry"
)

func record(id string, change ...func(*laburnumregistry.Record)) laburnumregistry.Record {
	r := laburnumregistry.Record{Heartbeat: laburnumlever.Heartbeat{
		Backend: laburnumlever.BackendID(id), Service: "quotes", Address: "10.0.0.9:80", Incarnation: 7, Sequence: 3, Slots: 24,
	}}
	for _, fn := range change {
		fn(&r)
	}
	return r
}

// Guards against remembering servers that had left or had stopped announcing themselves.
func TestOnlyServersInServiceAreRemembered(t *testing.T) {
	store := laburnumendpoints.New(t.TempDir())
	records, err := store.Load()
	require.NoError(t, err)
	require.Empty(t, records)
	require.NoError(t, store.Save([]laburnumregistry.Record{
		record("i-1"), record("i-2", func(r *laburnumregistry.Record) { r.Gone = true }),
		record("i-3", func(r *laburnumregistry.Record) { r.Silent = true }),
		record("i-4", func(r *laburnumregistry.Record) { r.Heartbeat.Leaving = true }),
	}))
	records, err = store.Load()
	require.NoError(t, err)
	require.Equal(t, []laburnumregistry.Record{record("i-1")}, records)
}

// Guards against a file torn by a loss of power that is taken for the state of a fleet.
func TestTornFileIsDamaged(t *testing.T) {
	folder := t.TempDir()
	store := laburnumendpoints.New(folder)
	require.NoError(t, store.Save([]laburnumregistry.Record{record("i-1"), record("i-2")}))
	path := filepath.Join(folder, "endpoints")
	whole, err := os.ReadFile(path)
	require.NoError(t, err)
	for _, torn := range [][]byte{whole[:len(whole)/2], whole[:3], append([]byte{1}, whole[1:]...)} {
		require.NoError(t, os.WriteFile(path, torn, 0o600))
		_, err := store.Load()
		var damaged *laburnumdisk.DamagedError
		require.ErrorAs(t, err, &damaged)
	}
}
