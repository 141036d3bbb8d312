package laburnumspread

import "time"

type (
	ticked struct{ now time.Time }

	offered struct {
		offer  offer
		answer chan<- offerAnswer
	}

	offerAnswered struct {
		address string
		answer  offerAnswer
	}

	received struct{ body *body }

	pulled struct{ answer chan<- *body }
)

func (ticked) EventName() string        { return "spread-ticked" }
func (offered) EventName() string       { return "catalogue-offered" }
func (offerAnswered) EventName() string { return "catalogue-offer-answered" }
func (received) EventName() string      { return "catalogue-received" }
func (pulled) EventName() string        { return "catalogue-pulled" }
