// Package laburnumconcurrency bounds the requests that all gateways together run at once on a brittle backend server.
//
// A brittle server falls over if it has to reject more than a few requests in a second. With many gateways, each of which
// knows little of what the others send, some of them always find it full. So a gateway leases a place on the server from
// the server's keeper, a control VM, before it sends a request, and returns it afterwards: a server with as many leases as
// slots rejects nothing.
//
// # Leases
//
// The keeper grants a lease at once while fewer are out than the server has slots. Else the request waits at the keeper in
// the order of arrival, if a place will be free in its time by how long leases are out; otherwise it is refused
// at once, with the time after which it is worth while to ask again. Whatever a gateway doesn't return ends by itself at the
// request's deadline; a gateway that got no answer returns its request by the request's own id.
//
// One lease more than slots goes to a request that waits, so that no slot stands idle while messages are under way: a server
// queues a few requests. This holds for servers of several slots that bear a rejection.
//
// A call that would be refused is work for nothing, at the busiest time. So a gateway makes none that doesn't wait while others of
// its own wait for the server, and keeps as many waiting as the keeper has room for, by the refusals that it gets.
//
// A server that rejects a request in spite of its lease has less room than that: the keeper lowers its bound by one, and
// grants none beyond its slots, for a while.
//
// # When the keeper fails
//
// Another control VM grants a part of the slots, for the keeper may still run. A keeper that has just learned of a server
// does so too until leases that it doesn't know of have ended. Once no control VM has answered it for a second, a gateway uses its share: the slots
// divided by the number of gateways, or one slot on a few gateways chosen by hash.
//
// # Which servers
//
// A server is brittle from the first answer that says so until one that doesn't. A server that starts while others of its
// service are brittle counts as brittle as well, until its first answer: it would get all that waits otherwise.
//
// # Usage
//
//	keeper := laburnumconcurrency.NewKeeper()                 // on control VMs
//	answer, waiter := keeper.Acquire(request, share, now)     // waiter.Granted is closed with the lease
//	keeper.Release(laburnumconcurrency.Release{…}, now)
//
//	table := laburnumconcurrency.NewTable(self)               // on gateways
//	changed := table.Observe(observation, now)
//	limit, brittle := table.Limit(backend, incarnation)
//	call, ok := table.Begin(backend, waits, now)
//	table.Answered(call, answer, now)
//
// Neither is safe for concurrent use.
package laburnumconcurrency
