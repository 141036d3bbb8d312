package laburnumroutes_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumlever"
	"laburnumlever/laburnumroutes"
)

// Guards against priorities compared across services, where the most urgent route of one counts as less urgent.
func TestMostUrgentComparesRoutesOfOneService(t *testing.T) {
	route := func(prefix string, priority int, service laburnumlever.ServiceName) laburnumlever.Route {
		return laburnumlever.Route{
			Host: "quotes.example", PathPrefix: prefix, Priority: priority, Split: []laburnumlever.RouteShare{{Service: service, Weight: 1}},
		}
	}
	x := laburnumroutes.NewIndex(laburnumlever.RouteTable{Routes: []laburnumlever.Route{
		route("/quote/", 1, "engines"), route("/summary/", 0, "engines"), route("/book/", 2, "booking"),
	}})
	require.True(t, x.MostUrgent("engines", 0))
	require.False(t, x.MostUrgent("engines", 1))
	require.True(t, x.MostUrgent("booking", 2))
}
