package laburnumdispatch_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumlever"
	"laburnumlever/laburnumadmission"
	"laburnumlever/laburnumdispatch"
	"laburnumlever/laburnumrouter"
)

// A caller's request has its backend server, and is about to be sent, when a new
// announcement of that server comes in. The sender read the router's record without its
// lock, so it could send to the new address under the old identity, or to half of each:
// an address that belongs to another service by now.
func TestTicketKeepsAnnouncementOfItsServer(t *testing.T) {
	view := func(address string) *laburnumrouter.Index {
		return laburnumrouter.NewIndex(&laburnumlever.View{Backends: []laburnumlever.Backend{{
			Announcement: laburnumlever.Announcement{
				Backend: "booking-1", Kind: laburnumlever.PlainService, Service: "booking", Address: address, Incarnation: 1, Slots: 4,
			},
		}}})
	}
	share := laburnumadmission.Share{}
	d := laburnumdispatch.New("rennes-a", 1)
	d.Update(view("10.0.0.1:80"), share, start)
	ticket := &laburnumdispatch.Ticket{Request: laburnumdispatch.Request{Service: "booking", Received: start}}
	require.NoError(t, d.Submit(ticket, start))
	require.True(t, ticket.Placed())
	updated := make(chan struct{})
	go func() {
		defer close(updated)
		d.Update(view("10.0.0.2:80"), share, start)
	}()
	sentTo := ticket.Backend.Address // without the lock, as the sender does it
	<-updated
	require.Equal(t, "10.0.0.1:80", sentTo)
	require.Equal(t, "10.0.0.1:80", ticket.Backend.Address)
}
