package laburnumstream_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumlever"
	"laburnumlever/laburnumstream"
)

var start = time.Unix(1_790_000_000, 0)

func record(stream string, software laburnumlever.SoftwareVersion) laburnumstream.Record {
	return laburnumstream.Record{Stream: stream, Software: software}
}

// Guards against records that are lost while callers still try, or kept for ever.
func TestRecordsLastForTheLifeOfAStream(t *testing.T) {
	k := laburnumstream.NewKeeper()
	require.True(t, k.Put(record("a", "v1"), start))
	for _, age := range []time.Duration{0, laburnumstream.Life / 2, laburnumstream.Life} {
		require.Equal(t, laburnumstream.Known{Software: "v1"}, k.Get("a", start.Add(age)), age)
	}
	require.Equal(t, laburnumstream.Known{}, k.Get("a", start.Add(2*laburnumstream.Life)))
	require.Zero(t, k.Len())
	k.Put(record("b", "v1"), start.Add(2*laburnumstream.Life))
	require.Equal(t, laburnumstream.Known{}, k.Get("b", start.Add(10*laburnumstream.Life)), "after a long pause")
}

// Guards against a caller's ID that comes twice, for streams of two versions, and decides for one of them.
func TestIDOfTwoStreamsIsUseless(t *testing.T) {
	k := laburnumstream.NewKeeper()
	k.Put(record("a", "v1"), start)
	k.Put(record("a", "v1"), start)
	require.Equal(t, laburnumstream.Known{Software: "v1"}, k.Get("a", start))
	k.Put(record("a", "v2"), start)
	k.Put(record("a", "v1"), start)
	require.Equal(t, laburnumstream.Known{Several: true}, k.Get("a", start))
}

// Guards against a version that is unknown and stands for one.
func TestRecordWithoutAVersionIsNotKept(t *testing.T) {
	k := laburnumstream.NewKeeper()
	require.False(t, k.Put(record("a", ""), start))
	require.Equal(t, laburnumstream.Known{}, k.Get("a", start))
}

func BenchmarkKeeperPut(b *testing.B) {
	k := laburnumstream.NewKeeper()
	ids := make([]string, 1<<16)
	for i := range ids {
		ids[i] = fmt.Sprintf("%016x", i)
	}
	for i := 0; b.Loop(); i++ {
		k.Put(record(ids[i%len(ids)], "v1"), start)
	}
}
