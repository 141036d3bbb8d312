package laburnumorder_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"laburnumlever"
	"laburnumlever/laburnumorder"
	"laburnumlever/laburnumstandin"

	"github.com/stretchr/testify/require"
)

// Guards against reporting an order as not sent although the engine may have read and applied it.
func TestHTTPEngines(t *testing.T) {
	a := laburnumlever.Announcement{
		Backend: "e", Incarnation: 3, ChecksFencing: true,
		Accelerators: []laburnumlever.Accelerator{{ID: "a0", MemoryMiB: 100}},
	}
	engine := laburnumstandin.NewEngine(a)
	defer engine.Close()
	server := httptest.NewServer(engine)
	defer server.Close()
	a.Address = strings.TrimPrefix(server.URL, "http://")
	link, ctx := laburnumorder.NewHTTPEngines(), context.Background()
	inventory, err := link.Claim(ctx, a, 7)
	require.NoError(t, err)
	require.Equal(t, uint64(3), inventory.Incarnation)
	order := laburnumlever.Order{ID: "o", Fence: 6, Copy: laburnumlever.ModelCopy{Model: "m", Accelerators: []laburnumlever.AcceleratorID{"a0"}}}
	answer, err := link.Order(ctx, a, order)
	require.NoError(t, err)
	require.Equal(t, laburnumlever.OrderStaleFence, answer.Outcome)

	var notSent *laburnumlever.NotSentError
	hangUp := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer hangUp.Close()
	a.Address = strings.TrimPrefix(hangUp.URL, "http://")
	_, err = link.Order(ctx, a, order)
	require.Error(t, err)
	require.NotErrorAs(t, err, &notSent)

	closed, err := laburnumstandin.NewClosedPort()
	require.NoError(t, err)
	defer closed.Close()
	a.Address = closed.Address()
	_, err = link.Order(ctx, a, order)
	require.ErrorAs(t, err, &notSent)
}
