package laburnumorder

import (
	"time"

	"laburnumlever"
	"laburnumlever/laburnumchart"
)

// The states of the chart order.jsonc that decisions depend on.
const (
	stateUnknown = "unknown"
	stateNotSent = "not-sent"
)

var orderChart = laburnumchart.MustLoad("order")

// tracked is an order with its place in the chart.
type tracked struct {
	order laburnumlever.Order
	state string
	// settleAfter is when an order whose answer was lost can't arrive any more.
	settleAfter time.Time
}

func newTracked(order laburnumlever.Order) *tracked {
	return &tracked{order: order, state: orderChart.Initial()}
}

// on moves the order along. An event that its state does not take is a mistake in
// this package: it is reported, and the order stays counted.
func (t *tracked) on(event string) error {
	next, err := orderChart.Next(t.state, event)
	t.state = next
	return err
}

func (t *tracked) is(state string) bool { return t.state == state }
