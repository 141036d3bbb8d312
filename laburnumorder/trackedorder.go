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

// trackedOrder is an order with its place in the chart.
type trackedOrder struct {
	order laburnumlever.Order
	state string
	// settleAfter is when an order whose answer was lost can't arrive any more.
	settleAfter time.Time
}

func newTrackedOrder(order laburnumlever.Order) *trackedOrder {
	return &trackedOrder{order: order, state: orderChart.Initial()}
}

// apply moves the order along. An event that its state does not take is a mistake in
// this package: it is reported, and the order stays counted.
func (t *trackedOrder) apply(event string) error {
	next, err := orderChart.Next(t.state, event)
	t.state = next
	return err
}

func (t *trackedOrder) is(state string) bool { return t.state == state }
