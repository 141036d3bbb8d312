package laburnumstandin_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumstandin"
	"laburnumlever/laburnumtimer"

	"github.com/stretchr/testify/require"
)

func announcement(checks bool) laburnumlever.Announcement {
	return laburnumlever.Announcement{
		Backend: "e1", Zone: "brest", Incarnation: 1, ChecksFencing: checks, Slots: 2,
		Accelerators: []laburnumlever.Accelerator{{ID: "a0", MemoryMiB: 100}, {ID: "a1", MemoryMiB: 100}},
	}
}

func load(fence uint64, model string, part int) laburnumlever.Order {
	return laburnumlever.Order{ID: laburnumlever.OrderID(model), Fence: fence, Copy: laburnumlever.ModelCopy{
		Model: laburnumlever.ModelName(model), Version: "v1", PartMiB: part, Accelerators: []laburnumlever.AcceleratorID{"a0"},
	}}
}

func TestEngineCommitsMemoryWhenOrderIsAccepted(t *testing.T) {
	for _, checks := range []bool{true, false} {
		timers := laburnumtimer.NewManual(time.Unix(0, 0))
		e := laburnumstandin.NewEngine(announcement(checks), laburnumstandin.WithTimers(timers), laburnumstandin.WithLoadTime(time.Second))
		answer := e.Order(load(2, "m", 60))
		require.Equal(t, laburnumlever.OrderDone, answer.Outcome)
		require.False(t, answer.Loaded[0].Ready)
		late := e.Order(load(1, "late", 60))
		if checks {
			require.Equal(t, laburnumlever.OrderStaleFence, late.Outcome)
			require.Empty(t, e.Violations())
			require.Equal(t, laburnumlever.OrderNoMemory, e.Order(load(2, "n", 60)).Outcome)
		} else {
			require.Equal(t, laburnumlever.OrderDone, late.Outcome)
		}
		require.Len(t, e.Violations(), 1)
		require.Equal(t, 120, e.Violations()[0].CommittedMiB)
		timers.Advance(time.Second)
		require.True(t, e.Claim(2).Loaded[0].Ready)
	}
}

func TestEngineStreamsAndResumes(t *testing.T) {
	e := laburnumstandin.NewEngine(announcement(true))
	defer e.Close()
	server := httptest.NewServer(e)
	defer server.Close()
	ask := func(from string) *http.Response {
		body := `{"model":"m","prompt":"hello","max_tokens":3,"stream":true}`
		req, err := http.NewRequest(http.MethodPost, server.URL+"/v1/completions", strings.NewReader(body))
		require.NoError(t, err)
		req.Header.Set("X-Attempt-Id", "7")
		req.Header.Set("X-Resume-From", from)
		res, err := server.Client().Do(req)
		require.NoError(t, err)
		return res
	}
	res := ask("0")
	require.Equal(t, http.StatusServiceUnavailable, res.StatusCode)
	require.Equal(t, "not-run", res.Header.Get("Laburnumlever-Outcome"))
	e.Order(load(1, "m", 10))
	require.Eventually(t, func() bool { return e.Claim(1).Loaded[0].Ready }, 10*time.Second, time.Millisecond)
	res = ask("2")
	text, err := io.ReadAll(res.Body)
	require.NoError(t, err)
	require.Equal(t, "7", res.Header.Get("X-Attempt-Id"))
	require.NotContains(t, string(text), laburnumstandin.Token("hello", 1))
	require.Contains(t, string(text), laburnumstandin.Token("hello", 2))
	require.True(t, strings.HasSuffix(string(text), "data: [DONE]\n\n"))
}

func TestWeightStoreCounts(t *testing.T) {
	timers := laburnumtimer.NewManual(time.Unix(0, 0))
	s := laburnumstandin.NewWeightStore(10, 2, laburnumstandin.WithTimers(timers), laburnumstandin.WithLoadTime(time.Second))
	s.Load()
	timers.Advance(100 * time.Millisecond)
	s.Load()
	third := s.Load()
	require.Equal(t, laburnumstandin.WeightStoreStats{Loads: 3, HighestParallel: 3, HighestRate: 0.3, Delayed: 1}, s.Stats())
	timers.Advance(2 * time.Second)
	<-third
}
