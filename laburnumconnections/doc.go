// Package laburnumconnections divides the connections that a backend server accepts from all VMs among the gateways. It does no
// I/O and reads no clock.
//
// Load pattern: callers don't arrive evenly. The platform may send most new connections to one gateway, or to few. A limit that is
// divided by the number of gateways leaves that one with the connections of one caller in a hundred, while the rest stand idle.
//
// # Shares and leases
//
// Half of a server's limit is divided evenly: a gateway's share, which it uses without asking anybody. The other half is leased by
// the server's keeper, a control VM, to the gateways that use up their shares. An even load takes no message. Where there are more
// gateways than connections, a share is one connection at the gateways that a hash picks, and none at the others.
//
// A gateway asks for somewhat more than it uses before it needs it, names the total that it wants, and returns what it
// has not used for a while. The keeper grants half of what is free at a time, so that the next gateway in need finds some.
//
// # The sum is kept
//
//   - A lease ends by itself LeaseTime after the gateway asked, unless it is renewed. The keeper counts its connections for as long
//     as the requests may run that began at the end of it, so that a holder which dies, stands still or is cut off is counted.
//   - Asks of a gateway are numbered. One that arrives late changes nothing; one of a later start ends what the earlier had.
//   - A control VM leases at most half of what may be leased. The other half is for the one that takes its place while it may
//     still run, or after it, and doesn't know what it has leased but by the gateways that renew their leases.
//   - Gateways of earlier builds use twice the share; the keeper sets their part aside.
//
// # Without control VMs
//
// A gateway that no control VM answers has its share, and what it has leased until that ends.
//
// # Usage
//
//	keeper := laburnumconnections.NewKeeper()                       // on control VMs
//	grant := keeper.Lease(ask, laburnumconnections.Fleet{…}, now)
//
//	table := laburnumconnections.NewTable(self)                     // on gateways
//	connections := table.Allowed(server, now)
//	table.Use(server, inUse, now)
//	for _, ask := range table.Due(now) { … table.Answered(ask, grant, now) }
//
// Neither is safe for concurrent use.
package laburnumconnections
