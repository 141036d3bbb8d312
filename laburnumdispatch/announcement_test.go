package laburnumdispatch_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumlever"
	"laburnumlever/laburnumadmission"
	"laburnumlever/laburnumdispatch"
	"laburnumlever/laburnumrouter"
)

// Guards against sending a request to a mix of a server's old and new announcements.
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
	require.True(t, ticket.Assigned())
	updated := make(chan struct{})
	go func() {
		defer close(updated)
		d.Update(view("10.0.0.2:80"), share, start)
	}()
	sentTo := ticket.Backend.Address // read without a lock, like the sender
	<-updated
	require.Equal(t, "10.0.0.1:80", sentTo)
	require.Equal(t, "10.0.0.1:80", ticket.Backend.Address)
}
