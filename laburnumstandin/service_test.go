package laburnumstandin_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumlever"
	"laburnumlever/laburnumstandin"
	"laburnumlever/laburnumtimer"
)

const (
	waitLimit = 10 * time.Second
	waitStep  = time.Millisecond
)

// Guards against a ledger that omits a call whose answer is lost, which hides a double booking.
func TestLedgerRecordsCallsWhoseAnswerIsLost(t *testing.T) {
	timers := laburnumtimer.NewManual(time.Unix(0, 0))
	service := laburnumstandin.NewService(laburnumlever.Announcement{Backend: "s1", Service: "booking", Slots: 1},
		laburnumstandin.WithTimers(timers), laburnumstandin.WithLoadTime(time.Second), laburnumstandin.WithQueue(1))
	defer service.Close()
	call := func(key string) *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		r := httptest.NewRequest(http.MethodPost, "/bookings", strings.NewReader("two vans"))
		r.Header.Set("Idempotency-Key", key)
		r.Header.Set("X-Attempt-Id", "attempt-"+key)
		service.ServeHTTP(w, r)
		return w
	}
	first, second := make(chan *httptest.ResponseRecorder, 1), make(chan *httptest.ResponseRecorder, 1)
	go func() { first <- call("k1") }()
	require.Eventually(t, func() bool { return len(service.Ledger()) == 1 }, waitLimit, waitStep)
	require.Equal(t, "k1", service.Ledger()[0].Key)
	go func() { second <- call("k2") }()
	require.Eventually(t, func() bool { return service.Report().Queued == 1 }, waitLimit, waitStep)
	refused := call("k3")
	require.Equal(t, http.StatusServiceUnavailable, refused.Code)
	require.Equal(t, "not-run", refused.Header().Get("Laburnumlever-Outcome"))

	timers.Advance(time.Second)
	answer := <-first
	require.Equal(t, "attempt-k1", answer.Header().Get("X-Attempt-Id"))
	require.JSONEq(t, `{"number":1,"key":"k1","path":"/bookings","echo":"two vans"}`, answer.Body.String())
	require.Eventually(t, func() bool { return len(service.Ledger()) == 2 }, waitLimit, waitStep)
	require.Eventually(t, func() bool {
		timers.Advance(time.Second)
		return len(second) == 1
	}, waitLimit, waitStep)
	require.Len(t, service.Ledger(), 2, "the refused call must not have run")
}
