package laburnumorder

import (
	"time"

	"laburnumlever"
)

type ticked struct{ now time.Time }

type leaseAnswered struct {
	kind   laburnumlever.CommandKind
	asked  time.Time // before the command was proposed
	result laburnumlever.Result
	err    error
}

type readAnswered struct {
	backend   laburnumlever.BackendID
	read      uint64
	began     time.Time
	number    uint64
	inventory laburnumlever.Inventory
	err       error
}

type intentAnswered struct {
	backend laburnumlever.BackendID
	order   laburnumlever.OrderID
	err     error
}

type orderAnswered struct {
	backend laburnumlever.BackendID
	order   laburnumlever.OrderID
	answer  laburnumlever.OrderAnswer
	err     error
}

type intentResolved struct {
	backend laburnumlever.BackendID
	order   laburnumlever.OrderID
	err     error
}

func (ticked) EventName() string         { return "owner-ticked" }
func (leaseAnswered) EventName() string  { return "lease-answered" }
func (readAnswered) EventName() string   { return "inventory-read" }
func (intentAnswered) EventName() string { return "intent-answered" }
func (orderAnswered) EventName() string  { return "order-answered" }
func (intentResolved) EventName() string { return "intent-resolved" }
