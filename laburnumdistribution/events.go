package laburnumdistribution

import "time"

type (
	ticked struct{ now time.Time }

	offerReceived struct {
		offer  offer
		answer chan<- offerAnswer
	}

	offerAnswered struct {
		address string
		answer  offerAnswer
	}

	bodyReceived struct{ body *catalogueBody }

	pullRequested struct{ answer chan<- *catalogueBody }
)

func (ticked) EventName() string        { return "spread-ticked" }
func (offerReceived) EventName() string { return "catalogue-offered" }
func (offerAnswered) EventName() string { return "catalogue-offer-answered" }
func (bodyReceived) EventName() string  { return "catalogue-received" }
func (pullRequested) EventName() string { return "catalogue-pulled" }
