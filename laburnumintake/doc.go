// Package laburnumintake bounds what clients can have a VM hold: their connections, and the heads and bodies of their requests.
//
// # Why one account
//
// A client may open connections and send nothing, stop in the middle of a head, or one byte short of a body's end, and stay. Each of
// these is small and legal. A crowd of them would take the VM's memory and descriptors, whatever the limit of each request. So
// all listeners of a process share one Intake, whose Limits are shares of the VM's memory and descriptors.
//
// # Rules
//
// Room is taken before the bytes are read, by the capacity of the buffers that hold them: for a body of known length all at once, so that
// it is refused before it is sent, for others as they arrive. The first FreeBytes of a head and of a body are part of what its
// connection counts for, so that an ordinary request never needs room.
//
// Whoever finds no room takes that of another: of the head or body that holds most for longest among those that have not filled a
// buffer for a time of Patience, else among the bodies that come too slowly to end by their deadline. If there is none, it is refused
// at once. So nobody holds room for long by announcing much, by stopping short of the end or by sending a byte now and then, and an
// honest body that is sent slowly over its whole time keeps its room. A connection beyond a listener's share takes the place of
// the one that has been idle for longest, then of a head or body as above. One that is being served keeps its place.
//
// # Usage
//
//	intake := laburnumintake.New(timers, laburnumintake.NewLimits(memoryMB, descriptors))
//	ln = intake.Listen(ln, intake.Limits().Connections())
//	server := &http.Server{Handler: laburnumintake.Handler(handler), ConnState: laburnumintake.ConnState, ConnContext: laburnumsocket.NewContext}
//
//	body, err := intake.ReadBody(laburnumintake.Source{Body: r.Body, Length: r.ContentLength, Limit: limit, Interrupt: interrupt})
//	defer body.Release()
package laburnumintake
