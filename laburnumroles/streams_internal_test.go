package laburnumroles

import (
	"encoding/json"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"laburnumlever"
	"laburnumlever/laburnumendpoints"
	"laburnumlever/laburnumpeer"
	"laburnumlever/laburnumstream"
	"laburnumlever/laburnumtimer"
)

func oneVersion(laburnumlever.ServiceName) []laburnumlever.SoftwareVersion {
	return []laburnumlever.SoftwareVersion{"v1"}
}

func threeControls() int { return 3 }

// listOf returns the version list of a control VM that has lost its disk.
func listOf(t testing.TB, timers laburnumlever.Timers, controls func() int) *versionList {
	l := &versionList{
		store: laburnumendpoints.New(t.TempDir()), saves: &saves{}, timers: timers, logger: log.NewNopLogger(), controls: controls,
		start: func() uint64 { return 1 }, known: func() servicesVersions { return nil }, confirmed: func() bool { return true },
		complete: func() bool { return false },
	}
	l.load(false)
	return l
}

// Guards against a control VM that counts as sure while it is isolated, just after that, or just after its start.
func TestOpinionsOfControlVMs(t *testing.T) {
	timers := laburnumtimer.NewManual(time.Unix(1_790_000_000, 0))
	isolated := false
	s := newStreams(timers, oneVersion, func() bool { return isolated }, listOf(t, timers, threeControls), time.Second, false, tally.NoopScope)
	opinion := func() laburnumstream.Opinion {
		answer, err := s.handleLookup(t.Context(), laburnumlever.RawMessage(`{"stream":"a","service":"quotes"}`))
		require.NoError(t, err)
		return answer.(laburnumstream.Opinion)
	}
	require.False(t, opinion().Current, "just started")
	require.Equal(t, 3, opinion().Controls)
	timers.Advance(currentPeriods * time.Second)
	require.True(t, opinion().Current)
	require.False(t, opinion().Complete)
	timers.Advance(laburnumstream.Life)
	require.True(t, opinion().Complete)
	isolated = true
	require.False(t, opinion().Complete, "isolated")
	isolated = false
	require.False(t, opinion().Complete, "just after")
	timers.Advance(currentPeriods * time.Second)
	require.True(t, opinion().Complete)

	fresh := newStreams(timers, oneVersion, func() bool { return false }, listOf(t, timers, threeControls), time.Second, false, tally.NoopScope)
	fresh.setComplete()
	require.True(t, fresh.complete(), "it has the state of one that is complete")
}

// Guards against records that seem to be kept although they are not.
func TestRecordsThatAreNotKeptAreRefused(t *testing.T) {
	timers := laburnumtimer.NewManual(time.Unix(1_790_000_000, 0))
	s := newStreams(timers, oneVersion, func() bool { return false }, listOf(t, timers, threeControls), time.Second, true, tally.NoopScope)
	for _, text := range []string{`{"records":[{"stream":"a","software":""}]}`, `{"records":7}`} {
		_, err := s.handleRecord(t.Context(), laburnumlever.RawMessage(text))
		require.Error(t, err, text)
	}
}

// BenchmarkStreamRecord measures a record from a gateway to a control VM and back, the processor time of both.
func BenchmarkStreamRecord(b *testing.B) {
	timers := laburnumtimer.New()
	defer timers.Close()
	control, gateway := laburnumpeer.New("c"), laburnumpeer.New("g")
	s := newStreams(timers, oneVersion, func() bool { return false }, listOf(b, timers, threeControls), time.Second, true, tally.NoopScope)
	control.Handle(methodStreamRecord, s.handleRecord)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	go func() { _ = control.Serve(ln) }()
	defer func() { _ = gateway.Close(); _ = control.Close(); _ = ln.Close() }()
	bytes := 0
	for n := 0; b.Loop(); n++ {
		batch := streamRecords{Records: []laburnumstream.Record{{Stream: fmt.Sprintf("%016x", n), Software: "v1.1"}}}
		var answer struct{}
		require.NoError(b, gateway.Call(b.Context(), ln.Addr().String(), methodStreamRecord, batch, &answer))
		body, _ := json.Marshal(batch)
		bytes = len(body)
	}
	b.ReportMetric(float64(bytes), "bytes/record")
}
